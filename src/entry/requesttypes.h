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

/// Why a request was refused or failed. Sent to the caller as `code`.
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
  ReplicasUnreachable,
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
/// HTTP status of a code.
int statusOf(ProblemCode Code);

/// A refusal or failure, sent to the caller as a problem document.
struct Problem {
  ProblemCode Code_ = ProblemCode::BadRequest;
  std::string Detail_;
  fleet::Outcome Outcome_ = fleet::Outcome::NotRun;
  /// Delay after which a retry may succeed; zero if it cannot.
  Duration RetryAfter_{0};
};

/// A caller's request that has passed authentication and validation.
struct WorkRequest {
  fleet::PoolName Pool_;
  fleet::TeamName Team_;
  fleet::RequestClass Class_ = fleet::RequestClass::Normal;
  fleet::Size Size_;
  TimePoint Deadline_{};
  bool Repeatable_ = true;
  /// Always set for non-repeatable requests.
  std::optional<idempotency::IdempotencyKey> Key_;
  std::string ContentType_;
};

/// Stops a request from outside: the caller disconnected or cancelled it, or it
/// is preempted.
class CancelToken {
public:
  void cancel() {
    Cancelled_ = true;
    notify();
  }
  /// Stops the current attempt; the request waits for another slot.
  void preempt() {
    Preempted_ = true;
    notify();
  }
  bool cancelled() const { return Cancelled_; }
  bool preempted() const { return Preempted_; }
  void clearPreemption() { Preempted_ = false; }
  /// Sets the function to call on cancellation or preemption. It is called at
  /// most once each time it is set.
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

/// An endpoint with the team permit and the slot to run one request on it.
struct Placement {
  routing::EndpointIndex Endpoint_;
  limits::Permit TeamPermit_;
  limits::Permit SlotPermit_;
};

} // namespace laburnumspread::entry
