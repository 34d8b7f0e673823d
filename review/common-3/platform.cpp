#include "platform.h"

#include <algorithm>
#include <thread>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review3 {

namespace json = boost::json;

namespace {

constexpr std::size_t PageItems = 500;
constexpr std::size_t EndsPerReport = 500;
constexpr std::int64_t TickMs = 5;
constexpr std::int64_t FirstClockMs = 1000;
constexpr std::int64_t StartUpMs = 300;

json::object parseObject(const std::string &Text) {
  json::error_code Error;
  json::value Value = json::parse(Text, Error);
  return !Error && Value.is_object() ? Value.as_object() : json::object();
}

std::int64_t numberOf(const json::object &From, const char *Name) {
  const json::value *Value = From.if_contains(Name);
  return Value && Value->is_int64() ? Value->as_int64() : 0;
}

std::string textOf(const json::object &From, const char *Name) {
  const json::value *Value = From.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->as_string().c_str())
                                     : std::string();
}

json::array arrayOf(const json::object &From, const char *Name) {
  const json::value *Value = From.if_contains(Name);
  return Value && Value->is_array() ? Value->as_array() : json::array();
}

HttpReply answer(int Status, const json::object &Body) {
  return {Status, json::serialize(Body), false};
}

std::string nameOf(const Run &Item) {
  return Item.first + " run " + std::to_string(Item.second);
}

} // namespace

class Worker {
public:
  Worker(Platform &Of, std::string Id, std::string Machine)
      : Of_(Of), Id_(std::move(Id)), Machine_(std::move(Machine)),
        Server_([this](const HttpRequest &Request) { return handle(Request); }),
        StartedMs_(nowMs()), Born_(unixMs()) {
    Server_.start();
  }

  const std::string &id() const { return Id_; }
  const std::string &machine() const { return Machine_; }
  std::int64_t born() const { return Born_; }
  bool up() const { return Up_; }
  std::string address() const { return Server_.address(); }

  /// Ends the process. The platform's mutex is held.
  void crash() {
    Up_ = false;
    Server_.setUp(false);
    for (const auto &[Item, Runs] : Running_)
      recordEnd(Item, "gone with its worker");
    Running_.clear();
    Ends_.clear();
    Of_.Changed_.notify_all();
  }

  /// Starts the process again. The platform's mutex is held.
  void restart(std::int64_t AheadMs) {
    StartedMs_ = nowMs();
    Born_ = unixMs() + AheadMs;
    Token_ = 0;
    LeaseEndsMs_ = 0;
    NextEnd_ = 1;
    Closed_.clear();
    Ends_.clear();
    Up_ = true;
    Server_.setUp(true);
  }

  /// Ends what is over. The platform's mutex is held.
  void tick() {
    if (!Up_)
      return;
    const std::int64_t Now = clock();
    const auto Before = Running_;
    for (const auto &[Item, Row] : Before) {
      if (Now >= LeaseEndsMs_)
        end(Item, "lapsed");
      else if (Row.StopsMs_ > 0 && Now >= Row.StopsMs_)
        end(Item, "stopped");
      else if (Row.EndsMs_ > 0 && Now >= Row.EndsMs_)
        end(Item, "done");
    }
  }

  bool runs(const std::string &Task) const {
    return std::any_of(Running_.begin(), Running_.end(), [&](const auto &Row) {
      return Row.first.first == Task;
    });
  }

private:
  struct Row {
    std::int64_t BegunMs_ = 0;
    /// On the worker's clock; 0 if it lasts.
    std::int64_t EndsMs_ = 0;
    std::int64_t StopsMs_ = 0;
  };

  std::int64_t clock() const { return nowMs() - StartedMs_ + FirstClockMs; }

  Start *lastStart(const Run &Item) {
    for (auto At = Of_.Starts_.rbegin(); At != Of_.Starts_.rend(); ++At)
      if (At->Run_ == Item && At->Worker_ == Id_)
        return &*At;
    return nullptr;
  }

