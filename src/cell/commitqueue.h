#pragma once

#include "framework/fibers/spawn.h"
#include "framework/metrics/metrics.h"
#include "journal/journal.h"

namespace laburnumspread::cell {

/// What became of staged events.
enum class CommitOutcome {
  /// The store has them for good.
  Stored,
  /// The leadership ended before the store had answered.
  Unknown,
};

/// Collects events and commits them in groups: what is staged while one group
/// is on its way makes up the next. One store write carries all jobs, starts
/// and ends of some milliseconds, so the cost does not grow with their number.
///
/// Events take effect in the table when they are staged, so that decisions
/// count them; nothing leaves the process on their account before they are
/// stored.
template <store::KeyValueStore Store> class CommitQueue {
public:
  using Callback = std::function<void(CommitOutcome)>;

  /// Least time between two commits: several hundred events a second then
  /// share some sixty writes, a sixth of the platform's smallest allowance.
  static constexpr framework::clock::Duration MinCommitInterval =
      std::chrono::milliseconds(16);

  CommitQueue(jobs::CellTable &Table, journal::Journal<Store> &Log,
              framework::metrics::Registry &Metrics)
      : Table_(Table), Log_(Log),
        CommitSeconds_(Metrics.histogram("journal_commit_seconds")),
        EventsCommitted_(Metrics.counter("journal_events_total")) {}

  /// Applies and stages one event; \p Done runs when its fate is known.
  void stage(jobs::Event Item, Callback Done = nullptr) {
    Table_.recordAttemptLimit(Item);
    Table_.apply(Item, framework::clock::SteadyClock().now());
    Events_.push_back(std::move(Item));
    if (Done)
      Callbacks_.push_back(std::move(Done));
    wake();
  }

  /// Runs \p Done when everything staged so far has been stored.
  void whenStored(Callback Done) {
    if (Events_.empty() && !Committing_)
      return Done(CommitOutcome::Stored);
    if (Events_.empty())
      InFlight_.push_back(std::move(Done));
    else
      Callbacks_.push_back(std::move(Done));
  }

  /// Commits until the leadership ends. \p BeforeGroup may stage more events
  /// for the group that is about to be written.
  void run(const std::function<void()> &BeforeGroup) {
    framework::clock::TimePoint Next{};
    while (true) {
      waitForWork();
      framework::fibers::sleepFor(
          std::max(framework::clock::Duration::zero(),
                   Next - framework::clock::SteadyClock().now()));
      if (Stopped_)
        break;
      BeforeGroup();
      if (Events_.empty())
        continue;
      Next = framework::clock::SteadyClock().now() + MinCommitInterval;
      if (!commitGroup())
        break;
      if (Log_.snapshotDue() && !Log_.writeSnapshot(Table_).ok())
        break;
    }
    finish(CommitOutcome::Unknown);
  }

  void wake() {
    WorkPending_ = true;
    if (Wake_)
      Wake_->signal();
  }

  void stop() {
    Stopped_ = true;
    wake();
  }

  /// Whether what is staged now would not be stored soon.
  bool stalled() const {
    return Log_.stalled(framework::clock::SteadyClock().now());
  }
  bool idle() const { return Events_.empty() && !Committing_; }

private:
  void waitForWork() {
    while (!WorkPending_ && !Stopped_) {
      Wake_ = std::make_shared<framework::fibers::Waiter>();
      Wake_->waitUntil(framework::clock::wallDeadline(std::chrono::seconds(1)));
    }
    WorkPending_ = false;
  }

  bool commitGroup() {
    const std::vector<jobs::Event> Group = std::move(Events_);
    InFlight_ = std::move(Callbacks_);
    Events_.clear();
    Callbacks_.clear();
    Committing_ = true;
    const auto Asked = framework::clock::SteadyClock().now();
    const absl::Status Written = Log_.append(Group);
    Committing_ = false;
    CommitSeconds_.record(std::chrono::duration<double>(
                              framework::clock::SteadyClock().now() - Asked)
                              .count());
    EventsCommitted_.add(Group.size());
    const auto Outcome =
        Written.ok() ? CommitOutcome::Stored : CommitOutcome::Unknown;
    const auto Waiting = std::move(InFlight_);
    InFlight_.clear();
    for (const Callback &Done : Waiting)
      Done(Outcome);
    if (!Written.ok())
      framework::log::warning("journal.leadership_over")
          .field("reason", std::string(Written.message()));
    return Written.ok();
  }

  void finish(CommitOutcome Outcome) {
    Stopped_ = true;
    const auto Waiting = std::move(Callbacks_);
    Callbacks_.clear();
    for (const Callback &Done : Waiting)
      Done(Outcome);
  }

  jobs::CellTable &Table_;
  journal::Journal<Store> &Log_;
  framework::metrics::Histogram &CommitSeconds_;
  framework::metrics::Counter &EventsCommitted_;
  std::vector<jobs::Event> Events_;
  std::vector<Callback> Callbacks_;
  std::vector<Callback> InFlight_;
  framework::fibers::WaiterPtr Wake_;
  bool WorkPending_ = false;
  bool Committing_ = false;
  bool Stopped_ = false;
};

} // namespace laburnumspread::cell
