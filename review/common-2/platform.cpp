#include "sim.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr std::size_t PageItems = 500;
constexpr std::size_t PageBytes = 1'000'000;
constexpr std::int64_t TtlMinMs = 1000;
/// How long the store takes for an answer, as the sites' pages say.
constexpr std::int64_t AnswerMs = 4;

std::string toBase64(const std::string &Bytes) {
  static const char *const Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t I = 0; I < Bytes.size(); I += 3) {
    std::uint32_t Group = 0;
    for (std::size_t J = 0; J < 3; ++J)
      Group = (Group << 8) |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (std::size_t J = 0; J < 4; ++J)
      Text +=
          I + J <= Bytes.size() ? Digits[(Group >> (18 - 6 * J)) & 63] : '=';
  }
  return Text;
}

HttpAnswer answer(int Status, const json::object &Body) {
  return {Status, json::serialize(Body), false};
}

std::int64_t number(const json::object &From, const char *Name,
                    std::int64_t Default = 0) {
  const json::value *Value = From.if_contains(Name);
  return Value && Value->is_int64() ? Value->get_int64() : Default;
}

std::string text(const json::object &From, const char *Name) {
  const json::value *Value = From.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->get_string().data(),
                                                   Value->get_string().size())
                                     : "";
}

json::array rows(const json::object &From, const char *Name) {
  const json::value *Value = From.if_contains(Name);
  return Value && Value->is_array() ? Value->get_array() : json::array();
}

json::object parse(const std::string &Text) {
  json::error_code Error;
  const json::value Value = json::parse(Text, Error);
  return !Error && Value.is_object() ? Value.get_object() : json::object();
}

} // namespace

Platform::Platform() {
  Server_ = std::make_unique<HttpServer>(
      [this](const HttpRequest &Call) { return handle(Call); });
  std::thread([this] { expireLoop(); }).detach();
}

void Platform::put(const std::string &Key, const std::string &Value64,
                   std::int64_t Lease) {
  Item &Row = Items_[Key];
  if (Row.Created_ == 0)
    Row.Created_ = Revision_;
  Row.Value64_ = Value64;
  Row.Revision_ = Revision_;
  Row.Lease_ = Lease;
  History_.push_back({Revision_, Key, Row});
}

void Platform::erase(const std::string &Key) {
  if (Items_.erase(Key) > 0)
    History_.push_back({Revision_, Key, std::nullopt});
}

void Platform::write(const std::string &Key, const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  ++Revision_;
  put(Key, toBase64(Value), 0);
  Changed_.notify_all();
}

void Platform::remove(const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  ++Revision_;
  erase(Key);
  Changed_.notify_all();
}

Worker &Platform::addWorker(const WorkerShape &Shape, Ledger &Runs) {
  auto Made = std::make_unique<Worker>(*this, Shape, Runs);
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Workers_.push_back(std::move(Made));
  return *Workers_.back();
}

HttpAnswer Platform::handle(const HttpRequest &Call) {
  const std::string Path = Call.path();
  if (Path != "/api/kv-watch")
    sleepFor(AnswerMs);
  if (Path == "/api/kv-range")
    return range(Call);
  if (Path == "/api/kv-key")
    return key(Call);
  if (Path == "/api/kv-watch")
    return watch(Call);
  if (Path == "/api/kv-txn")
    return txn(Call);
  if (Path == "/api/machines")
    return machines();
  if (Path.starts_with("/api/kv-"))
    return lease(Call);
  // One pool only, and no waves: no machine is ever to be moved.
  if (Path == "/api/machine-move" || Path == "/api/machine-upkeep")
    return answer(400, {});
  return answer(404, {});
}

HttpAnswer Platform::range(const HttpRequest &Call) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const std::string Prefix = Call.query("path_prefix");
  const std::string After = Call.query("after");
  json::array Page;
  std::size_t Bytes = 0;
  bool More = false;
  for (auto At = Items_.lower_bound(std::max(Prefix, After));
       At != Items_.end() && At->first.starts_with(Prefix); ++At) {
    if (At->first == After)
      continue;
    More = Page.size() >= PageItems ||
           (!Page.empty() && Bytes + At->second.Value64_.size() > PageBytes);
    if (More)
      break;
    Bytes += At->second.Value64_.size();
    Page.push_back(json::object{{"key", At->first},
                                {"value", At->second.Value64_},
                                {"revision", At->second.Revision_},
                                {"created", At->second.Created_},
                                {"lease", At->second.Lease_}});
  }
  return answer(
      200,
      {{"items", Page}, {"more_pages", More}, {"store_revision", Revision_}});
}

