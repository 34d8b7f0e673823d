#include "site.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr int StoreHost = 2;
constexpr int CloudHost = 3;
constexpr int FirstEntryHost = 10;
constexpr int FirstWorkerHost = 100;
constexpr std::uint16_t PlatformPort = 8344;
constexpr std::uint16_t WorkerPort = 8180;
constexpr std::uint16_t CallersPort = 8340;
constexpr std::uint16_t ReadinessPort = 8343;
constexpr std::int64_t InitialClockMs = 1000;
constexpr std::size_t PageItems = 500;
constexpr std::size_t PageBytes = 1'000'000;
constexpr int ClientTimeoutMs = 3000;
constexpr std::size_t MostValueBytes = 1'048'576;

std::string toBase64(const std::string &Bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string Text(base64::encoded_size(Bytes.size()), '\0');
  Text.resize(base64::encode(Text.data(), Bytes.data(), Bytes.size()));
  return Text;
}

std::string fromBase64(std::string_view Text) {
  namespace base64 = boost::beast::detail::base64;
  while (Text.ends_with('='))
    Text.remove_suffix(1);
  std::string Bytes(base64::decoded_size(Text.size() + 4), '\0');
  Bytes.resize(base64::decode(Bytes.data(), Text.data(), Text.size()).first);
  return Bytes;
}

json::value parse(const std::string &Text) {
  json::error_code Error;
  json::value Value = json::parse(Text, Error);
  return Error ? json::value(json::object()) : Value;
}

std::string textOf(const json::value &From, const char *Name) {
  const json::object *Fields = From.if_object();
  const json::value *Value = Fields ? Fields->if_contains(Name) : nullptr;
  return Value && Value->is_string() ? std::string(Value->get_string())
                                     : std::string();
}

std::int64_t numberOf(const json::value &From, const char *Name) {
  const json::object *Fields = From.if_object();
  const json::value *Value = Fields ? Fields->if_contains(Name) : nullptr;
  return Value && Value->is_number() ? Value->to_number<std::int64_t>() : 0;
}

json::array listOf(const json::value &From, const char *Name) {
  const json::object *Fields = From.if_object();
  const json::value *Value = Fields ? Fields->if_contains(Name) : nullptr;
  return Value && Value->is_array() ? Value->get_array() : json::array();
}

std::string queryOf(const HttpMessage &Request, const char *Name) {
  const auto Found = Request.Query_.find(Name);
  return Found == Request.Query_.end() ? "" : Found->second;
}

std::int64_t queryNumber(const HttpMessage &Request, const char *Name) {
  return std::strtoll(queryOf(Request, Name).c_str(), nullptr, 10);
}

void replaceAll(std::string &In, const std::string &What,
                const std::string &By) {
  for (auto At = In.find(What); At != std::string::npos;
       At = In.find(What, At + By.size()))
    In.replace(At, What.size(), By);
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path);
  std::stringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace

void sleepMs(std::int64_t Count) { std::this_thread::sleep_for(Millis(Count)); }

bool withoutTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value && std::string_view(Value) == "0";
}

// Record.

std::int64_t Record::nowMs() const {
  return std::chrono::duration_cast<Millis>(Clock::now() - StartedAt_).count();
}

void Record::line(const std::string &Text) {
  const std::int64_t Now = nowMs();
  const std::lock_guard Lock(Mutex_);
  Out_ << Now << " ms " << Text << std::endl;
}

// Ledger.

std::size_t Ledger::started(const std::string &Task, std::int64_t Run,
                            const std::string &Worker) {
  Record_.line("worker " + Worker + ": started " + Task + " run " +
               std::to_string(Run));
  const std::lock_guard Lock(Mutex_);
  RunRow Row;
  Row.Task_ = Task;
  Row.Run_ = Run;
  Row.Worker_ = Worker;
  Row.StartedMs_ = Record_.nowMs();
  Rows_.push_back(std::move(Row));
  return Rows_.size() - 1;
}

