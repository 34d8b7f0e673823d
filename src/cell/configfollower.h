#pragma once

#include "cell/celltypes.h"
#include "framework/clock/steadyclock.h"
#include "framework/fibers/spawn.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "store/kvstore.h"

#include <functional>
#include <optional>
#include <string>

namespace laburnumspread::cell {

/// Reads the operator's keys from the store and watches them for changes.
/// Repeats the full read whenever the watch ends.
template <store::KeyValueStore Store> class ConfigFollower {
public:
  struct ConfigEvents {
    /// Called for each key-value pair that was read or written.
    std::function<void(const store::KeyValue &)> Received_;
    /// Called after the pairs of a full read with the keys that exist. All
    /// other keys have been deleted.
    std::function<void(const store::RangeResult &, TimePoint RequestedAt)>
        ReadAll_;
    /// Called after the pairs of a full read or of a watch batch: everything
    /// that was written before \p CompleteThrough, a time on the steady clock,
    /// has been received. Earlier items that these do not replace remain
    /// current.
    std::function<void(TimePoint CompleteThrough)> Confirmed_;
    /// Returns whether a peer has a newer configuration than the one received;
    /// checked after each watch batch to trigger a full read.
    std::function<bool()> Outdated_;
  };

  ConfigFollower(Store &S, std::string Prefix, ConfigEvents Events,
                 framework::metrics::Registry &Metrics)
      : Store_(S), Prefix_(std::move(Prefix)), Events_(std::move(Events)),
        Metrics_(Metrics) {}

  /// Runs the read and watch loop. Never returns.
  void follow() {
    while (true) {
      if (const auto Through = readAll())
        watch(*Through);
      else
        framework::fibers::sleepFor(RetryPause);
    }
  }

private:
  static constexpr Duration ReadTime = std::chrono::milliseconds(900);
  static constexpr Duration RetryPause = std::chrono::milliseconds(150);

  /// Returns the store revision of the read, or nullopt if the read failed.
  std::optional<fleet::Revision> readAll() {
    const TimePoint RequestedAt = now();
    const auto Read = Store_.range(Prefix_, fleet::Revision(0),
                                   framework::clock::wallDeadline(ReadTime));
    recordRead(Read, now() - RequestedAt);
    if (!Read.ok())
      return std::nullopt;
    for (const store::KeyValue &Item : Read->Items_)
      Events_.Received_(Item);
    Events_.ReadAll_(*Read, RequestedAt);
    Events_.Confirmed_(RequestedAt);
    return Read->StoreRevision_;
  }

  /// Watches until a full read is needed. A batch does not tell the order of
  /// its deletions relative to its writes, so a deletion needs one too.
  void watch(fleet::Revision Through) {
    TimePoint RequestedAt = now();
    bool Deleted = false;
    const absl::Status Ended = Store_.watch(
        Prefix_, Through.next(), [&](const store::WatchBatch &Batch) {
          logBatch(Batch, now() - RequestedAt);
          for (const store::KeyValue &Item : Batch.Puts_)
            Events_.Received_(Item);
          Deleted = !Batch.Deletes_.empty();
          if (!Deleted)
            Events_.Confirmed_(Batch.CompleteThrough_);
          // The next request is sent as soon as this batch is handled.
          RequestedAt = now();
          return !Deleted && !Events_.Outdated_();
        });
    framework::log::info("config.watch_ended")
        .field("reason", !Ended.ok() ? std::string(Ended.message())
                         : Deleted   ? "a key was deleted"
                                     : "a peer has a newer configuration");
  }

  static TimePoint now() { return framework::clock::SteadyClock().now(); }

  void recordRead(const absl::StatusOr<store::RangeResult> &Read,
                  Duration Took) {
    const std::string Result = Read.ok() ? "ok" : "failed";
    Metrics_.counter("config_reads_total{result=\"" + Result + "\"}").add();
    framework::log::info("config.read")
        .field("result", Result)
        .field("took_ms", Took.count() / 1000)
        .field("value_bytes", Read.ok() ? valueBytes(Read->Items_) : 0)
        .field("reason", std::string(Read.status().message()));
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
};

} // namespace laburnumspread::cell
