#pragma once

#include "cell/configreads.h"
#include "framework/clock/steadyclock.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "store/kvstore.h"

#include <functional>
#include <optional>
#include <string>

namespace laburnumspread::cell {

/// What a ConfigFollower tells the code that uses the configuration. The
/// functions must not block.
struct ConfigEvents {
  /// Called for each key-value pair that was read or written; of several writes
  /// of one key that arrive together, for the newest.
  std::function<void(const store::KeyValue &)> Received_;
  /// Called after the pairs of a full read with the keys that exist. All other
  /// keys have been deleted.
  std::function<void(const store::RangeResult &, TimePoint RequestedAt)>
      ReadAll_;
  /// Called after the pairs of a full read or of a watch batch: everything that
  /// was written before \p CompleteThrough, a time on the steady clock, has
  /// been received. Earlier items that these do not replace remain current.
  std::function<void(TimePoint CompleteThrough)> Confirmed_;
  /// Returns whether the configuration is needed beyond what the watch brings.
  std::function<ConfigNeed()> Need_;
};

/// Reads the operator's keys from the store and watches them for changes.
/// Repeats the full read whenever the watch ends, and reads beside the watch as
/// ConfigReads decides.
///
/// Its fibers are urgent. A large answer arrives in many parts, and an ordinary
/// fiber waits for all that are ready before each of them: a leader with much
/// to do took seconds for a value that its link carries in milliseconds.
template <store::BoundedWatchStore Store> class ConfigFollower {
public:
  ConfigFollower(Store &S, std::string Prefix, ConfigEvents Events,
                 framework::metrics::Registry &Metrics)
      : Store_(S), Prefix_(std::move(Prefix)), Events_(std::move(Events)),
        Metrics_(Metrics) {}

  /// Starts following the configuration, until the process exits.
  void start() {
    framework::fibers::spawnUrgent([this] { follow(); });
    framework::fibers::spawnUrgent([this] { readBesideTheWatch(); });
  }

private:
  static constexpr Duration ReadTime = std::chrono::milliseconds(900);
  static constexpr Duration RetryPause = std::chrono::milliseconds(150);
  static constexpr Duration NeedCheckInterval = std::chrono::milliseconds(100);

  void follow() {
    while (true) {
      if (const auto Through = readAll("watch"))
        watch(*Through);
      else
        framework::fibers::sleepFor(RetryPause);
    }
  }

  void readBesideTheWatch() {
    while (true) {
      framework::fibers::sleepFor(NeedCheckInterval);
      const ConfigNeed Need = Events_.Need_();
      if (Reads_.due(Need, now()))
        framework::fibers::spawnUrgent([this, Need] { readAll(nameOf(Need)); });
    }
  }

  /// Returns the store revision of the read, or nullopt if the read failed. \p
  /// Cause says in the log what the read is for.
  std::optional<fleet::Revision> readAll(std::string_view Cause) {
    const TimePoint RequestedAt = now();
    const auto Read = Store_.range(Prefix_, fleet::Revision(0),
                                   framework::clock::wallDeadline(ReadTime));
    recordRead(Read, now() - RequestedAt, Cause);
    if (!Read.ok())
      return std::nullopt;
    // The watch may have brought later changes while this read was under way.
    if (Watched_.isOlder(Read->StoreRevision_)) {
      framework::log::info("config.read_ignored")
          .field("revision", Read->StoreRevision_.value());
      return Read->StoreRevision_;
    }
    for (const store::KeyValue &Item : Read->Items_)
      receive(Item, true);
    Watched_.recordThrough(Read->StoreRevision_);
    Events_.ReadAll_(*Read, RequestedAt);
    Events_.Confirmed_(RequestedAt);
    return Read->StoreRevision_;
  }

  /// Watches until a full read is needed. A batch does not tell the order of
  /// its deletions relative to its writes, so a deletion needs one too.
  void watch(fleet::Revision Through) {
    TimePoint RequestedAt = now();
    std::string_view Reason;
    const absl::Status Ended = Store_.watch(
        Prefix_, Through.next(),
        [&](const store::WatchBatch &Batch) {
          logBatch(Batch, now() - RequestedAt);
          Reason = receiveBatch(Batch);
          // The next request is sent as soon as this batch is handled.
          RequestedAt = now();
          return Reason.empty();
        },
        Reads_.maxWatchBytes());
    framework::log::info("config.watch_ended")
        .field("reason", !Ended.ok() ? std::string(Ended.message())
                                     : std::string(Reason));
  }

  /// Returns why a full read is needed, or an empty text.
  std::string_view receiveBatch(const store::WatchBatch &Batch) {
    for (const store::KeyValue &Item : newestOfEach(Batch.Puts_))
      receive(Item, false);
    Watched_.recordThrough(Batch.StoreRevision_);
    if (!Batch.Deletes_.empty())
      return "a key was deleted";
    Events_.Confirmed_(Batch.CompleteThrough_);
    return Reads_.idleReadDue(now()) ? "a full read is due" : "";
  }

  void receive(const store::KeyValue &Item, bool ByRead) {
    if (ByRead && Watched_.wasMissed(Item))
      recordMissed(Item);
    Watched_.recordItem(Item);
    Events_.Received_(Item);
  }

  static TimePoint now() { return framework::clock::SteadyClock().now(); }

  void recordRead(const absl::StatusOr<store::RangeResult> &Read, Duration Took,
                  std::string_view Cause) {
    const std::string Result = Read.ok() ? "ok" : "failed";
    const std::uint64_t Bytes = Read.ok() ? valueBytes(Read->Items_) : 0;
    if (Read.ok())
      Reads_.recordRead(Took, Bytes, now());
    Metrics_.counter("config_reads_total{result=\"" + Result + "\"}").add();
    framework::log::info("config.read")
        .field("result", Result)
        .field("cause", Cause)
        .field("took_ms", Took.count() / 1000)
        .field("value_bytes", Bytes)
        .field("reason", std::string(Read.status().message()));
  }

  void recordMissed(const store::KeyValue &Item) {
    Metrics_.counter("config_changes_missed_total").add();
    framework::log::error("config.change_missed")
        .field("key", Item.Key_)
        .field("revision", Item.ModRevision_.value());
  }

  /// Tells how long changes took from the request for them to their arrival,
  /// and how much arrived with them.
  static void logBatch(const store::WatchBatch &Batch, Duration Took) {
    if (Batch.Puts_.empty() && Batch.Deletes_.empty())
      return;
    framework::log::info("config.changes")
        .field("through", Batch.StoreRevision_.value())
        .field("written", static_cast<std::uint64_t>(Batch.Puts_.size()))
        .field("deleted", static_cast<std::uint64_t>(Batch.Deletes_.size()))
        .field("took_ms", Took.count() / 1000)
        .field("value_bytes", valueBytes(Batch.Puts_));
  }

  static std::uint64_t valueBytes(const std::vector<store::KeyValue> &Items) {
    std::uint64_t Sum = 0;
    for (const store::KeyValue &Item : Items)
      Sum += Item.Value_.size();
    return Sum;
  }

  Store &Store_;
  std::string Prefix_;
  ConfigEvents Events_;
  framework::metrics::Registry &Metrics_;
  ConfigReads Reads_;
  WatchedRevisions Watched_;
};

} // namespace laburnumspread::cell