void Ledger::ended(std::size_t Row, const std::string &How) {
  const std::lock_guard Lock(Mutex_);
  RunRow &Known = Rows_[Row];
  Known.EndedMs_ = Record_.nowMs();
  Known.How_ = How;
  Record_.line("worker " + Known.Worker_ + ": ended " + Known.Task_ + " run " +
               std::to_string(Known.Run_) + " " + How);
}

void Ledger::noted(std::size_t Row) {
  const std::lock_guard Lock(Mutex_);
  RunRow &Known = Rows_[Row];
  Known.NotedMs_ = Record_.nowMs();
  Record_.line("worker " + Known.Worker_ + ": last_seen reached the end of " +
               Known.Task_ + " run " + std::to_string(Known.Run_));
}

std::vector<RunRow> Ledger::rows() {
  const std::lock_guard Lock(Mutex_);
  return Rows_;
}

// Store.

Store::Store() : Expirer_([this] { expireLoop(); }) {}

Store::~Store() {
  Stopped_ = true;
  Changed_.notify_all();
  Expirer_.join();
}

void Store::expireLoop() {
  while (!Stopped_) {
    sleepMs(5);
    const std::lock_guard Lock(Mutex_);
    std::vector<std::int64_t> Over;
    for (const auto &[Id, Row] : Leases_)
      if (Row.Until_ < Clock::now())
        Over.push_back(Id);
    for (const std::int64_t Id : Over)
      endLease(Id);
  }
}

void Store::write(const std::string &Key, const std::string &Value,
                  std::int64_t Lease) {
  Item &Row = Items_[Key];
  if (Row.Created_ == 0)
    Row.Created_ = Revision_;
  Row.Value_ = Value;
  Row.Revision_ = Revision_;
  Row.Lease_ = Lease;
  Events_.push_back({Key, Revision_, false, Row});
}

void Store::erase(const std::string &Key) {
  if (Items_.erase(Key) > 0)
    Events_.push_back({Key, Revision_, true, {}});
}

void Store::endLease(std::int64_t Id) {
  Leases_.erase(Id);
  std::vector<std::string> Keys;
  for (const auto &[Key, Row] : Items_)
    if (Row.Lease_ == Id)
      Keys.push_back(Key);
  if (Keys.empty())
    return;
  ++Revision_;
  for (const std::string &Key : Keys)
    erase(Key);
  Changed_.notify_all();
}

void Store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard Lock(Mutex_);
  ++Revision_;
  write(Key, Value, 0);
  Changed_.notify_all();
}

void Store::remove(const std::string &Key) {
  const std::lock_guard Lock(Mutex_);
  ++Revision_;
  erase(Key);
  Changed_.notify_all();
}

std::string Store::read(const std::string &Key) {
  const std::lock_guard Lock(Mutex_);
  const auto Found = Items_.find(Key);
  return Found == Items_.end() ? "" : Found->second.Value_;
}

std::string Store::leasedValue() {
  const std::lock_guard Lock(Mutex_);
  for (const auto &[Key, Row] : Items_)
    if (Row.Lease_ != 0)
      return Row.Value_;
  return "";
}

Answer Store::handle(const HttpMessage &Request) {
  Answer Result{404, "{}"};
  if (Request.Path_ == "/api/kv-range")
    Result = range(Request);
  else if (Request.Path_ == "/api/kv-key")
    Result = key(Request);
  else if (Request.Path_ == "/api/kv-watch")
    Result = watch(Request);
  else if (Request.Path_ == "/api/kv-txn")
    Result = transaction(Request);
  else if (Request.Path_.starts_with("/api/kv-"))
    Result = lease(Request);
  sleepMs(AnswerMs_);
  return Result;
}

