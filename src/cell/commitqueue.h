#pragma once

#include "framework/fibers/spawn.h"
#include "framework/metrics/metrics.h"
#include "journal/journal.h"
#include "scheduling/outagestarts.h"

namespace laburnumspread::cell {

/// Result of committing staged events.
enum class CommitOutcome {
  /// The events are durable in the store.
  Stored,
  /// The leadership ended before the store replied.
  Unknown,
};

/// Collects events and commits them in groups: events staged while one group is
/// being written form the next. One write carries all jobs, starts and ends of
/// some milliseconds, so the number of writes does not grow with the load. A
/// group that is larger than a value of the store takes several writes.
///
/// Events are applied to the table when they are staged, so that scheduling
/// decisions include them. Nothing that depends on them is sent out before they
/// are stored.
template <store::KeyValueStore Store> class CommitQueue {
public:
  using Callback = std::function<void(CommitOutcome)>;

  /// Minimum time between two commits. Several hundred events per second then
  /// share about 60 writes, one sixth of the platform's smallest quota.
  static constexpr framework::clock::Duration MinCommitInterval =
      std::chrono::milliseconds(16);

  CommitQueue(jobs::CellTable &Table, journal::Journal<Store> &Log,
              framework::metrics::Registry &Metrics)
      : Table_(Table), Log_(Log),
        CommitSeconds_(Metrics.histogram("journal_commit_seconds")),
        EventsCommitted_(Metrics.counter("journal_events_total")),
        RefusedWrites_(Metrics.counter("journal_writes_refused_total")) {}

  /// Applies and stages one event. \p Done is called when the outcome of its
  /// commit is known.
  void stage(jobs::Event Item, Callback Done = nullptr) {
    recordUnsentEnd(Item);
    Table_.recordAttemptLimit(Item);
    Table_.apply(Item, framework::clock::SteadyClock().now());
    Events_.push_back(std::move(Item));
    if (Done)
      addCallback(std::move(Done));
    wake();
  }

  /// Applies the intent of a start that is sent to its worker before it is
  /// stored, and stages it before the ends that it follows: if the store has
  /// these, it has the intent too, wherever the queue is cut.
  void stageSentStart(const jobs::RunIntended &Item) {
    Table_.apply(Item, framework::clock::SteadyClock().now());
    Events_.insert(
        Events_.begin() + static_cast<std::ptrdiff_t>(PossiblyStored_), Item);
    for (WaitingCallback &Each : Callbacks_)
      if (Each.Events_ > PossiblyStored_)
        ++Each.Events_;
    Unsent_.Starts_.push_back(Item);
    wake();
  }

  /// Ends and starts that were staged after the last group or snapshot was
  /// handed to the store, so that the store cannot hold them.
  const scheduling::UnsentEvents &unsent() const { return Unsent_; }

  /// Calls \p Done when the outcome of everything staged so far is known, at
  /// once if nothing is pending.
  void whenStored(Callback Done) {
    if (Events_.empty() && !Committing_)
      return Done(CommitOutcome::Stored);
    if (Events_.empty())
      InFlight_.push_back({GroupSize_, std::move(Done)});
    else
      addCallback(std::move(Done));
  }

  /// Commits until the leadership ends. \p BeforeGroup may stage more events
  /// for the group about to be written.
  void run(const std::function<void()> &BeforeGroup) {
    framework::clock::TimePoint Next{};
    while (true) {
      waitForWork();
      if (!Stopped_ && !Closing_)
        framework::fibers::sleepFor(
            std::max(framework::clock::Duration::zero(),
                     Next - framework::clock::SteadyClock().now()));
      if (Stopped_)
        break;
      const bool Last = Closing_;
      if (!Last)
        BeforeGroup();
      if (Events_.empty() && !Last)
        continue;
      Next = framework::clock::SteadyClock().now() + MinCommitInterval;
      if (!Events_.empty() && !commitGroup())
        break;
      if (Last)
        break;
      if (Log_.snapshotDue() && !writeSnapshot())
        break;
    }
    finish(CommitOutcome::Unknown);
  }

  /// Requests a pass of run() even if no event is staged.
  void wake() {
    WorkPending_ = true;
    if (Wake_)
      Wake_->signal();
  }

  /// Commits what is staged by now and ends run(). Returns then, or at \p
  /// Deadline. Events that are staged later are not stored. Waiting for an idle
  /// queue instead would take as long as reports and calls keep coming.
  void close(framework::clock::TimePoint Deadline) {
    Closing_ = true;
    wake();
    if (Finished_)
      return;
    Closed_ = std::make_shared<framework::fibers::Waiter>();
    Closed_->waitUntil(Deadline);
  }
  /// Whether close() was called: what is staged from now on may not be stored.
  bool closing() const { return Closing_; }

  /// Ends run(); events not committed yet complete with Unknown.
  void stop() {
    Stopped_ = true;
    wake();
  }

  /// Whether events staged now would not be stored soon.
  bool stalled() const {
    return Log_.stalled(framework::clock::SteadyClock().now());
  }
  /// Whether no event is staged or being committed.
  bool idle() const { return Events_.empty() && !Committing_; }

private:
  /// A callback and how many events of its group have to be stored before it is
  /// called.
  struct WaitingCallback {
    std::size_t Events_ = 0;
    Callback Done_;
  };

  /// After run() has returned, nothing is written any more.
  void addCallback(Callback Done) {
    if (Finished_)
      return Done(CommitOutcome::Unknown);
    Callbacks_.push_back({Events_.size(), std::move(Done)});
  }

  void waitForWork() {
    while (!WorkPending_ && !Stopped_) {
      Wake_ = std::make_shared<framework::fibers::Waiter>();
      Wake_->waitUntil(framework::clock::wallDeadline(std::chrono::seconds(1)));
    }
    WorkPending_ = false;
  }

  /// Remembers the end of a run and its worker, which the table forgets.
  void recordUnsentEnd(const jobs::Event &Item) {
    const auto *End = std::get_if<jobs::RunEnded>(&Item);
    const jobs::LiveRun *Live = End ? Table_.find(End->Run_) : nullptr;
    if (Live && End->Kind_ == jobs::EndKind::Done)
      Unsent_.Ends_.push_back({End->Run_, Live->Worker_});
  }

  /// Writes a snapshot. What is staged by then may be stored with it, so it no
  /// longer counts as unsent.
  bool writeSnapshot() {
    PossiblyStored_ = Events_.size();
    Unsent_ = {};
    return succeeded(Log_.writeSnapshot(Table_));
  }

  bool commitGroup() {
    PossiblyStored_ = 0;
    Unsent_ = {};
    const std::vector<jobs::Event> Group = std::move(Events_);
    InFlight_ = std::move(Callbacks_);
    Events_.clear();
    Callbacks_.clear();
    Committing_ = true;
    GroupSize_ = Group.size();
    const auto SentAt = framework::clock::SteadyClock().now();
    const absl::Status Written =
        Log_.append(Group, [this](std::size_t Stored) { complete(Stored); });
    Committing_ = false;
    CommitSeconds_.record(std::chrono::duration<double>(
                              framework::clock::SteadyClock().now() - SentAt)
                              .count());
    EventsCommitted_.add(Group.size());
    answer(std::exchange(InFlight_, {}),
           Written.ok() ? CommitOutcome::Stored : CommitOutcome::Unknown);
    return succeeded(Written);
  }

  /// Calls back for the first \p Stored events of the group that is being
  /// written. The callbacks of the whole group follow once no write is pending.
  void complete(std::size_t Stored) {
    if (Stored == GroupSize_)
      return;
    std::vector<WaitingCallback> Complete, Left;
    for (WaitingCallback &Each : InFlight_)
      (Each.Events_ <= Stored ? Complete : Left).push_back(std::move(Each));
    InFlight_ = std::move(Left);
    answer(Complete, CommitOutcome::Stored);
  }

  static void answer(const std::vector<WaitingCallback> &Waiting,
                     CommitOutcome Outcome) {
    for (const WaitingCallback &Each : Waiting)
      Each.Done_(Outcome);
  }

  /// Logs and counts the error of a write, which ends the term.
  bool succeeded(const absl::Status &Written) {
    if (Written.ok())
      return true;
    if (absl::IsInvalidArgument(Written))
      RefusedWrites_.add();
    framework::log::warning("journal.leadership_over")
        .field("reason", std::string(Written.message()));
    return false;
  }

  void finish(CommitOutcome Outcome) {
    Stopped_ = true;
    Finished_ = true;
    answer(std::exchange(Callbacks_, {}), Outcome);
    if (Closed_)
      Closed_->signal();
  }

  jobs::CellTable &Table_;
  journal::Journal<Store> &Log_;
  framework::metrics::Histogram &CommitSeconds_;
  framework::metrics::Counter &EventsCommitted_;
  framework::metrics::Counter &RefusedWrites_;
  std::vector<jobs::Event> Events_;
  /// Number of events at the front of Events_ that a snapshot may have stored.
  std::size_t PossiblyStored_ = 0;
  scheduling::UnsentEvents Unsent_;
  std::vector<WaitingCallback> Callbacks_;
  std::vector<WaitingCallback> InFlight_;
  /// Number of events of the group that is being written.
  std::size_t GroupSize_ = 0;
  framework::fibers::WaiterPtr Wake_;
  /// Set while close() waits.
  framework::fibers::WaiterPtr Closed_;
  bool WorkPending_ = false;
  bool Committing_ = false;
  bool Closing_ = false;
  bool Stopped_ = false;
  bool Finished_ = false;
};

} // namespace laburnumspread::cell