HttpAnswer Platform::key(const HttpRequest &Call) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const auto Found = Items_.find(Call.query("key"));
  if (Found == Items_.end())
    return answer(404, {{"store_revision", Revision_}});
  return answer(200, {{"key", Found->first},
                      {"value", Found->second.Value64_},
                      {"revision", Found->second.Revision_},
                      {"created", Found->second.Created_},
                      {"lease", Found->second.Lease_},
                      {"store_revision", Revision_}});
}

HttpAnswer Platform::watch(const HttpRequest &Call) {
  const std::string Prefix = Call.query("path_prefix");
  const std::int64_t After = std::atoll(Call.query("after").c_str());
  const auto Until =
      Steady::now() + Millis(std::atoll(Call.query("wait_ms").c_str()));
  std::unique_lock<std::mutex> Lock(Mutex_);
  std::size_t Next = static_cast<std::size_t>(
      std::partition_point(
          History_.begin(), History_.end(),
          [After](const Change &Row) { return Row.Revision_ <= After; }) -
      History_.begin());
  json::array Events;
  while (true) {
    for (; Next < History_.size(); ++Next) {
      const Change &Row = History_[Next];
      if (!Row.Key_.starts_with(Prefix))
        continue;
      if (Row.Now_)
        Events.push_back(json::object{{"key", Row.Key_},
                                      {"value", Row.Now_->Value64_},
                                      {"revision", Row.Now_->Revision_},
                                      {"created", Row.Now_->Created_},
                                      {"lease", Row.Now_->Lease_}});
      else
        Events.push_back(json::object{
            {"key", Row.Key_}, {"revision", Row.Revision_}, {"deleted", true}});
    }
    if (!Events.empty() || Steady::now() >= Until)
      return answer(200, {{"events", Events}, {"store_revision", Revision_}});
    Changed_.wait_until(Lock, Until);
  }
}

HttpAnswer Platform::txn(const HttpRequest &Call) {
  const json::object Body = parse(Call.Body_);
  const std::lock_guard<std::mutex> Lock(Mutex_);
  json::array Failed;
  bool Holds = true;
  for (const json::value &Row : rows(Body, "expected_revision")) {
    const std::string Key = text(Row.as_object(), "key");
    const auto Found = Items_.find(Key);
    const std::int64_t Now =
        Found == Items_.end() ? 0 : Found->second.Revision_;
    Holds = Holds && Now == number(Row.as_object(), "revision");
    if (Found != Items_.end())
      Failed.push_back(json::object{{"key", Key},
                                    {"value", Found->second.Value64_},
                                    {"revision", Now},
                                    {"created", Found->second.Created_},
                                    {"lease", Found->second.Lease_}});
  }
  if (!Holds)
    return answer(412, {{"items", Failed}});
  for (const json::value &Row : rows(Body, "puts")) {
    const std::string Key = text(Row.as_object(), "key");
    if (Key.starts_with("op/") || Key.starts_with("servers/"))
      return answer(403, {});
    const std::int64_t Id = number(Row.as_object(), "lease");
    if (Id != 0 && !Leases_.contains(Id))
      return answer(404, {});
  }
  ++Revision_;
  for (const json::value &Row : rows(Body, "puts"))
    put(text(Row.as_object(), "key"), text(Row.as_object(), "value"),
        number(Row.as_object(), "lease"));
  for (const json::value &Row : rows(Body, "remove"))
    erase(std::string(Row.as_string().c_str()));
  Changed_.notify_all();
  return answer(200, {{"revision", Revision_}});
}

HttpAnswer Platform::lease(const HttpRequest &Call) {
  const std::string Path = Call.path();
  const std::lock_guard<std::mutex> Lock(Mutex_);
  if (Path == "/api/kv-lease") {
    const std::int64_t Ttl = number(parse(Call.Body_), "ttl_ms");
    if (Ttl < TtlMinMs)
      return answer(400, {});
    const std::int64_t Id = NextLease_++;
    Leases_[Id] = {Ttl, Steady::now() + Millis(Ttl)};
    return answer(200, {{"lease", Id}, {"ttl_ms", Ttl}});
  }
  const std::int64_t Id = std::atoll(Path.substr(Path.rfind('/') + 1).c_str());
  const auto Found = Leases_.find(Id);
  if (Found == Leases_.end())
    return answer(404, {});
  Found->second.EndsAt_ = Path.starts_with("/api/kv-lease-end/")
                              ? Steady::now()
                              : Steady::now() + Millis(Found->second.TtlMs_);
  return answer(200, {{"ttl_ms", Found->second.TtlMs_}});
}

