#pragma once

#include "cell/callrouter.h"
#include "cell/configinforce.h"
#include "framework/metrics/metrics.h"

#include <absl/status/statusor.h>

namespace laburnumspread::cell {

/// A caller's request about jobs.
struct CallerRequest {
  enum class Verb { Submit, Read, Cancel, Other };

  Verb Verb_ = Verb::Other;
  std::string Host_;
  std::string Path_;
  /// The caller's API key.
  std::string Key_;
  /// How long the caller waits for the answer.
  Duration Timeout_{};
  std::string Body_;
};

/// Outcome of a caller's request.
enum class CallerStatus {
  /// The job is stored, or its cancellation is.
  Accepted,
  /// State_ holds the job's state.
  State,
  /// Waiting_ holds the number of waiting jobs of the queue.
  Waiting,
  NoSuchQueue,
  NoSuchJob,
  UnknownKey,
  Malformed,
  /// The job is larger than the store can hold.
  TooLarge,
  /// The request was not accepted, nor will it be later; RetryAfter_ tells when
  /// to try again.
  TryLater,
  /// It is not known whether the request was accepted.
  Unknown,
};
/// Returns the name used in logs and metrics.
std::string_view nameOf(CallerStatus Status);

/// Answer to a caller's request.
struct CallerAnswer {
  CallerStatus Status_ = CallerStatus::Unknown;
  std::string State_;
  std::uint64_t Waiting_ = 0;
  Duration RetryAfter_{};
  std::string Detail_;
  /// The leader that was asked last, by which call, and how often a leader was
  /// asked.
  journal::Leader Leader_;
  std::uint64_t Call_ = 0;
  std::uint32_t Attempts_ = 0;
};

/// Admits callers according to the configuration in force and forwards their
/// requests to the leader of the cell.
class CallerGateway {
public:
  /// Parses the body of a job, in the platform's format.
  using ReadJob =
      std::function<absl::StatusOr<jobs::JobSpec>(std::string_view)>;

  /// How long a call may wait for a leader. A takeover after a planned stop
  /// takes tens of milliseconds. After a crash it takes seconds, and the caller
  /// should rather retry.
  static constexpr Duration LeaderWait = std::chrono::milliseconds(80);
  /// How long a call may wait for the leader's reply: much longer than a commit
  /// takes while the store responds, and well below the callers' timeouts.
  static constexpr Duration ReplyTimeout = std::chrono::milliseconds(1000);
  /// Part of the caller's timeout that is reserved for sending the answer.
  static constexpr Duration AnswerMargin = std::chrono::milliseconds(100);
  static constexpr Duration RetryAfter = std::chrono::seconds(1);

  CallerGateway(CallRouter &Router, ConfigInForce &InForce, ReadJob Read,
                framework::metrics::Registry &Metrics)
      : Router_(Router), InForce_(InForce), ReadJob_(std::move(Read)),
        Metrics_(Metrics) {}

  const ConfigInForce &inForce() const { return InForce_; }

  /// Sets the largest value that the store accepts.
  void setMaxValueBytes(std::size_t Bytes) { MaxValueBytes_ = Bytes; }

  /// Answers a request, and records the answer and its duration as metrics.
  CallerAnswer serve(const CallerRequest &Request);

private:
  CallerAnswer handle(const CallerRequest &Request);
  CallerAnswer submit(const CallerRequest &Request, const QueueConfig &Queue,
                      const std::string &Job);
  CallerAnswer forward(const CallerRequest &Request, peers::JobCall Call);
  static CallerAnswer answerFor(const peers::JobReply &Reply,
                                peers::JobCallKind Kind);
  /// Answers with \p Status, or with TryLater if the configuration may be out
  /// of date, since callers treat NoSuchQueue and UnknownKey as final.
  CallerAnswer refuse(CallerStatus Status, std::string Detail) const;

  CallRouter &Router_;
  ConfigInForce &InForce_;
  ReadJob ReadJob_;
  framework::metrics::Registry &Metrics_;
  std::size_t MaxValueBytes_ = store::DefaultMaxValueBytes;
};

} // namespace laburnumspread::cell