Answer Store::range(const HttpMessage &Request) {
  const std::string Prefix = queryOf(Request, "path_prefix");
  const std::string After = queryOf(Request, "after");
  const std::lock_guard Lock(Mutex_);
  json::array Items;
  bool More = false;
  std::size_t Bytes = 0;
  for (const auto &[Key, Row] : Items_) {
    if (!Key.starts_with(Prefix) || Key <= After)
      continue;
    if (Items.size() == PageItems || Bytes > PageBytes) {
      More = true;
      break;
    }
    Bytes += Row.Value_.size();
    Items.push_back(json::object{{"key", Key},
                                 {"value", toBase64(Row.Value_)},
                                 {"revision", Row.Revision_},
                                 {"created", Row.Created_},
                                 {"lease", Row.Lease_}});
  }
  return {200, json::serialize(json::object{{"items", Items},
                                            {"more_pages", More},
                                            {"store_revision", Revision_}})};
}

Answer Store::key(const HttpMessage &Request) {
  const std::lock_guard Lock(Mutex_);
  const auto Found = Items_.find(queryOf(Request, "key"));
  if (Found == Items_.end())
    return {404, "{}"};
  const Item &Row = Found->second;
  return {200, json::serialize(json::object{{"key", Found->first},
                                            {"value", toBase64(Row.Value_)},
                                            {"revision", Row.Revision_},
                                            {"created", Row.Created_},
                                            {"lease", Row.Lease_},
                                            {"store_revision", Revision_}})};
}

Answer Store::watch(const HttpMessage &Request) {
  const std::string Prefix = queryOf(Request, "path_prefix");
  const std::int64_t After = queryNumber(Request, "after");
  const auto Until = Clock::now() + Millis(queryNumber(Request, "wait_ms"));
  std::unique_lock Lock(Mutex_);
  while (true) {
    json::array Seen;
    auto First = std::upper_bound(Events_.begin(), Events_.end(), After,
                                  [](std::int64_t Value, const Event &Row) {
                                    return Value < Row.Revision_;
                                  });
    for (; First != Events_.end(); ++First) {
      if (!First->Key_.starts_with(Prefix))
        continue;
      if (First->Deleted_)
        Seen.push_back(json::object{{"key", First->Key_},
                                    {"revision", First->Revision_},
                                    {"deleted", true}});
      else
        Seen.push_back(json::object{{"key", First->Key_},
                                    {"value", toBase64(First->Item_.Value_)},
                                    {"revision", First->Revision_},
                                    {"created", First->Item_.Created_},
                                    {"lease", First->Item_.Lease_}});
    }
    if (!Seen.empty() || Clock::now() >= Until || Stopped_)
      return {200, json::serialize(json::object{
                       {"events", Seen}, {"store_revision", Revision_}})};
    Changed_.wait_until(Lock, Until);
  }
}

Answer Store::transaction(const HttpMessage &Request) {
  const json::value Body = parse(Request.Body_);
  const std::lock_guard Lock(Mutex_);
  bool Holds = true;
  json::array Current;
  for (const json::value &Row : listOf(Body, "expected_revision")) {
    const std::string Key = textOf(Row, "key");
    const auto Found = Items_.find(Key);
    const std::int64_t Revision =
        Found == Items_.end() ? 0 : Found->second.Revision_;
    Holds = Holds && Revision == numberOf(Row, "revision");
    if (Found != Items_.end())
      Current.push_back(json::object{{"key", Key},
                                     {"value", toBase64(Found->second.Value_)},
                                     {"revision", Revision},
                                     {"created", Found->second.Created_},
                                     {"lease", Found->second.Lease_}});
  }
  if (!Holds)
    return {412, json::serialize(json::object{{"items", Current}})};
  for (const json::value &Row : listOf(Body, "puts")) {
    const std::int64_t Lease = numberOf(Row, "lease");
    if (Lease != 0 && !Leases_.contains(Lease))
      return {404, "{}"};
    const std::string Key = textOf(Row, "key");
    if (Key.starts_with("op/") || Key.starts_with("servers/"))
      return {403, "{}"};
    const std::size_t Bytes = fromBase64(textOf(Row, "value")).size();
    if (Bytes > MostValueBytes) {
      ++TooLarge_;
      LargestRefused_ = std::max<std::int64_t>(
          LargestRefused_, static_cast<std::int64_t>(Bytes));
      return {400, R"({"error":"the value is larger than value_bytes"})"};
    }
  }
  ++Revision_;
  for (const json::value &Row : listOf(Body, "puts"))
    write(textOf(Row, "key"), fromBase64(textOf(Row, "value")),
          numberOf(Row, "lease"));
  for (const json::value &Row : listOf(Body, "remove"))
    erase(std::string(Row.as_string()));
  Changed_.notify_all();
  return {200, json::serialize(json::object{{"revision", Revision_}})};
}

