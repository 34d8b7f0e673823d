#pragma once

#include "cell/term.h"

namespace laburnumspread::cell {

/// Learns from the ends that workers report: how long tasks take, how fast a
/// worker is, and which workers let tasks fail.
template <store::KeyValueStore Store> class RunTimeLearner {
public:
  static constexpr double FailureScoreIncrement = 1;

  explicit RunTimeLearner(std::shared_ptr<Term<Store>> T)
      : Term_(std::move(T)) {}

  /// Updates the run time estimates and the worker's failure score from the end
  /// of a run.
  void recordEnd(WorkerRow &Row, const EndReport &Item) {
    if (Item.Kind_ == jobs::EndKind::Failed)
      Row.FailureScore_ += FailureScoreIncrement;
    if (Item.Kind_ != jobs::EndKind::Done)
      return;
    const jobs::JobRow *Job = Term_->Table_.find(Item.Run_.Task_.Job_);
    const jobs::StepSpec *Step = Term_->Table_.specOf(Item.Run_.Task_);
    const jobs::LiveRun *Live = Term_->Table_.find(Item.Run_);
    if (!Job || !Step || !Live || Step->LongRunning_ ||
        !Term_->Table_.resumePoint(Item.Run_.Task_).empty())
      return;
    // Without the time that the start took to arrive: while the leader is short
    // of processor that would make all tasks look longer, and late jobs in
    // time.
    const Duration Measured =
        Term_->now() - Live->AcceptedAt_.value_or(Live->StartedAt_);
    recordSpeed(Row, Job->Spec_.Queue_, *Step, Measured);
    Term_->Estimates_.recordRun(Job->Spec_.Queue_, Step->Estimate_, Measured);
  }

  /// The worker refused a task for want of room.
  void recordNoRoom(WorkerRow &Row) {
    Row.FailureScore_ += FailureScoreIncrement;
  }

private:
  /// Records how long a run took compared with what is expected, unless it may
  /// have been slow for a reason other than its worker: the distance to its
  /// data, the other tasks of its step, or the pace that it was given.
  void recordSpeed(const WorkerRow &Row, const QueueName &Queue,
                   const jobs::StepSpec &Step, Duration Measured) {
    const bool FarFromData =
        !Step.DataRack_.empty() && !Row.Record_.hasLabel(Step.DataRack_);
    if (FarFromData || Step.Gang_ || Step.TightlyCoupled_ || Step.Filler_ ||
        !Term_->Estimates_.knowsRunTimes(Queue))
      return;
    Term_->Speeds_.recordRun(Row.Record_.Incarnation_,
                             Term_->Estimates_.expectedRunTime(Queue, Step),
                             Measured);
  }

  std::shared_ptr<Term<Store>> Term_;
};

} // namespace laburnumspread::cell