void Platform::expireLoop() {
  while (true) {
    sleepFor(10);
    const std::lock_guard<std::mutex> Lock(Mutex_);
    for (auto At = Leases_.begin(); At != Leases_.end();) {
      if (At->second.EndsAt_ > Steady::now()) {
        ++At;
        continue;
      }
      std::vector<std::string> Bound;
      for (const auto &[Key, Row] : Items_)
        if (Row.Lease_ == At->first)
          Bound.push_back(Key);
      if (!Bound.empty())
        ++Revision_;
      for (const std::string &Key : Bound)
        erase(Key);
      At = Leases_.erase(At);
      Changed_.notify_all();
    }
  }
}

HttpAnswer Platform::machines() {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  json::array Rows;
  for (const auto &Each : Workers_) {
    // A machine that is lost for good is in no list any more.
    if (Each->lost())
      continue;
    const WorkerShape &Shape = Each->shape();
    Rows.push_back(json::object{{"machine", Shape.Machine_},
                                {"pool", Shape.Pool_},
                                {"state", "up"},
                                {"zone", "z1"},
                                {"labels", json::array{"a", "r1"}},
                                {"room", json::object{{"cpu", Shape.Cpu_},
                                                      {"mem_mb", Shape.MemMb_},
                                                      {"gpu", 0}}},
                                {"id", Shape.Id_}});
  }
  return answer(200, {{"machines", Rows}, {"next_page_token", ""}});
}

// Workers.

namespace {

constexpr std::int64_t HoldMaxMs = 6000;
constexpr std::int64_t FirstClockMs = 1000;
constexpr std::int64_t HeartbeatMs = 500;
constexpr std::size_t EndsPerReport = 500;

std::int64_t unixMs() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t msSince(Steady::time_point At) {
  return std::chrono::duration_cast<Millis>(Steady::now() - At).count();
}

/// Returns the step, ID.K.STEP, of a task.
std::string stepOf(const std::string &Task) {
  return Task.substr(0, Task.rfind('.'));
}

} // namespace

Worker::Worker(Platform &Of, WorkerShape Shape, Ledger &Runs)
    : Of_(Of), Shape_(std::move(Shape)), Runs_(Runs), BornMs_(unixMs()),
      BornAt_(Steady::now()) {
  Server_ = std::make_unique<HttpServer>(
      [this](const HttpRequest &Call) { return handle(Call); });
  Address_ = Server_->address();
  publish();
  std::thread([this] { tickLoop(); }).detach();
}

void Worker::registerAt(const std::string &Address) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Address_ = Address;
  publish();
}

void Worker::publish() {
  Of_.write("servers/" + Shape_.Id_,
            json::serialize(
                json::object{{"backend", Shape_.Pool_},
                             {"address", Address_},
                             {"zone", "z1"},
                             {"version", "v1"},
                             {"capacity", 8},
                             {"state", "ready"},
                             {"cold_remaining_ms", 0},
                             {"sequence", ++Sequence_},
                             {"machine", Shape_.Machine_},
                             {"born", BornMs_},
                             {"room", json::object{{"cpu", Shape_.Cpu_},
                                                   {"mem_mb", Shape_.MemMb_},
                                                   {"gpu", 0}}},
                             {"labels", json::array{"a", "r1"}}}));
}

std::int64_t Worker::clockMs() const { return FirstClockMs + msSince(BornAt_); }

bool Worker::running() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return !Running_.empty();
}

void Worker::loseForGood() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Lost_ = true;
    for (const Live &Item : Running_)
      Runs_.ended(Item.Row_, "lost with its worker");
    Running_.clear();
    Ends_.clear();
    Changed_.notify_all();
  }
  Server_->reset();
  record("worker " + Shape_.Id_ + " is lost for good");
}