Answer Store::lease(const HttpMessage &Request) {
  const std::lock_guard Lock(Mutex_);
  if (Request.Path_ == "/api/kv-lease") {
    const std::int64_t Ttl =
        std::max<std::int64_t>(1000, numberOf(parse(Request.Body_), "ttl_ms"));
    const std::int64_t Id = NextLease_++;
    Leases_[Id] = {Ttl, Clock::now() + Millis(Ttl)};
    return {200, json::serialize(json::object{{"lease", Id}, {"ttl_ms", Ttl}})};
  }
  const std::int64_t Id = std::strtoll(
      Request.Path_.substr(Request.Path_.rfind('/') + 1).c_str(), nullptr, 10);
  const auto Found = Leases_.find(Id);
  if (Found == Leases_.end())
    return {404, "{}"};
  if (Request.Method_ == "DELETE") {
    endLease(Id);
    return {200, "{}"};
  }
  Found->second.Until_ = Clock::now() + Millis(Found->second.TtlMs_);
  return {200, json::serialize(json::object{{"ttl_ms", Found->second.TtlMs_}})};
}

// Worker.

Worker::Worker(std::string Id, std::string Machine, Address At,
               WorkerOffer Offer, Store &Platform, Ledger &Runs, Record &To)
    : Id_(std::move(Id)), Machine_(std::move(Machine)), At_(std::move(At)),
      Offer_(std::move(Offer)), Store_(Platform), Ledger_(Runs), Record_(To) {}

Worker::~Worker() { leave(); }

std::int64_t Worker::clockMs() const {
  return InitialClockMs +
         std::chrono::duration_cast<Millis>(Clock::now() - StartedAt_).count();
}