  void recordEnd(const Run &Item, const std::string &How) {
    if (Start *Known = lastStart(Item)) {
      Known->EndedMs_ = nowMs();
      Known->How_ = How;
    }
    Of_.Log_.line("worker " + Id_ + ": " + nameOf(Item) + " ended " + How);
  }

  void end(const Run &Item, const std::string &How) {
    Running_.erase(Item);
    recordEnd(Item, How);
    std::int64_t &Last = Closed_[Item.first];
    Last = std::max(Last, Item.second);
    Ends_.push_back({NextEnd_++, Item, How});
    Of_.Changed_.notify_all();
  }

  HttpReply handle(const HttpRequest &Request) {
    std::int64_t Late = 0;
    if (Request.Path_ == "/api/run-start") {
      const Platform::Lock Lock(Of_.Mutex_);
      const json::object Body = parseObject(Request.Body_);
      const Run Item{textOf(Body, "task"), numberOf(Body, "run")};
      ++Of_.StartOrders_;
      if (Up_ && Of_.StartLateness_)
        Late = Of_.StartLateness_(Item, Of_.StartOrders_);
      if (Late > 0)
        Of_.Log_.line("not answered, and carried out after " +
                      std::to_string(Late) + " ms: start of " + nameOf(Item) +
                      " at worker " + Id_);
    }
    if (Late == 0)
      return carryOut(Request);
    std::thread([this, Request, Late] {
      sleepMs(Late);
      const HttpReply Reply = carryOut(Request);
      Of_.Log_.line("carried out late at worker " + Id_ + ": start: " +
                    std::to_string(Reply.Status_) + " " + Reply.Body_);
    }).detach();
    sleepMs(Late);
    return dropped();
  }

  HttpReply carryOut(const HttpRequest &Request) {
    Platform::Lock Lock(Of_.Mutex_);
    if (!Up_)
      return dropped();
    tick();
    const std::string Expected = Request.header("x-expected-instance");
    if (!Expected.empty() && Expected != Id_)
      return answer(421, {});
    const json::object Body = parseObject(Request.Body_);
    const std::int64_t Token = numberOf(Body, "fencing_token");
    if (Token < Token_)
      return answer(409, {{"clock_ms", clock()}, {"reason", "fence"}});
    Token_ = Token;
    if (Request.Path_ == "/api/hold")
      return hold(Body, Lock);
    const Run Item{textOf(Body, "task"), numberOf(Body, "run")};
    if (Request.Path_ == "/api/run-start" &&
        Of_.Machines_[Machine_].Unhealthy_) {
      Of_.Log_.line("worker " + Id_ + " refuses with 503: " + nameOf(Item));
      return answer(503, {});
    }
    if (Request.Path_ == "/api/run-start")
      return begin(Item, Body);
    if (Request.Path_ == "/api/run-stop")
      return stop(Item);
    return answer(Request.Path_ == "/api/pace" ? 200 : 404,
                  {{"clock_ms", clock()}});
  }

  HttpReply begin(const Run &Item, const json::object &Body) {
    const std::int64_t Now = clock();
    const std::int64_t Deadline = numberOf(Body, "deadline_ms");
    if (Deadline < Now)
      return answer(409, {{"clock_ms", Now}, {"reason", "late"}});
    LeaseEndsMs_ = std::max(LeaseEndsMs_, std::min(Deadline, Now + HoldMaxMs));
    if (Running_.contains(Item))
      return answer(200, {{"clock_ms", Now}});
    if (const auto Last = Closed_.find(Item.first);
        Last != Closed_.end() && Item.second <= Last->second)
      return answer(409, {{"clock_ms", Now}, {"reason", "old"}});
    judge(Item);
    const std::string Spec = textOf(Body, "spec");
    const std::int64_t Time =
        Spec.starts_with("ms=") ? std::atoll(Spec.c_str() + 3) : 0;
    Running_[Item] = {Now, Time == 0 ? 0 : Now + Time, 0};
    Of_.Starts_.push_back({Item, Id_, nowMs(), 0, "", 0});
    Of_.Log_.line("worker " + Id_ + " on " + Machine_ + ": " + nameOf(Item) +
                  " begun");
    return answer(200, {{"clock_ms", Now}});
  }