void Worker::restart() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    for (const Live &Item : Running_)
      Runs_.ended(Item.Row_, "lost with its worker");
    Running_.clear();
    Ends_.clear();
    Closed_.clear();
    NextEnd_ = 1;
    Token_ = 0;
    LeaseEndMs_ = 0;
    BornMs_ = std::max(BornMs_ + 1, unixMs());
    BornAt_ = Steady::now();
    Changed_.notify_all();
  }
  Server_->reset();
  const std::lock_guard<std::mutex> Lock(Mutex_);
  publish();
  record("worker " + Shape_.Id_ + " has started again under its id");
}

HttpAnswer Worker::handle(const HttpRequest &Call) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  if (Lost_)
    return {0, "", true};
  const auto Meant = Call.Headers_.find("x-expected-instance");
  if (Meant != Call.Headers_.end() && Meant->second != Shape_.Id_)
    return answer(421, {{"clock_ms", clockMs()}});
  const json::object Body = parse(Call.Body_);
  if (fenced(Body))
    return refuse("fence");
  endWhatIsDue();
  const std::string Path = Call.path();
  if (Path == "/api/run-start")
    return start(Body);
  if (Path == "/api/run-stop")
    return stop(Body);
  if (Path == "/api/hold")
    return hold(Body, Lock);
  return done();
}

HttpAnswer Worker::refuse(const char *Reason) const {
  return answer(409, {{"clock_ms", clockMs()}, {"reason", Reason}});
}

HttpAnswer Worker::done() const {
  return answer(200, {{"clock_ms", clockMs()}});
}

bool Worker::fenced(const json::object &Body) {
  const std::int64_t Token = number(Body, "fencing_token");
  if (Token < Token_)
    return true;
  Token_ = Token;
  return false;
}

void Worker::extendLease(std::int64_t DeadlineMs) {
  LeaseEndMs_ =
      std::max(LeaseEndMs_, std::min(DeadlineMs, clockMs() + HoldMaxMs));
}

HttpAnswer Worker::start(const json::object &Body) {
  const std::string Task = text(Body, "task");
  const std::int64_t Run = number(Body, "run");
  const std::int64_t Deadline = number(Body, "deadline_ms");
  if (Task.empty() || Run < 1)
    return answer(400, {{"clock_ms", clockMs()}});
  if (Deadline < clockMs())
    return refuse("late");
  if (TicketValid_ && !TicketValid_(stepOf(Task), text(Body, "ticket")))
    return refuse("ticket");
  extendLease(Deadline);
  for (const Live &Item : Running_)
    if (Item.Task_ == Task && Item.Run_ == Run)
      return done();
  const auto Closed = Closed_.find(Task);
  if (Closed != Closed_.end() && Run <= Closed->second)
    return refuse("old");
  Live Item;
  Item.Task_ = Task;
  Item.Run_ = Run;
  Item.StartedAt_ = Steady::now();
  Item.WorkMs_ = std::atoll(text(Body, "spec").c_str());
  Item.Resumed_ = text(Body, "checkpoint");
  RunRecord Row;
  Row.Task_ = Task;
  Row.Run_ = Run;
  Row.Worker_ = Shape_.Id_;
  Row.Spec_ = text(Body, "spec");
  Row.Checkpoint_ = Item.Resumed_;
  Item.Row_ = Runs_.started(Row);
  Running_.push_back(Item);
  return done();
}

HttpAnswer Worker::stop(const json::object &Body) {
  const std::string Task = text(Body, "task");
  const std::int64_t Run = number(Body, "run");
  std::int64_t &Closed = Closed_[Task];
  Closed = std::max(Closed, Run);
  for (std::size_t I = 0; I < Running_.size(); ++I)
    if (Running_[I].Task_ == Task && Running_[I].Run_ == Run) {
      endRun(I, "stopped");
      break;
    }
  return done();
}

HttpAnswer Worker::hold(const json::object &Body,
                        std::unique_lock<std::mutex> &Lock) {
  extendLease(number(Body, "deadline_ms"));
  const std::int64_t Seen = number(Body, "last_seen");
  std::erase_if(Ends_, [&](const End &Item) {
    if (Item.Number_ > Seen)
      return false;
    // An end is not taken note of if the lease has lapsed since.
    if (!Item.Lapsed_)
      Runs_.noted(Item.Of_.Row_);
    return true;
  });
  const std::int64_t Born = BornMs_;
  const auto Until = Steady::now() + Millis(number(Body, "wait_ms"));
  while (Ends_.empty() && !Lost_ && Born == BornMs_ && Steady::now() < Until)
    Changed_.wait_until(Lock, Until);
  if (Lost_ || Born != BornMs_)
    return {0, "", true};
  json::array Running, Finished;
  for (const Live &Item : Running_)
    Running.push_back(
        json::array{Item.Task_, Item.Run_, savedBy(Item), 100, 100});
  for (const End &Item : Ends_) {
    if (Finished.size() == EndsPerReport)
      break;
    Finished.push_back(json::array{Item.Number_, Item.Of_.Task_, Item.Of_.Run_,
                                   Item.How_, Item.Saved_});
  }
  return answer(200, {{"clock_ms", clockMs()},
                      {"born", BornMs_},
                      {"running", Running},
                      {"finished", Finished}});
}

