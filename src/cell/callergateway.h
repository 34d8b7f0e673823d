#pragma once

#include "cell/callrouter.h"
#include "cell/celltypes.h"
#include "framework/metrics/metrics.h"

#include <absl/status/statusor.h>

namespace laburnumspread::cell {

/// A caller's request about jobs, as it came in.
struct CallerRequest {
  enum class Verb { Submit, Read, Cancel, Other };

  Verb Verb_ = Verb::Other;
  std::string Host_;
  std::string Path_;
  std::string Key_;
  /// How long the caller waits for the answer.
  Duration Timeout_{};
  std::string Body_;
};

enum class CallerStatus {
  /// The job is stored, or cancelled.
  Accepted,
  /// State_ holds the job's state.
  State,
  /// Waiting_ holds the queue's count.
  Waiting,
  NoSuchQueue,
  NoSuchJob,
  UnknownKey,
  Malformed,
  /// Not taken, and this attempt never will be; RetryAfter_ says when to come
  /// again.
  TryLater,
  /// Whether it was taken is not known.
  Unknown,
};
std::string_view nameOf(CallerStatus Status);

struct CallerAnswer {
  CallerStatus Status_ = CallerStatus::Unknown;
  std::string State_;
  std::uint64_t Waiting_ = 0;
  Duration RetryAfter_{};
  std::string Detail_;
};

/// Lets callers in by the configuration in force, and passes what they ask to
/// the holder of the cell.
class CallerGateway {
public:
  /// Reads a job's body; the names in it are the platform's.
  using ReadJob =
      std::function<absl::StatusOr<jobs::JobSpec>(std::string_view)>;

  /// How long a call may wait for a holder to appear. A takeover after a
  /// planned stop takes some tens of milliseconds; after a crash it takes
  /// seconds, and the caller had better come again.
  static constexpr Duration LeaderWait = std::chrono::milliseconds(80);
  /// How long a call may wait for the holder's reply: far more than a commit
  /// takes while the store answers, well within what a caller has.
  static constexpr Duration ReplyTimeout = std::chrono::milliseconds(1000);
  /// Kept back from the caller's patience for the way of the answer.
  static constexpr Duration AnswerMargin = std::chrono::milliseconds(100);
  static constexpr Duration RetryAfter = std::chrono::seconds(1);
  /// A configuration that has not been confirmed for this long may be out of
  /// date: keys may have been withdrawn or queues added since.
  static constexpr Duration MaxConfigAge = std::chrono::seconds(3);

  CallerGateway(CallRouter &Router, ReadJob Read,
                framework::metrics::Registry &Metrics)
      : Router_(Router), ReadJob_(std::move(Read)), Metrics_(Metrics) {}

  void setConfig(const CellConfig &Config) { Config_ = Config; }
  const CellConfig &config() const { return Config_; }

  /// Records that the store has just confirmed the configuration in force.
  void confirmConfig() { ConfirmedAt_ = framework::clock::SteadyClock().now(); }
  /// Records a configuration version reported by a peer; older ones are
  /// ignored.
  void recordPeerVersion(ConfigVersion Version) {
    NewestPeerVersion_ = std::max(NewestPeerVersion_, Version);
  }
  ConfigVersion newestKnownVersion() const {
    return std::max(NewestPeerVersion_, Config_.Version_);
  }
  /// Whether a peer has a newer configuration than this entry.
  bool outdated() const { return newestKnownVersion() > Config_.Version_; }
  /// Whether the store confirmed the configuration within MaxConfigAge.
  bool recentlyConfirmed() const { return configAge() < MaxConfigAge; }
  /// Time since the configuration in force was last confirmed.
  Duration configAge() const {
    return framework::clock::SteadyClock().now() - ConfirmedAt_;
  }

  /// Answers a request, and counts the answer and the time that it took.
  CallerAnswer serve(const CallerRequest &Request);

private:
  CallerAnswer handle(const CallerRequest &Request);
  CallerAnswer submit(const CallerRequest &Request, const QueueConfig &Queue,
                      const std::string &Job);
  CallerAnswer forward(const CallerRequest &Request, peers::JobCall Call);
  /// Answers with \p Status, or with TryLater if the configuration may be out
  /// of date, since callers treat NoSuchQueue and UnknownKey as final.
  CallerAnswer refuse(CallerStatus Status, std::string Detail) const;

  CallRouter &Router_;
  ReadJob ReadJob_;
  framework::metrics::Registry &Metrics_;
  CellConfig Config_;
  TimePoint ConfirmedAt_{};
  /// Newest configuration version reported by a peer.
  ConfigVersion NewestPeerVersion_;
};

} // namespace laburnumspread::cell