  /// TWICE, for tasks of steps without `speculative`.
  void judge(const Run &Item) {
    std::string Why;
    for (const auto &[Name, Host] : Of_.Machines_)
      if (Host.Worker_ && Host.Worker_->up() && Host.Worker_->runs(Item.first))
        Why = "it runs on worker " + Host.Worker_->id() + ", which is up";
    for (const Start &Known : Of_.Starts_)
      if (Known.Run_.first == Item.first && Known.How_ == "done" &&
          Known.AcknowledgedMs_ > 0)
        Why = "its end `done` had been taken note of";
    if (Why.empty())
      return;
    Of_.Twice_.push_back(nameOf(Item) + " on worker " + Id_ + ": " + Why);
    Of_.Log_.line("TWICE broken: " + Of_.Twice_.back());
  }

  HttpReply stop(const Run &Item) {
    const auto Found = Running_.find(Item);
    if (Found != Running_.end() && Found->second.StopsMs_ == 0)
      Found->second.StopsMs_ = clock() + ShutdownMs / 2;
    std::int64_t &Last = Closed_[Item.first];
    Last = std::max(Last, Item.second);
    return answer(200, {{"clock_ms", clock()}});
  }

  HttpReply hold(const json::object &Body, Platform::Lock &Lock) {
    const std::int64_t Deadline = numberOf(Body, "deadline_ms");
    LeaseEndsMs_ =
        std::max(LeaseEndsMs_, std::min(Deadline, clock() + HoldMaxMs));
    const std::int64_t Seen = numberOf(Body, "last_seen");
    std::erase_if(Ends_, [&](const Ended &Row) {
      if (Row.Number_ > Seen)
        return false;
      if (Start *Known = lastStart(Row.Run_))
        Known->AcknowledgedMs_ = nowMs();
      return true;
    });
    const std::int64_t Until = nowMs() + numberOf(Body, "wait_ms");
    const std::int64_t Life = StartedMs_;
    while (Up_ && Life == StartedMs_ && Ends_.empty() && nowMs() < Until)
      Of_.Changed_.wait_for(Lock,
                            std::chrono::milliseconds(Until - nowMs() + 1));
    if (!Up_ || Life != StartedMs_)
      return dropped();
    json::array Running, Finished;
    for (const auto &[Item, Row] : Running_)
      Running.push_back(
          json::array{Item.first, Item.second, "",
                      clock() - Row.BegunMs_ >= StartUpMs ? 100 : 0, 0});
    for (const Ended &Row : Ends_)
      if (Finished.size() < EndsPerReport)
        Finished.push_back(json::array{Row.Number_, Row.Run_.first,
                                       Row.Run_.second, Row.How_, ""});
    return answer(200, {{"clock_ms", clock()},
                        {"born", Born_},
                        {"running", Running},
                        {"finished", Finished}});
  }

  struct Ended {
    std::int64_t Number_ = 0;
    Run Run_;
    std::string How_;
  };

  Platform &Of_;
  std::string Id_;
  std::string Machine_;
  HttpServer Server_;
  std::int64_t StartedMs_;
  std::int64_t Born_;
  bool Up_ = true;
  std::int64_t Token_ = 0;
  std::int64_t LeaseEndsMs_ = 0;
  std::map<Run, Row> Running_;
  std::map<std::string, std::int64_t> Closed_;
  std::vector<Ended> Ends_;
  std::int64_t NextEnd_ = 1;
};

Platform::Platform(Record &Log)
    : Log_(Log),
      Server_([this](const HttpRequest &Request) { return handle(Request); }) {}

Platform::~Platform() {
  const Lock Held(Mutex_);
  Stopped_ = true;
  Changed_.notify_all();
}

