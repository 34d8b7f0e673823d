#include "standin/platform.h"

#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/settings/jsonreader.h"

#include <array>

#include <boost/json.hpp>

namespace laburnumspread::standin {

namespace json = boost::json;
namespace http = framework::http;
using framework::clock::SystemClock;
using framework::settings::FieldErrors;
using framework::settings::JsonReader;
using namespace std::chrono_literals;

namespace {

constexpr auto TickInterval = 20ms;

http::ServerLimits serverLimits() {
  http::ServerLimits Limits;
  Limits.Connections_ = 16 * 1024;
  Limits.IoTimeout_ = 60s;
  return Limits;
}

http::Response jsonResponse(int Status, std::string Body) {
  http::Response Answer;
  Answer.Status_ = Status;
  Answer.Headers_.add("Content-Type", "application/json");
  Answer.Body_ = std::move(Body);
  return Answer;
}

http::Response errorResponse(int Status, const std::string &Reason) {
  return jsonResponse(Status,
                      json::serialize(json::object{{"message", Reason}}));
}

std::string readBody(http::Exchange &Call) {
  std::string Body;
  for (bool More = true; More;) {
    const absl::StatusOr<bool> Next = Call.readSome(Body, 64 * 1024);
    More = Next.ok() && *Next;
  }
  return Body;
}

std::optional<EndpointMode> parseMode(std::string_view Name) {
  constexpr std::array<std::string_view, 6> Names = {
      "good", "silent", "fail", "truncate", "late", "oversize"};
  for (std::size_t I = 0; I < Names.size(); ++I)
    if (Names[I] == Name)
      return static_cast<EndpointMode>(I);
  return std::nullopt;
}

/// Updates \p Into. Fields that are absent keep their values.
void readFaults(JsonReader &Reader, Faults &Into) {
  Into.StoreDown_ = Reader.optionalBool("storeDown", Into.StoreDown_);
  Into.StoreSlowMs_ = Reader.optionalInt("storeSlowMs", Into.StoreSlowMs_, {});
  Into.LoseAnswers_ = Reader.optionalInt("loseAnswers", Into.LoseAnswers_, {});
  Into.WatchSilent_ = Reader.optionalBool("watchSilent", Into.WatchSilent_);
  Into.ListLagMs_ = Reader.optionalInt("listLagMs", Into.ListLagMs_, {});
  Into.BadReboots_ = Reader.optionalInt("badReboots", Into.BadReboots_, {});
  Reader.eachObject("endpoints", [&](JsonReader &Item) {
    EndpointFault &Fault = Into.Endpoints_[Item.requiredString("vm")];
    const auto Mode = parseMode(Item.optionalString("mode", "good"));
    if (!Mode)
      Item.addError("mode", "unknown mode");
    Fault.Mode_ = Mode.value_or(EndpointMode::Good);
    Fault.DelayMs_ = Item.optionalInt("delayMs", 0, {});
  });
}

template <typename CountMap> json::object toJsonObject(const CountMap &Counts) {
  json::object Result;
  for (const auto &[Name, Count] : Counts)
    Result[Name] = Count;
  return Result;
}

} // namespace

Platform::Platform(boost::asio::io_context &Io, PlatformOptions Options)
    : Io_(Io), Options_(std::move(Options)),
      Vms_(Faults_, Options_.RebootTime_), Store_(Faults_),
      Control_(
          Io, serverLimits(), [this](http::Exchange &Call) { handle(Call); },
          errorResponse) {}

absl::Status Platform::start() {
  framework::fibers::spawn([this] {
    while (true) {
      framework::fibers::sleepFor(TickInterval);
      Vms_.tick(SystemClock().now());
    }
  });
  return Control_.listen(Options_.Control_);
}

void Platform::addVm(const std::string &Name) {
  Vms_.add(Name, SystemClock().now());
}

absl::StatusOr<std::uint16_t> Platform::addControl(http::Address At) {
  auto Port = std::make_shared<std::uint16_t>(0);
  Servers_.push_back(std::make_unique<http::Server>(
      Io_, serverLimits(),
      [this, Port](http::Exchange &Call) {
        if (UnreachablePorts_.contains(*Port))
          return Call.abort();
        handle(Call);
      },
      errorResponse));
  if (absl::Status Status = Servers_.back()->listen(At); !Status.ok())
    return Status;
  *Port = Servers_.back()->port();
  return *Port;
}

void Platform::setControlUnreachable(std::uint16_t Port, bool Unreachable) {
  if (Unreachable)
    UnreachablePorts_.insert(Port);
  else
    UnreachablePorts_.erase(Port);
}

absl::StatusOr<std::uint16_t> Platform::addEndpoint(const std::string &Vm,
                                                    std::uint32_t Slots,
                                                    http::Address At) {
  addVm(Vm);
  Endpoints_.push_back(
      std::make_unique<Endpoint>(Vm, Slots, Faults_, Vms_, Ledger_));
  Endpoint *Target = Endpoints_.back().get();
  Servers_.push_back(std::make_unique<http::Server>(
      Io_, serverLimits(),
      [Target](http::Exchange &Call) { Target->handle(Call); }, errorResponse));
  if (absl::Status Status = Servers_.back()->listen(At); !Status.ok())
    return Status;
  return Servers_.back()->port();
}

void Platform::handle(http::Exchange &Call) {
  const http::Target Path = http::parseTarget(Call.head().Target_);
  const std::string Root = Path.Segments_.empty() ? "" : Path.Segments_.front();
  if (Root == "v3")
    return Store_.handle(Call);
  if (Root == "faults")
    return handleFaults(Call);
  if (Root == "platform" && Path.Segments_.size() > 1)
    return handlePlatform(Call, Path);
  Call.reply(errorResponse(404, "not found"));
}

void Platform::handleFaults(http::Exchange &Call) {
  const auto Document = framework::settings::parseJson(readBody(Call));
  if (!Document.ok())
    return Call.reply(
        errorResponse(400, std::string(Document.status().message())));
  FieldErrors Errors;
  JsonReader Reader(*Document, "", Errors);
  if (Reader.optionalBool("saveStore", false))
    Store_.state().save();
  if (Reader.optionalBool("restoreStore", false))
    Store_.state().restore();
  readFaults(Reader, Faults_);
  Reader.finish();
  Store_.notifyWatchers();
  if (!Errors.empty())
    return Call.reply(
        errorResponse(400, framework::settings::describe(Errors)));
  Call.reply(jsonResponse(200, "{}"));
}

void Platform::handlePlatform(http::Exchange &Call, const http::Target &Path) {
  const auto &Parts = Path.Segments_;
  const TimePoint Now = SystemClock().now();
  const std::string &Method = Call.head().Method_;
  if (Parts[1] == "vms" && Parts.size() == 2 && Method == "GET")
    return replyVmList(
        Call,
        std::strtoll(std::string(Path.query("since").value_or("0")).c_str(),
                     nullptr, 10));
  if (Parts[1] == "ledger" && Method == "GET")
    return replyLedger(Call);
  if (Parts[1] == "keys" && Method == "GET")
    return Call.reply(
        jsonResponse(200, json::serialize(json::object{
                              {"keys", toJsonObject(Ledger_.StartsByKey_)}})));
  if (Parts[1] == "vms" && Parts.size() == 3 && Method == "PUT") {
    const std::string State = readBody(Call);
    addVm(Parts[2]);
    Vms_.setState(Parts[2], State.empty() ? "live" : State, Now);
    return Call.reply(jsonResponse(200, "{}"));
  }
  if (Parts[1] == "vms" && Parts.size() == 4 && Parts[3] == "reboot" &&
      Method == "POST") {
    const bool Known = Vms_.reboot(
        Parts[2], std::string(Path.query("ifBootId").value_or("")), Now);
    return Call.reply(Known ? jsonResponse(202, "{}")
                            : errorResponse(404, "no such VM"));
  }
  Call.reply(errorResponse(404, "not found"));
}

void Platform::replyVmList(http::Exchange &Call, std::int64_t Since) {
  json::array Rows, Gone;
  std::int64_t Version = 0;
  for (const auto &[Name, Row] : Vms_.listedRows(SystemClock().now())) {
    Version = std::max(Version, Row.ChangedAt_);
    if (Row.ChangedAt_ <= Since)
      continue;
    if (Row.State_ == "gone")
      Gone.emplace_back(Name);
    else
      Rows.push_back({{"name", Name},
                      {"state", Row.Rebooting_ ? "rebooting" : Row.State_},
                      {"bootId", Row.bootId(Name)}});
  }
  Call.reply(jsonResponse(
      200, json::serialize(json::object{{"version", Version},
                                        {"complete", Since == 0},
                                        {"vms", std::move(Rows)},
                                        {"gone", std::move(Gone)}})));
}

void Platform::replyLedger(http::Exchange &Call) {
  json::object Reboots;
  for (const auto &[Name, Row] : Vms_.rows())
    if (Row.Reboots_ > 0)
      Reboots[Name] = Row.Reboots_;
  Call.reply(jsonResponse(
      200, json::serialize(json::object{
               {"started", Ledger_.Started_},
               {"finished", Ledger_.Finished_},
               {"stopped", Ledger_.Stopped_},
               {"refusedBusy", Ledger_.RefusedBusy_},
               {"refusedLease", Ledger_.RefusedLease_},
               {"refusedDown", Ledger_.RefusedDown_},
               {"cutByReboot", Ledger_.CutByReboot_},
               {"keysStartedTwice", Ledger_.keysStartedTwice()},
               {"keysStarted", Ledger_.StartsByKey_.size()},
               {"mostByTeam", toJsonObject(Ledger_.PeakRunningByTeam_)},
               {"startsByVm", toJsonObject(Ledger_.StartsByVm_)},
               {"reboots", Reboots},
               {"storeCalls", toJsonObject(Store_.calls())},
           })));
}

} // namespace laburnumspread::standin
