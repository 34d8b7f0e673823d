#pragma once

#include "capacity/upkeepplanner.h"
#include "cell/term.h"
#include "framework/fibers/spawn.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>

namespace laburnumspread::cell {

/// Key and value under which a wave's progress is reported to the operator.
struct WaveStatusCodec {
  std::function<std::string(WaveNumber)> Key_;
  std::function<std::string(bool Done)> Value_;
};

/// Keeps the waves of machine upkeep of one term, logs their progress and
/// reports to the operator, through the store, which of them are under way and
/// which are done.
template <store::KeyValueStore Store>
class WaveReporter : public std::enable_shared_from_this<WaveReporter<Store>> {
public:
  static constexpr Duration ProgressInterval = std::chrono::milliseconds(1000);
  static constexpr Duration RetryPause = std::chrono::milliseconds(400);
  static constexpr Duration ReportTimeout = std::chrono::milliseconds(900);

  WaveReporter(std::shared_ptr<Term<Store>> T, Store &Kv, WaveStatusCodec Codec)
      : Term_(std::move(T)), Store_(Kv), Codec_(std::move(Codec)) {}

  /// Sets the keys of the cell; reports are written only while its head key has
  /// this term's token.
  void setKeys(const journal::CellKeys &Keys) { Keys_ = Keys; }

  /// Adds waves that were not known before.
  void add(const std::map<WaveNumber, WaveRecord> &Waves) {
    for (const auto &[Number, Record] : Waves) {
      auto [Row, Inserted] = Waves_.try_emplace(Number);
      if (!Inserted)
        continue;
      Row->second.Record_ = Record;
      Row->second.FirstSeenAt_ = now();
      framework::log::info("wave.seen")
          .field("wave", Number.value())
          .field("machines",
                 static_cast<std::uint64_t>(Record.Machines_.size()))
          .field("at_once", static_cast<std::uint64_t>(Record.MaxAllowed_))
          .field("duration_ms", Record.Duration_.count() / 1000);
    }
  }

  /// Records which upkeep has begun, as the journal tells.
  void updateStarted() {
    for (auto &[Number, Wave] : Waves_)
      if (const auto Found = Term_->Table_.upkeep().find(Number);
          Found != Term_->Table_.upkeep().end())
        Wave.Started_ = Found->second;
  }

  const std::map<WaveNumber, capacity::WaveRow> &waves() const {
    return Waves_;
  }

  /// Whether a wave has not been reported as done.
  bool anyOpen() const {
    return std::any_of(Waves_.begin(), Waves_.end(), [](const auto &Item) {
      return !Item.second.DoneReported_;
    });
  }

  /// Reports the waves that \p Plan completes, and those that are new, and logs
  /// the progress of the others.
  void report(const capacity::UpkeepPlan &Plan) {
    for (auto &[Number, Wave] : Waves_)
      if (!Wave.RunningReported_)
        reportState(Number, Wave, false);
    for (const WaveNumber Number : Plan.Done_)
      reportState(Number, Waves_.at(Number), true);
    logProgress(Plan.Progress_);
  }

private:
  static TimePoint now() { return Term<Store>::now(); }

  /// Logs the progress of each wave once per ProgressInterval.
  void
  logProgress(const std::map<WaveNumber, capacity::WaveProgress> &Progress) {
    if (now() < NextProgressAt_)
      return;
    NextProgressAt_ = now() + ProgressInterval;
    for (const auto &[Number, Wave] : Progress)
      framework::log::info("wave.progress")
          .field("wave", Number.value())
          .field("remaining", static_cast<std::uint64_t>(Wave.Remaining_))
          .field("idle", static_cast<std::uint64_t>(Wave.RemainingIdle_))
          .field("busy_machine", Wave.Busy_.str())
          .field("down", static_cast<std::uint64_t>(Wave.Down_))
          .field("urgent", Wave.Urgent_ ? "yes" : "no");
  }

  void reportState(WaveNumber Number, capacity::WaveRow &Wave, bool Done) {
    if (Wave.DoneReported_)
      return;
    Wave.RunningReported_ = true;
    Wave.DoneReported_ = Done;
    framework::fibers::spawn([Self = this->shared_from_this(), Number, Done] {
      Self->sendReport(Number, Done);
    });
  }

  void sendReport(WaveNumber Number, bool Done) {
    store::Transaction Txn;
    Txn.Puts_ = {{Codec_.Key_(Number), Codec_.Value_(Done), 0}};
    while (!Term_->ended()) {
      // A report of an earlier state that is written late must not overwrite a
      // newer one.
      if (!Done && Waves_.at(Number).DoneReported_)
        return;
      Txn.Compares_ = {{Keys_.head(), fleet::Revision(Term_->Token_.value())}};
      const auto Written =
          Store_.commit(Txn, framework::clock::wallDeadline(ReportTimeout));
      // If the head key is being rewritten at this moment, nothing is written,
      // and the next attempt uses the new token.
      if (Written.ok() && Written->Succeeded_) {
        framework::log::info("wave.reported")
            .field("wave", Number.value())
            .field("state", Done ? "done" : "running");
        return;
      }
      framework::fibers::sleepFor(RetryPause);
    }
  }

  std::shared_ptr<Term<Store>> Term_;
  Store &Store_;
  journal::CellKeys Keys_{""};
  WaveStatusCodec Codec_;
  std::map<WaveNumber, capacity::WaveRow> Waves_;
  TimePoint NextProgressAt_{};
};

} // namespace laburnumspread::cell