void Platform::start() {
  Server_.start();
  std::thread([this] {
    while (true) {
      sleepMs(TickMs);
      const Lock Held(Mutex_);
      if (Stopped_)
        return;
      tick();
    }
  }).detach();
}

void Platform::tick() {
  const std::int64_t Now = nowMs();
  for (auto &[Name, Host] : Machines_)
    if (Host.Worker_)
      Host.Worker_->tick();
  while (!Returning_.empty() && Returning_.begin()->first <= Now) {
    const std::string Name = Returning_.begin()->second;
    Returning_.erase(Returning_.begin());
    addWorkerLocked(Name);
  }
  std::vector<std::int64_t> Ended;
  for (const auto &[Id, Row] : Leases_)
    if (Row.EndsMs_ <= Now)
      Ended.push_back(Id);
  for (const std::int64_t Id : Ended) {
    Leases_.erase(Id);
    std::vector<std::string> Keys;
    for (const auto &[Key, Row] : Items_)
      if (Row.Lease_ == Id)
        Keys.push_back(Key);
    for (const std::string &Key : Keys)
      removeLocked(Key);
  }
  std::vector<std::string> Expired;
  for (const auto &[Key, At] : BeatAt_)
    if (Now - At > 3 * HeartbeatMs)
      Expired.push_back(Key);
  for (const std::string &Key : Expired) {
    BeatAt_.erase(Key);
    removeLocked(Key);
  }
  if (Now < NextBeatMs_)
    return;
  NextBeatMs_ = Now + HeartbeatMs;
  ++Sequence_;
  for (const auto &[Name, Host] : Machines_)
    if (Host.Worker_ && Host.Worker_->up())
      registerLocked(Name);
}

void Platform::addMachine(const std::string &Name, const std::string &Service,
                          const std::string &Rack, const std::string &Kind) {
  const Lock Held(Mutex_);
  Machine &Host = Machines_[Name];
  Host.Pool_ = Service;
  Host.Rack_ = Rack;
  Host.Kind_ = Kind;
  addWorkerLocked(Name);
}

void Platform::addWorkerLocked(const std::string &Name) {
  Machine &Host = Machines_[Name];
  Host.State_ = "up";
  Host.Wave_ = 0;
  Host.Worker_ = std::make_shared<Worker>(
      *this, "w-" + std::to_string(NextWorker_++), Name);
  Log_.line("machine " + Name + " is up with worker " + Host.Worker_->id());
  registerLocked(Name);
}

void Platform::registerLocked(const std::string &Name) {
  const Machine &Host = Machines_[Name];
  const json::object Entry{
      {"backend", Host.Pool_},
      {"address", Host.Worker_->address()},
      {"zone", "z1"},
      {"version", "v1"},
      {"capacity", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"machine", Name},
      {"born", Host.Worker_->born()},
      {"room", json::object{{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 0}}},
      {"labels", json::array{Host.Kind_, Host.Rack_}},
      {"sequence", Sequence_}};
  const std::string Key = "servers/" + Host.Worker_->id();
  BeatAt_[Key] = nowMs();
  putLocked(Key, json::serialize(Entry), 0);
}

void Platform::setUnhealthy(const std::string &Name, bool Unhealthy) {
  const Lock Held(Mutex_);
  Machines_[Name].Unhealthy_ = Unhealthy;
  Log_.line("worker " + Machines_[Name].Worker_->id() +
            (Unhealthy ? " is unhealthy" : " is healthy again"));
}

void Platform::crashWorker(const std::string &Name) {
  const Lock Held(Mutex_);
  Log_.line("worker " + Machines_[Name].Worker_->id() + " crashes");
  Machines_[Name].Worker_->crash();
}

void Platform::restartWorker(const std::string &Name, std::int64_t AheadMs) {
  const Lock Held(Mutex_);
  Worker &Restarted = *Machines_[Name].Worker_;
  Restarted.restart(AheadMs);
  Log_.line("worker " + Restarted.id() + " starts again, its time of day is " +
            std::to_string(AheadMs) + " ms ahead");
  registerLocked(Name);
}

