#include "standin/endpoint.h"

#include "framework/fibers/waiter.h"

#include <charconv>

namespace laburnumspread::standin {

namespace http = framework::http;
using framework::clock::SystemClock;
using framework::fibers::sleepFor;
using namespace std::chrono_literals;

namespace {

/// Time after which an endpoint in mode Silent responds after all.
constexpr auto SilentDuration = 60s;
constexpr std::size_t OversizeResponseBytes = 64 * 1024 * 1024;

/// The number after `"workMs":` in \p Body, or 0 if there is none.
std::int64_t parseWorkMillis(const std::string &Body) {
  constexpr std::string_view Field = "\"workMs\":";
  const std::size_t At = Body.find(Field);
  if (At == std::string::npos)
    return 0;
  std::size_t Start = At + Field.size();
  while (Start < Body.size() && Body[Start] == ' ')
    ++Start;
  std::int64_t Millis = 0;
  std::from_chars(Body.data() + Start, Body.data() + Body.size(), Millis);
  return Millis;
}

void refuse(http::Exchange &Call, std::string_view Reason) {
  http::Response Answer;
  Answer.Status_ = 503;
  Answer.Headers_.add("Endpoint-Refusal", Reason);
  Call.reply(Answer);
}

/// End of the task lease from the request's header; TimePoint::max() without
/// the header.
TimePoint parseTaskLease(const http::Request &Head) {
  const auto Text = Head.Headers_.find("Task-Lease-Until");
  if (!Text)
    return TimePoint::max();
  std::int64_t Millis = 0;
  std::from_chars(Text->data(), Text->data() + Text->size(), Millis);
  return framework::clock::fromMillis(Millis);
}

} // namespace

void Endpoint::handle(http::Exchange &Call) {
  std::string Body;
  for (bool More = true; More;) {
    const absl::StatusOr<bool> Next = Call.readSome(Body, 64 * 1024);
    if (!Next.ok())
      return Call.abort();
    More = *Next;
  }
  if (!Vms_.running(Vm_)) {
    ++Ledger_.RefusedDown_;
    return Call.abort();
  }
  if (Call.head().Target_ == "/healthz")
    return answer(Call, "ok");
  if (BusySlots_ >= Slots_) {
    ++Ledger_.RefusedBusy_;
    return refuse(Call, "busy");
  }
  if (parseTaskLease(Call.head()) <= SystemClock().now()) {
    ++Ledger_.RefusedLease_;
    return refuse(Call, "lease-ended");
  }
  ++BusySlots_;
  execute(Call, Body);
  --BusySlots_;
}

void Endpoint::execute(http::Exchange &Call, const std::string &Body) {
  const EndpointFault Fault = Faults_.endpointFault(Vm_);
  const http::Headers &Fields = Call.head().Headers_;
  const std::string Key(Fields.find("Idempotency-Key").value_or(""));
  const std::string Team(Fields.find("Request-Team").value_or(""));
  ++Ledger_.Started_;
  ++Ledger_.StartsByVm_[Vm_];
  if (!Key.empty())
    ++Ledger_.StartsByKey_[Team + "/" + Key];
  auto &Running = Ledger_.RunningByTeam_[Team];
  ++Running;
  Ledger_.PeakRunningByTeam_[Team] =
      std::max(Ledger_.PeakRunningByTeam_[Team], Running);

  auto Disconnected = std::make_shared<framework::fibers::Waiter>();
  Call.onCallerDisconnected([Disconnected] { Disconnected->signal(); });
  const TimePoint Start = SystemClock().now();
  auto WorkTime = std::chrono::milliseconds(parseWorkMillis(Body));
  if (Fault.Mode_ == EndpointMode::Silent)
    WorkTime = SilentDuration;
  if (Fault.Mode_ == EndpointMode::Fail)
    WorkTime = 0ms;
  const TimePoint Done = Start + WorkTime;
  const TimePoint Lease = parseTaskLease(Call.head());
  const bool Cancelled =
      WorkTime > 0ms && Disconnected->waitUntil(std::min(Done, Lease));
  --Running;
  if (Cancelled || Lease < Done) {
    ++Ledger_.Stopped_;
    return Call.abort();
  }
  if (!Vms_.running(Vm_)) {
    ++Ledger_.CutByReboot_;
    return Call.abort();
  }
  ++Ledger_.Finished_;
  if (Fault.Mode_ == EndpointMode::Late)
    sleepFor(std::chrono::milliseconds(Fault.DelayMs_));
  answer(Call, Body);
}

void Endpoint::answer(http::Exchange &Call, const std::string &Body) {
  const EndpointFault Fault = Faults_.endpointFault(Vm_);
  http::Response Answer;
  Answer.Status_ = Fault.Mode_ == EndpointMode::Fail ? 500 : 200;
  Answer.Headers_.add("Content-Type", "application/json");
  Answer.Headers_.add("Endpoint-Vm", Vm_);
  if (Fault.Mode_ == EndpointMode::Truncate) {
    Call.beginReply(Answer, Body.size() + 100);
    Call.write(Body + "...").IgnoreError();
    return Call.abort();
  }
  if (Fault.Mode_ == EndpointMode::Oversize) {
    Call.beginReply(Answer, std::nullopt);
    const std::string Part(64 * 1024, 'x');
    for (std::size_t Sent = 0; Sent < OversizeResponseBytes;
         Sent += Part.size())
      if (!Call.write(Part).ok())
        return;
    return Call.endReply();
  }
  Answer.Body_ = Body;
  Call.reply(Answer);
}

} // namespace laburnumspread::standin
