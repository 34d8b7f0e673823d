#include "entry/requesttypes.h"

#include <array>

namespace laburnumspread::entry {

namespace {

struct CodeRow {
  ProblemCode Code_;
  std::string_view Name_;
  int Status_;
};

constexpr std::array CodeRows = {
    CodeRow{ProblemCode::BadRequest, "bad-request", 400},
    CodeRow{ProblemCode::MethodNotAllowed, "method-not-allowed", 405},
    CodeRow{ProblemCode::NotFound, "not-found", 404},
    CodeRow{ProblemCode::HeaderTooLarge, "header-too-large", 431},
    CodeRow{ProblemCode::BodyTooLarge, "body-too-large", 413},
    CodeRow{ProblemCode::SlowSender, "slow-sender", 408},
    CodeRow{ProblemCode::MissingKey, "missing-key", 401},
    CodeRow{ProblemCode::UnknownKey, "unknown-key", 401},
    CodeRow{ProblemCode::UnknownPool, "unknown-pool", 404},
    CodeRow{ProblemCode::MissingIdempotencyKey, "missing-idempotency-key", 400},
    CodeRow{ProblemCode::MalformedIdempotencyKey, "malformed-idempotency-key",
            400},
    CodeRow{ProblemCode::KeyTooOld, "idempotency-key-too-old", 422},
    CodeRow{ProblemCode::KeyFromTheFuture, "idempotency-key-from-the-future",
            422},
    CodeRow{ProblemCode::KeyReused, "idempotency-key-reused", 422},
    CodeRow{ProblemCode::DeadlinePassed, "deadline-passed", 408},
    CodeRow{ProblemCode::NeverFits, "never-fits", 422},
    CodeRow{ProblemCode::QueueFull, "queue-full", 429},
    CodeRow{ProblemCode::WaitExceedsDeadline, "wait-exceeds-deadline", 503},
    CodeRow{ProblemCode::DeadlineInQueue, "deadline-in-queue", 503},
    CodeRow{ProblemCode::NoEndpoint, "no-endpoint", 503},
    CodeRow{ProblemCode::LimitIsZero, "limit-is-zero", 403},
    CodeRow{ProblemCode::Cancelled, "cancelled", 409},
    CodeRow{ProblemCode::CutOff, "cut-off", 503},
    CodeRow{ProblemCode::Starting, "starting", 503},
    CodeRow{ProblemCode::Leaving, "leaving", 503},
    CodeRow{ProblemCode::ReplicasUnreachable, "homes-unreachable", 503},
    CodeRow{ProblemCode::InProgress, "in-progress", 409},
    CodeRow{ProblemCode::OutcomeUnknown, "outcome-unknown", 409},
    CodeRow{ProblemCode::AlreadyRan, "already-ran", 409},
    CodeRow{ProblemCode::EndpointFailed, "endpoint-failed", 502},
    CodeRow{ProblemCode::AnswerLost, "answer-lost", 504},
    CodeRow{ProblemCode::AnswerTooLarge, "answer-too-large", 502},
    CodeRow{ProblemCode::LeaseEnded, "lease-ended", 503},
    CodeRow{ProblemCode::Conflict, "conflict", 409},
    CodeRow{ProblemCode::Invalid, "invalid", 422},
    CodeRow{ProblemCode::StoreUnavailable, "store-unavailable", 503},
    CodeRow{ProblemCode::Gone, "gone", 410},
    CodeRow{ProblemCode::Forbidden, "forbidden", 403},
};

const CodeRow &rowOf(ProblemCode Code) {
  for (const CodeRow &Row : CodeRows)
    if (Row.Code_ == Code)
      return Row;
  return CodeRows[0];
}

} // namespace

std::string_view nameOf(ProblemCode Code) { return rowOf(Code).Name_; }
int statusOf(ProblemCode Code) { return rowOf(Code).Status_; }

} // namespace laburnumspread::entry