std::string Platform::workerOn(const std::string &Name) const {
  const Lock Held(Mutex_);
  return Machines_.at(Name).Worker_->id();
}

void Platform::putLocked(const std::string &Key, const std::string &Value,
                         std::int64_t LeaseId) {
  Item &Row = Items_[Key];
  Row.Value_ = Value;
  Row.Revision_ = ++Revision_;
  if (Row.Created_ == 0)
    Row.Created_ = Revision_;
  Row.Lease_ = LeaseId;
  Events_.push_back({Key, Revision_, false, Row});
  Changed_.notify_all();
}

void Platform::removeLocked(const std::string &Key) {
  if (Items_.erase(Key) == 0)
    return;
  Events_.push_back({Key, ++Revision_, true, {}});
  Changed_.notify_all();
}

std::int64_t Platform::write(const std::string &Key, const std::string &Value) {
  const Lock Held(Mutex_);
  putLocked(Key, Value, 0);
  Log_.line("written: " + Key + " " + Value);
  return Revision_;
}

std::optional<std::string> Platform::read(const std::string &Key) const {
  const Lock Held(Mutex_);
  const auto Found = Items_.find(Key);
  return Found == Items_.end() ? std::nullopt
                               : std::optional(Found->second.Value_);
}

json::object Platform::toJson(const std::string &Key, const Item &From) const {
  return {{"key", Key},
          {"value", toBase64(From.Value_)},
          {"revision", From.Revision_},
          {"created", From.Created_},
          {"lease", From.Lease_}};
}

HttpReply Platform::handle(const HttpRequest &Request) {
  if (Request.Path_ == "/api/kv-range")
    return range(Request);
  if (Request.Path_ == "/api/kv-watch")
    return watch(Request);
  if (Request.Path_ == "/api/kv-txn")
    return transact(Request);
  if (Request.Path_.starts_with("/api/kv-lease") ||
      Request.Path_.starts_with("/api/kv-keep/"))
    return lease(Request);
  if (Request.Path_ == "/api/machines")
    return listMachines();
  if (Request.Path_ == "/api/machine-move" ||
      Request.Path_ == "/api/machine-upkeep")
    return order(Request);
  if (Request.Path_ != "/api/kv-key")
    return answer(404, {});
  const Lock Held(Mutex_);
  const auto Found = Items_.find(Request.query("key"));
  if (Found == Items_.end())
    return answer(404, {});
  json::object Result = toJson(Found->first, Found->second);
  Result["store_revision"] = Revision_;
  return answer(200, Result);
}

HttpReply Platform::range(const HttpRequest &Request) const {
  const Lock Held(Mutex_);
  const std::string Prefix = Request.query("path_prefix");
  const std::string After = Request.query("after");
  json::array Items;
  bool More = false;
  for (auto At = After.empty() ? Items_.lower_bound(Prefix)
                               : Items_.upper_bound(std::max(Prefix, After));
       At != Items_.end() && At->first.starts_with(Prefix); ++At) {
    More = Items.size() == PageItems;
    if (More)
      break;
    Items.push_back(toJson(At->first, At->second));
  }
  return answer(
      200,
      {{"items", Items}, {"more_pages", More}, {"store_revision", Revision_}});
}

HttpReply Platform::watch(const HttpRequest &Request) {
  Lock Held(Mutex_);
  const std::string Prefix = Request.query("path_prefix");
  const std::int64_t After = std::atoll(Request.query("after").c_str());
  const std::int64_t Until =
      nowMs() + std::atoll(Request.query("wait_ms").c_str());
  while (!Stopped_) {
    json::array Seen;
    for (auto At = Events_.rbegin();
         At != Events_.rend() && At->Revision_ > After; ++At) {
      if (!At->Key_.starts_with(Prefix))
        continue;
      if (At->Deleted_)
        Seen.insert(Seen.begin(), json::object{{"key", At->Key_},
                                               {"revision", At->Revision_},
                                               {"deleted", true}});
      else
        Seen.insert(Seen.begin(), toJson(At->Key_, At->Item_));
    }
    if (!Seen.empty() || nowMs() >= Until)
      return answer(200, {{"events", Seen}, {"store_revision", Revision_}});
    Changed_.wait_for(Held, std::chrono::milliseconds(Until - nowMs() + 1));
  }
  return dropped();
}

