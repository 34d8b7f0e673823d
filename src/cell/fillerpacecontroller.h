#pragma once

#include "cell/term.h"

namespace laburnumspread::cell {

/// Slows down filler tasks while serving tasks on the same worker are close to
/// their latency targets. Pacer computes the pace; this class sends it to the
/// worker, and repeats it until the worker confirms it. An unconfirmed pace may
/// have any value, set by an earlier leader or by an order without a reply.
template <store::KeyValueStore Store, WorkerClient Client>
class FillerPaceController {
public:
  static constexpr Duration AnswerTimeout = std::chrono::milliseconds(300);

  FillerPaceController(std::shared_ptr<Term<Store>> T, Client &C)
      : Term_(std::move(T)), Client_(C) {}

  /// Records that this leader is about to start a run; filler tasks start at
  /// full pace.
  void started(const jobs::RunName &Run) {
    const jobs::StepSpec *Step = Term_->Table_.specOf(Run.Task_);
    if (Step && Step->Filler_)
      (*SentPaces_)[Run] = scheduling::Pacer::FullPercent;
  }

  /// Computes and sends the pace of the filler tasks that a worker reports.
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

  /// Drops the state of a run that has ended.
  void forget(const jobs::RunName &Run) { SentPaces_->erase(Run); }

private:
  using PaceByRun = std::map<jobs::RunName, int>;

  void send(const WorkerRow &Row, const jobs::RunName &Run, int Percent) {
    (*SentPaces_)[Run] = Percent;
    framework::fibers::spawn([T = Term_, &C = Client_, Paced = SentPaces_,
                              Record = Row.Record_, Token = Row.Token_, Run,
                              Percent] {
      if (!C.awaitConnection(Record, MaxConnectionWait) || T->ended())
        return;
      const OrderReply Reply =
          C.pace(Record, Run, Percent, Token, AnswerTimeout);
      framework::log::info("run.pace")
          .field("task", Run.Task_.str())
          .field("run", Run.Run_.value())
          .field("worker", Record.Incarnation_.Id_.str())
          .field("percent", Percent)
          .field("result", nameOf(Reply.Result_));
      // Unknown or refused: the pace is sent again after the next report.
      if (Reply.Result_ != OrderResult::Done)
        Paced->erase(Run);
    });
  }

  std::shared_ptr<Term<Store>> Term_;
  Client &Client_;
  /// Shared with the pending orders, which may outlive this object.
  std::shared_ptr<PaceByRun> SentPaces_ = std::make_shared<PaceByRun>();
};

} // namespace laburnumspread::cell