std::string Worker::savedBy(const Live &Of) const {
  return Checkpoint_ ? Checkpoint_(msSince(Of.StartedAt_)) : "";
}

void Worker::endRun(std::size_t At, const std::string &How) {
  const Live Item = Running_[At];
  Running_.erase(Running_.begin() + static_cast<std::ptrdiff_t>(At));
  std::int64_t &Closed = Closed_[Item.Task_];
  Closed = std::max(Closed, Item.Run_);
  Ends_.push_back(
      {NextEnd_++, Item, How, How == "done" ? "" : savedBy(Item), false});
  Runs_.ended(Item.Row_, How);
  Changed_.notify_all();
}

void Worker::endWhatIsDue() {
  if (clockMs() >= LeaseEndMs_)
    for (End &Item : Ends_)
      Item.Lapsed_ = true;
  for (std::size_t I = 0; I < Running_.size();) {
    if (clockMs() >= LeaseEndMs_)
      endRun(I, "lapsed");
    else if (Running_[I].WorkMs_ > 0 &&
             msSince(Running_[I].StartedAt_) >= Running_[I].WorkMs_)
      endRun(I, "done");
    else
      ++I;
  }
}

void Worker::tickLoop() {
  // An entry of which only the sequence would change is not written again.
  while (!Lost_) {
    sleepFor(4);
    const std::lock_guard<std::mutex> Lock(Mutex_);
    endWhatIsDue();
  }
  // The store removes the entry after three heartbeat intervals of silence.
  sleepFor(3 * HeartbeatMs);
  Of_.remove("servers/" + Shape_.Id_);
}

// Ledger.

std::size_t Ledger::started(RunRecord Row) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Row.StartedAt_ = sinceStart();
  Rows_.push_back(std::move(Row));
  return Rows_.size() - 1;
}

void Ledger::ended(std::size_t Row, const std::string &How) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Rows_[Row].EndedAt_ = sinceStart();
  Rows_[Row].How_ = How;
}

void Ledger::noted(std::size_t Row) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  if (Rows_[Row].NotedAt_ < 0)
    Rows_[Row].NotedAt_ = sinceStart();
}

std::vector<RunRecord> Ledger::rows() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Rows_;
}

std::vector<std::string> findTwice(const std::vector<RunRecord> &Rows) {
  std::map<std::string, std::vector<const RunRecord *>> ByTask;
  for (const RunRecord &Row : Rows)
    ByTask[Row.Task_].push_back(&Row);
  std::vector<std::string> Result;
  const auto Describe = [](const RunRecord &Row) {
    return "run " + std::to_string(Row.Run_) + " on " + Row.Worker_ + " from " +
           std::to_string(Row.StartedAt_) + " to " +
           std::to_string(Row.EndedAt_) + " ms (" + Row.How_ + ", noted at " +
           std::to_string(Row.NotedAt_) + ")";
  };
  for (const auto &[Task, Runs] : ByTask)
    for (const RunRecord *Later : Runs)
      for (const RunRecord *Earlier : Runs) {
        if (Earlier == Later || Earlier->StartedAt_ > Later->StartedAt_ ||
            Earlier > Later)
          continue;
        const bool Ended =
            Earlier->EndedAt_ >= 0 && Earlier->EndedAt_ <= Later->StartedAt_;
        if (!Ended)
          Result.push_back(Task + ": two at once: " + Describe(*Earlier) +
                           "; " + Describe(*Later));
        else if (Earlier->How_ == "done" && Earlier->NotedAt_ >= 0)
          Result.push_back(Task + ": started after a noted end: " +
                           Describe(*Earlier) + "; " + Describe(*Later));
      }
  return Result;
}

} // namespace review