HttpReply Platform::transact(const HttpRequest &Request) {
  const Lock Held(Mutex_);
  const json::object Body = parseObject(Request.Body_);
  const json::array Expected = arrayOf(Body, "expected_revision");
  const json::array Puts = arrayOf(Body, "puts");
  const json::array Removals = arrayOf(Body, "remove");
  for (const json::value &Put : Puts) {
    const std::string Key = textOf(Put.as_object(), "key");
    if (Key.starts_with("op/") || Key.starts_with("servers/"))
      return answer(403, {});
    const std::int64_t Id = numberOf(Put.as_object(), "lease");
    if (Id != 0 && !Leases_.contains(Id))
      return answer(404, {});
  }
  json::array Current;
  bool Holds = true;
  for (const json::value &Row : Expected) {
    const std::string Key = textOf(Row.as_object(), "key");
    const auto Found = Items_.find(Key);
    const std::int64_t Known =
        Found == Items_.end() ? 0 : Found->second.Revision_;
    Holds = Holds && Known == numberOf(Row.as_object(), "revision");
    if (Found != Items_.end())
      Current.push_back(toJson(Key, Found->second));
  }
  if (!Holds)
    return answer(412, {{"items", Current}});
  const std::int64_t Before = Revision_;
  for (const json::value &Put : Puts) {
    Revision_ = Before;
    putLocked(textOf(Put.as_object(), "key"),
              fromBase64(textOf(Put.as_object(), "value")),
              numberOf(Put.as_object(), "lease"));
  }
  for (const json::value &Key : Removals) {
    Revision_ = Before;
    removeLocked(std::string(Key.as_string().c_str()));
  }
  Revision_ = Before + 1;
  return answer(200, {{"revision", Revision_}});
}

