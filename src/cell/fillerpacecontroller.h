#pragma once

#include "cell/term.h"

namespace laburnumspread::cell {

/// Slows the tasks that only fill down while tasks that serve beside them are
/// near their targets. The pace is Pacer's; here it is sent to the worker, and
/// again while the worker has not confirmed it. A pace that is not known may be
/// any: a former holder may have set it, or an order without an answer.
template <store::KeyValueStore Store, WorkerClient Client>
class FillerPaceController {
public:
  static constexpr Duration AnswerTimeout = std::chrono::milliseconds(300);

  FillerPaceController(std::shared_ptr<Term<Store>> T, Client &C)
      : Term_(std::move(T)), Client_(C) {}

  /// A run is about to be started by this holder: one that fills begins at the
  /// full pace.
  void started(const jobs::RunName &Run) {
    const jobs::StepSpec *Step = Term_->Table_.specOf(Run.Task_);
    if (Step && Step->Filler_)
      (*SentPaces_)[Run] = scheduling::Pacer::FullPercent;
  }

  /// Takes a worker's report.
  void handleReport(WorkerRow &Row, const HoldReply &Reply) {
    std::vector<scheduling::ServingLatency> Serving;
    std::vector<jobs::RunName> Fillers;
    for (const RunningReport &Item : Reply.Running_) {
      const jobs::StepSpec *Step = Term_->Table_.specOf(Item.Run_.Task_);
      if (!Step)
        continue;
      if (Step->Filler_)
        Fillers.push_back(Item.Run_);
      else if (Step->TargetMs_ > 0)
        Serving.push_back({Step->TargetMs_, Item.Measurement_});
    }
    if (Fillers.empty())
      return;
    const int Percent = Row.Pace_.update(Serving);
    for (const jobs::RunName &Run : Fillers) {
      const auto Known = SentPaces_->find(Run);
      if (Known == SentPaces_->end() || Known->second != Percent)
        send(Row, Run, Percent);
    }
  }

  void forget(const jobs::RunName &Run) { SentPaces_->erase(Run); }

private:
  using PaceByRun = std::map<jobs::RunName, int>;

  void send(const WorkerRow &Row, const jobs::RunName &Run, int Percent) {
    (*SentPaces_)[Run] = Percent;
    framework::fibers::spawn([T = Term_, &C = Client_, Paced = SentPaces_,
                              Record = Row.Record_, Run, Percent] {
      const OrderReply Reply =
          C.pace(Record, Run, Percent, T->Token_, AnswerTimeout);
      framework::log::info("run.pace")
          .field("task", Run.Task_.str())
          .field("run", Run.Run_.value())
          .field("worker", Record.Incarnation_.Id_.str())
          .field("percent", Percent)
          .field("result", nameOf(Reply.Result_));
      // Unknown or refused: the next report sends it again.
      if (Reply.Result_ != OrderResult::Done)
        Paced->erase(Run);
    });
  }

  std::shared_ptr<Term<Store>> Term_;
  Client &Client_;
  /// Kept alive by the orders on their way.
  std::shared_ptr<PaceByRun> SentPaces_ = std::make_shared<PaceByRun>();
};

} // namespace laburnumspread::cell