std::int64_t Worker::unixMs() const {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool Worker::start() {
  {
    const std::lock_guard Lock(Mutex_);
    Up_ = true;
    BornMs_ = unixMs();
    StartedAt_ = Clock::now();
    Token_ = 0;
    LeaseEndMs_ = 0;
    Runs_.clear();
    HighestOver_.clear();
    Ends_.clear();
    NextEnd_ = 1;
  }
  Server_ = std::make_unique<HttpServer>(
      At_, [this](const HttpMessage &Request) { return handle(Request); });
  if (!Server_->start())
    return false;
  Ticker_ = std::thread([this] { tickLoop(); });
  Store_.put("servers/" + Id_,
             json::serialize(json::object{
                 {"backend", Offer_.Pool_},
                 {"address", At_.str()},
                 {"zone", Offer_.Zone_},
                 {"version", "v1"},
                 {"capacity", 8},
                 {"state", "ready"},
                 {"cold_remaining_ms", 0},
                 {"room", json::object{{"cpu", Offer_.MilliCpus_},
                                       {"mem_mb", Offer_.MemoryMb_},
                                       {"gpu", 0}}},
                 {"labels", json::array{"a", json::string(Offer_.Rack_)}},
                 {"machine", Machine_},
                 {"born", BornMs_},
                 {"sequence", 1}}));
  Record_.line("worker " + Id_ + ": up, born " + std::to_string(BornMs_));
  return true;
}

void Worker::leave() {
  {
    const std::lock_guard Lock(Mutex_);
    if (!Up_)
      return;
    Up_ = false;
    for (const auto &[Key, Row] : Runs_)
      Ledger_.ended(Row.Row_, "with its worker");
    Runs_.clear();
  }
  Store_.remove("servers/" + Id_);
  Record_.line("worker " + Id_ + ": has left");
  Ended_.notify_all();
  Server_->stop();
  Ticker_.join();
}

bool Worker::startAgain() { return start(); }

void Worker::tickLoop() {
  while (true) {
    sleepMs(2);
    const std::lock_guard Lock(Mutex_);
    if (!Up_)
      return;
    tick();
  }
}

void Worker::tick() {
  const std::int64_t Now = clockMs();
  std::vector<std::pair<RunKey, std::string>> Over;
  for (const auto &[Key, Row] : Runs_)
    if (Now >= LeaseEndMs_)
      Over.emplace_back(Key, "lapsed");
    else if (Row.EndsMs_ > 0 && Now >= Row.EndsMs_)
      Over.emplace_back(Key, "done");
  for (const auto &[Key, How] : Over)
    endRun(Key, How);
}

void Worker::endRun(const RunKey &Key, const std::string &How) {
  const auto Found = Runs_.find(Key);
  if (Found == Runs_.end())
    return;
  const std::size_t Row = Found->second.Row_;
  Runs_.erase(Found);
  Ledger_.ended(Row, How);
  HighestOver_[Key.first] = std::max(HighestOver_[Key.first], Key.second);
  Ends_.push_back({NextEnd_++, Key.first, Key.second, How, Row});
  Ended_.notify_all();
}

Answer Worker::refuse(const std::string &Reason) const {
  return {409, json::serialize(
                   json::object{{"clock_ms", clockMs()}, {"reason", Reason}})};
}

bool Worker::fenced(std::int64_t Token) {
  if (Token < Token_)
    return true;
  Token_ = Token;
  return false;
}

Answer Worker::handle(const HttpMessage &Request) {
  const auto Expected = Request.Headers_.find("x-expected-instance");
  if (Expected != Request.Headers_.end() && Expected->second != Id_)
    return {421, "{}"};
  if (Request.Path_ == "/health")
    return {200, "{}"};
  if (Request.Path_ == "/api/run-start")
    return startTask(Request.Body_);
  if (Request.Path_ == "/api/run-stop")
    return stopTask(Request.Body_);
  if (Request.Path_ == "/api/hold")
    return hold(Request.Body_);
  return {404, "{}"};
}

Answer Worker::startTask(const std::string &Body) {
  const json::value Fields = parse(Body);
  const std::string Task = textOf(Fields, "task");
  const std::int64_t Run = numberOf(Fields, "run");
  const std::lock_guard Lock(Mutex_);
  if (!Up_)
    return {0, "", true};
  tick();
  if (fenced(numberOf(Fields, "fencing_token")))
    return refuse("fence");
  const std::int64_t Now = clockMs();
  const std::int64_t Deadline = numberOf(Fields, "deadline_ms");
  if (Deadline < Now)
    return refuse("late");
  LeaseEndMs_ = std::max(LeaseEndMs_, std::min(Deadline, Now + MostLeaseMs));
  const RunKey Key{Task, Run};
  if (!Runs_.contains(Key)) {
    const auto Over = HighestOver_.find(Task);
    if (Over != HighestOver_.end() && Run <= Over->second)
      return refuse("old");
    const std::int64_t Takes =
        std::strtoll(textOf(Fields, "spec").c_str(), nullptr, 10);
    Runs_[Key] = {Ledger_.started(Task, Run, Id_),
                  Takes == 0 ? 0 : Now + Takes};
  }
  return {200, json::serialize(json::object{{"clock_ms", clockMs()}})};
}

Answer Worker::stopTask(const std::string &Body) {
  const json::value Fields = parse(Body);
  const RunKey Key{textOf(Fields, "task"), numberOf(Fields, "run")};
  const std::lock_guard Lock(Mutex_);
  if (!Up_)
    return {0, "", true};
  if (fenced(numberOf(Fields, "fencing_token")))
    return refuse("fence");
  HighestOver_[Key.first] = std::max(HighestOver_[Key.first], Key.second);
  endRun(Key, "stopped");
  return {200, json::serialize(json::object{{"clock_ms", clockMs()}})};
}

Answer Worker::hold(const std::string &Body) {
  const json::value Fields = parse(Body);
  std::unique_lock Lock(Mutex_);
  if (!Up_)
    return {0, "", true};
  tick();
  if (fenced(numberOf(Fields, "fencing_token")))
    return refuse("fence");
  LeaseEndMs_ = std::max(LeaseEndMs_, std::min(numberOf(Fields, "deadline_ms"),
                                               clockMs() + MostLeaseMs));
  const auto Seen = static_cast<std::uint64_t>(numberOf(Fields, "last_seen"));
  std::erase_if(Ends_, [&](const End &Row) {
    if (Row.Number_ <= Seen)
      Ledger_.noted(Row.Row_);
    return Row.Number_ <= Seen;
  });
  const std::int64_t Born = BornMs_;
  Ended_.wait_for(Lock, Millis(numberOf(Fields, "wait_ms")),
                  [&] { return !Ends_.empty() || !Up_; });
  if (!Up_ || Born != BornMs_)
    return {0, "", true};
  return {200, report()};
}

std::string Worker::report() const {
  json::array Running;
  json::array Finished;
  for (const auto &[Key, Row] : Runs_)
    Running.push_back(json::array{Key.first, Key.second, "", 100, 0});
  for (const End &Row : Ends_) {
    if (Finished.size() == MostEnds)
      break;
    Finished.push_back(
        json::array{Row.Number_, Row.Task_, Row.Run_, Row.How_, ""});
  }
  return json::serialize(json::object{{"clock_ms", clockMs()},
                                      {"born", BornMs_},
                                      {"running", Running},
                                      {"finished", Finished}});
}

// Site.

Site::Site(std::string Root, Record &To)
    : Root_(std::move(Root)), Record_(To), Ledger_(To) {
  std::random_device Random;
  Net_ = "127." + std::to_string(64 + Random() % 128) + "." +
         std::to_string(1 + Random() % 250) + ".";
  std::string Name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (const char *Made = mkdtemp(Name.data()))
    Folder_ = Made;
}

Site::~Site() {
  for (Entry &Each : Entries_)
    kill(Each);
  Workers_.clear();
  std::error_code Ignored;
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(Folder_, Ignored);
}

std::string Site::address(int Host) const {
  return Net_ + std::to_string(Host);
}

bool Site::startPlatform() {
  Platform_ = std::make_unique<HttpServer>(
      Address{address(StoreHost), PlatformPort},
      [this](const HttpMessage &Request) { return Store_.handle(Request); });
  Cloud_ =
      std::make_unique<HttpServer>(Address{address(CloudHost), PlatformPort},
                                   [this](const HttpMessage &Request) {
                                     return Request.Path_ == "/api/machines"
                                                ? machines()
                                                : Answer{429, "{}"};
                                   });
  return !Folder_.empty() && Platform_->start() && Cloud_->start();
}

Answer Site::machines() {
  json::array Rows;
  for (const auto &Each : Workers_)
    Rows.push_back(json::object{
        {"machine", Each->machine()},
        {"pool", Each->offer().Pool_},
        {"state", "up"},
        {"zone", Each->offer().Zone_},
        {"labels", json::array{"a", json::string(Each->offer().Rack_)}},
        {"room", json::object{{"cpu", Each->offer().MilliCpus_},
                              {"mem_mb", Each->offer().MemoryMb_},
                              {"gpu", 0}}},
        {"id", Each->id()}});
  return {200, json::serialize(json::object{{"machines", Rows},
                                            {"next_page_token", nullptr}})};
}

bool Site::addWorkers(int Count, const WorkerOffer &Offer) {
  for (int I = 0; I < Count; ++I) {
    const auto Number = static_cast<int>(Workers_.size());
    WorkerOffer Own = Offer;
    Own.Zone_ = "zone-" + std::to_string(Number % 4);
    Own.Rack_ = "r" + std::to_string(Number / 4);
    Workers_.push_back(std::make_unique<Worker>(
        "i-" + std::to_string(Number), "m-" + std::to_string(Number),
        Address{address(FirstWorkerHost + Number), WorkerPort}, Own, Store_,
        Ledger_, Record_));
    if (!Workers_.back()->start())
      return false;
  }
  return true;
}

bool Site::launch(Entry &Which) {
  const std::string Program = Root_ + "/target/src/app/laburnumspreadd";
  const pid_t Child = fork();
  if (Child < 0)
    return false;
  if (Child == 0) {
    // An entry ends with the driver, also if that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Log =
        open(Which.Log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Log, STDOUT_FILENO);
    dup2(Log, STDERR_FILENO);
    // The program may write files of its own.
    if (chdir(Folder_.c_str()) != 0)
      _exit(127);
    execl(Program.c_str(), Program.c_str(), "--config", Which.Settings_.c_str(),
          nullptr);
    _exit(127);
  }
  Which.Pid_ = Child;
  Record_.line("entry " + Which.Name_ + ": started");
  return true;
}

void Site::kill(Entry &Which) {
  if (Which.Pid_ <= 0)
    return;
  ::kill(Which.Pid_, SIGKILL);
  waitpid(Which.Pid_, nullptr, 0);
  Which.Pid_ = 0;
  Record_.line("entry " + Which.Name_ + ": SIGKILL");
}

/// Fills in deploy/entry.json as the platform does, with the figures of
/// folha-sched.
bool Site::startEntries(int Count) {
  for (int I = 0; I < Count; ++I) {
    const std::string Ip = address(FirstEntryHost + I);
    Entry Row;
    Row.Name_ = "edge-" + std::to_string(I + 1);
    Row.Callers_ = {Ip, CallersPort};
    Row.Readiness_ = {Ip, ReadinessPort};
    Row.Settings_ = Folder_ + "/" + Row.Name_ + ".json";
    Row.Log_ = Folder_ + "/" + Row.Name_ + ".log";
    std::string Text = readFile(Root_ + "/deploy/entry.json");
    const std::vector<std::pair<std::string, std::string>> Fields = {
        {"{{node_name}}", Row.Name_},
        {"{{zone}}", "zone-" + std::to_string(I % 4)},
        {"{{bind_addresses.front}}", Row.Callers_.str()},
        {"{{bind_addresses.readiness}}", Row.Readiness_.str()},
        {"{{ip}}", Ip},
        {"{{internal_ports.0}}", "7000"},
        {"{{platform.address}}",
         Address{address(StoreHost), PlatformPort}.str()},
        {"{{cloud_api.address}}",
         Address{address(CloudHost), PlatformPort}.str()},
        {"{{recommendation}}", Address{address(CloudHost), PlatformPort}.str()},
        {"{{limits.cpu_share|json}}", "0.25"},
        {"{{limits.link_mbps|json}}", "1000.0"},
        {"{{bounds.hold_max_ms|json}}", "6000"},
        {"{{bounds.status_s|json}}", "120"},
        {"{{bounds.gang_timeout_ms|json}}", "3000"},
        {"{{bounds.lease_ms|json}}", "3000"},
        {"{{bounds.far_x|json}}", "3"},
        {"{{bounds.move_s|json}}", "1.5"},
        {"{{bounds.maintenance_s|json}}", "2"},
        {"{{bounds.grace_s|json}}", "6"},
        {"{{#bounds.evacuate_ms}}{{.}}{{/bounds.evacuate_ms}}"
         "{{^bounds.evacuate_ms}}0{{/bounds.evacuate_ms}}",
         "0"}};
    for (const auto &[What, By] : Fields)
      replaceAll(Text, What, By);
    if (Text.empty() || Text.find("{{") != std::string::npos)
      return false;
    std::ofstream(Row.Settings_) << Text;
    Entries_.push_back(Row);
    if (!launch(Entries_.back()))
      return false;
  }
  return true;
}

bool Site::awaitService(const std::string &Path, int TimeoutMs) {
  const auto Until = Clock::now() + Millis(TimeoutMs);
  while (Clock::now() < Until) {
    sleepMs(200);
    bool Ready = true;
    for (const Entry &Each : Entries_) {
      if (call(Each.Readiness_, "GET", "/api/ready", {}, "", 500).Status_ !=
          200)
        Ready = false;
    }
    if (Ready && leader() &&
        request(Entries_.front(), "GET", Path, "").Status_ == 200)
      return true;
  }
  return false;
}

HttpMessage Site::request(const Entry &To, const std::string &Method,
                          const std::string &Path, const std::string &Body) {
  const HttpMessage Reply =
      call(To.Callers_, Method, Path,
           {{"Host", "jobs.example"},
            {"X-Credential", "review-key"},
            {"X-Timeout-Ms", std::to_string(ClientTimeoutMs)},
            {"Content-Type", "application/json"}},
           Body, ClientTimeoutMs);
  Record_.line("client: " + Method + " " + Path + " at " + To.Name_ + " -> " +
               (Reply.Status_ == 0
                    ? "no answer"
                    : std::to_string(Reply.Status_) + " " + Reply.Body_));
  return Reply;
}

bool Site::submit(const std::string &Path, const std::string &Body,
                  int TimeoutMs) {
  const auto Until = Clock::now() + Millis(TimeoutMs);
  while (Clock::now() < Until) {
    Entry &To = Entries_[Next_++ % Entries_.size()];
    if (request(To, "POST", Path, Body).Status_ == 200)
      return true;
    sleepMs(500);
  }
  return false;
}

std::string Site::state(const std::string &Path) {
  for (const Entry &Each : Entries_) {
    if (Each.Pid_ == 0)
      continue;
    const HttpMessage Reply = request(Each, "GET", Path, "");
    if (Reply.Status_ == 200)
      return textOf(parse(Reply.Body_), "state");
    if (Reply.Status_ == 410)
      return "none";
  }
  return "";
}

void Site::setConfig(const std::string &Text) {
  Store_.put("op/config", Text);
  Record_.line("operator: wrote op/config " + Text);
}

Entry *Site::leader() {
  const std::string Value = Store_.leasedValue();
  for (Entry &Each : Entries_)
    if (Each.Pid_ > 0 &&
        Value.find("\"" + Each.Name_ + "\"") != std::string::npos)
      return &Each;
  return nullptr;
}

std::vector<std::string> brokenTwice(const std::vector<RunRow> &Rows) {
  std::map<std::string, std::vector<const RunRow *>> ByTask;
  for (const RunRow &Row : Rows)
    ByTask[Row.Task_].push_back(&Row);
  std::vector<std::string> Result;
  for (const auto &[Task, Runs] : ByTask)
    for (const RunRow *First : Runs)
      for (const RunRow *Later : Runs) {
        if (First == Later || Later->StartedMs_ < First->StartedMs_)
          continue;
        const std::string Both = Task + " run " + std::to_string(First->Run_) +
                                 " on " + First->Worker_ + " and run " +
                                 std::to_string(Later->Run_) + " on " +
                                 Later->Worker_ + ", started at " +
                                 std::to_string(Later->StartedMs_) + " ms";
        if (First->EndedMs_ < 0 || Later->StartedMs_ < First->EndedMs_)
          Result.push_back(Both + ": two runs at the same time");
        else if (First->How_ == "done" && First->NotedMs_ >= 0)
          Result.push_back(Both + ": after the end `done` at " +
                           std::to_string(First->EndedMs_) +
                           " ms, taken note of at " +
                           std::to_string(First->NotedMs_) + " ms");
      }
  return Result;
}

} // namespace review
