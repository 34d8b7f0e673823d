#pragma once

#include "fleet/fleettypes.h"
#include "framework/fibers/waiter.h"
#include "framework/http/httptypes.h"
#include "idempotency/idempotencytypes.h"
#include "limits/limitstypes.h"
#include "routing/endpointtable.h"
#include "sharing/sharingtypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace laburnumspread::entry {

using framework::clock::Duration;
using framework::clock::TimePoint;

/// Why a request was refused or failed. The caller reads it as `code`.
enum class ProblemCode {
  BadRequest,
  MethodNotAllowed,
  NotFound,
  HeaderTooLarge,
  BodyTooLarge,
  SlowSender,
  MissingKey,
  UnknownKey,
  UnknownPool,
  MissingIdempotencyKey,
  MalformedIdempotencyKey,
  KeyTooOld,
  KeyFromTheFuture,
  KeyReused,
  DeadlinePassed,
  NeverFits,
  QueueFull,
  WaitExceedsDeadline,
  DeadlineInQueue,
  NoEndpoint,
  LimitIsZero,
  Cancelled,
  CutOff,
  Starting,
  Leaving,
  HomesUnreachable,
  InProgress,
  OutcomeUnknown,
  AlreadyRan,
  EndpointFailed,
  AnswerLost,
  AnswerTooLarge,
  LeaseEnded,
  Conflict,
  Invalid,
  StoreUnavailable,
  Gone,
  Forbidden
};
std::string_view nameOf(ProblemCode Code);
/// HTTP status that goes with a code.
int statusOf(ProblemCode Code);

/// A refusal or failure, said truthfully.
struct Problem {
  ProblemCode Code_ = ProblemCode::BadRequest;
  std::string Detail_;
  fleet::Outcome Outcome_ = fleet::Outcome::NotRun;
  /// When a retry may help; zero when it cannot.
  Duration RetryAfter_{0};
};

/// A caller's request after admission.
struct WorkRequest {
  fleet::PoolName Pool_;
  fleet::TeamName Team_;
  fleet::RequestClass Class_ = fleet::RequestClass::Normal;
  fleet::Size Size_;
  TimePoint Deadline_{};
  bool Repeatable_ = true;
  /// Given for all non-repeatable requests.
  std::optional<idempotency::IdempotencyKey> Key_;
  std::string ContentType_;
};

/// Ends a request from outside: its caller has gone, has cancelled it, or it
/// has to make room.
class CancelToken {
public:
  void cancel() {
    Cancelled_ = true;
    notify();
  }
  /// Stops the present run; the request waits for another slot.
  void preempt() {
    Preempted_ = true;
    notify();
  }
  bool cancelled() const { return Cancelled_; }
  bool preempted() const { return Preempted_; }
  void clearPreemption() { Preempted_ = false; }
  /// Called at most once for each time it is set.
  void setListener(std::function<void()> Wake) { Wake_ = std::move(Wake); }

private:
  void notify() {
    if (auto Wake = std::exchange(Wake_, nullptr))
      Wake();
  }
  std::function<void()> Wake_;
  bool Cancelled_ = false;
  bool Preempted_ = false;
};

/// The right to run a request on an endpoint now.
struct Placement {
  routing::EndpointIndex Endpoint_;
  limits::Permit TeamPermit_;
  limits::Permit SlotPermit_;
};

} // namespace laburnumspread::entry