HttpReply Platform::lease(const HttpRequest &Request) {
  const Lock Held(Mutex_);
  const std::int64_t Id =
      std::atoll(&Request.Path_[Request.Path_.rfind('/') + 1]);
  if (Request.Path_ == "/api/kv-lease") {
    const std::int64_t Ttl = numberOf(parseObject(Request.Body_), "ttl_ms");
    if (Ttl < 1000 || Ttl > 600'000)
      return answer(400, {});
    Leases_[NextLease_] = {Ttl, nowMs() + Ttl};
    return answer(200, {{"lease", NextLease_++}, {"ttl_ms", Ttl}});
  }
  const auto Found = Leases_.find(Id);
  if (Found == Leases_.end())
    return answer(404, {});
  if (Request.Path_.starts_with("/api/kv-keep/"))
    Found->second.EndsMs_ = nowMs() + Found->second.Ttl_;
  else
    Found->second.EndsMs_ = nowMs();
  return answer(200, {{"ttl_ms", Found->second.Ttl_}});
}

HttpReply Platform::listMachines() const {
  const Lock Held(Mutex_);
  json::array Rows;
  for (const auto &[Name, Host] : Machines_)
    Rows.push_back(json::object{
        {"machine", Name},
        {"pool", Host.Pool_},
        {"state", Host.State_},
        {"zone", "z1"},
        {"labels", json::array{Host.Kind_, Host.Rack_}},
        {"room", json::object{{"cpu", 16000}, {"mem_mb", 32768}, {"gpu", 0}}},
        {"id", Host.Worker_->id()}});
  return answer(200, {{"machines", Rows}, {"next_page_token", nullptr}});
}

HttpReply Platform::order(const HttpRequest &Request) {
  const json::object Body = parseObject(Request.Body_);
  MachineOrder Order;
  Order.Kind_ = Request.Path_ == "/api/machine-move" ? "move" : "upkeep";
  Order.Machine_ = textOf(Body, "machine");
  Order.Pool_ = textOf(Body, "pool");
  Order.Wave_ = numberOf(Body, "wave");
  Order.Holder_ = Request.header("x-lease-holder");
  Order.Token_ = std::atoll(Request.header("x-fencing-token").c_str());
  const std::string Text = Order.Kind_ + " of " + Order.Machine_ + " by " +
                           Order.Holder_ + " with token " +
                           std::to_string(Order.Token_);
  std::int64_t Late = 0;
  {
    const Lock Held(Mutex_);
    Orders_.push_back(Order);
    Log_.line("order: " + Text);
    if (Lateness_)
      Late = Lateness_(Order, static_cast<int>(Orders_.size()));
  }
  if (Late == 0) {
    HttpReply Reply = carryOut(Order);
    Log_.line("answered: " + Text + ": " + std::to_string(Reply.Status_) + " " +
              Reply.Body_);
    return Reply;
  }
  Log_.line("not answered, and carried out after " + std::to_string(Late) +
            " ms: " + Text);
  std::thread([this, Order, Text, Late] {
    sleepMs(Late);
    const HttpReply Reply = carryOut(Order);
    Log_.line("carried out late: " + Text + ": " +
              std::to_string(Reply.Status_) + " " + Reply.Body_);
  }).detach();
  sleepMs(Late);
  return dropped();
}

HttpReply Platform::carryOut(const MachineOrder &Order) {
  const Lock Held(Mutex_);
  const auto Found = Machines_.find(Order.Machine_);
  if (Found == Machines_.end())
    return answer(400, {});
  Machine &Host = Found->second;
  if (Order.Token_ < Host.Token_)
    return answer(409, {{"reason", "fence"}});
  Host.Token_ = Order.Token_;
  const bool IsMove = Order.Kind_ == "move";
  if (IsMove ? Host.Pool_ == Order.Pool_ : Host.Waves_.contains(Order.Wave_))
    return answer(200, {});
  if (Host.State_ != "up")
    return answer(409, {{"reason", "busy"}});
  if (IsMove) {
    Host.Pool_ = Order.Pool_;
    Host.State_ = "moving";
  } else {
    Upkeep Begun{Order.Machine_, Order.Wave_, nowMs(), 0};
    for (const auto &[Name, Other] : Machines_)
      Begun.OthersDown_ += Other.Wave_ == Order.Wave_;
    Upkeeps_.push_back(Begun);
    Host.Waves_.insert(Order.Wave_);
    Host.Wave_ = Order.Wave_;
    Host.State_ = "upkeep";
    Log_.line("upkeep of " + Order.Machine_ + " begins, " +
              std::to_string(Begun.OthersDown_) +
              " other machines of its wave are down for theirs");
  }
  Host.Worker_->crash();
  BeatAt_.erase("servers/" + Host.Worker_->id());
  removeLocked("servers/" + Host.Worker_->id());
  Returning_.emplace(nowMs() + (IsMove ? MoveMs : MaintenanceMs),
                     Order.Machine_);
  return answer(200, {});
}

std::vector<Start> Platform::starts() const {
  const Lock Held(Mutex_);
  return Starts_;
}

std::vector<MachineOrder> Platform::orders() const {
  const Lock Held(Mutex_);
  return Orders_;
}

std::vector<Upkeep> Platform::upkeeps() const {
  const Lock Held(Mutex_);
  return Upkeeps_;
}

std::vector<std::string> Platform::twice() const {
  const Lock Held(Mutex_);
  return Twice_;
}

std::size_t Platform::machinesDown() const {
  const Lock Held(Mutex_);
  return static_cast<std::size_t>(
      std::count_if(Machines_.begin(), Machines_.end(),
                    [](const auto &Row) { return Row.second.State_ != "up"; }));
}

} // namespace review3
