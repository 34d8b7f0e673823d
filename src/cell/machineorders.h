#pragma once

#include "capacity/poolplanner.h"
#include "capacity/upkeepplanner.h"
#include "cell/machinetable.h"
#include "cell/term.h"

namespace laburnumspread::cell {

/// Sends the machine orders of one term and settles them in the machine table.
/// Each order is written to the journal before it is sent, so that a successor
/// knows which machines were ordered recently.
template <store::KeyValueStore Store, MachineService Service>
class MachineOrders
    : public std::enable_shared_from_this<MachineOrders<Store, Service>> {
public:
  static constexpr Duration RetryPause = std::chrono::milliseconds(400);
  /// Orders are sent only if the store confirmed the leadership within this
  /// time. A successor waits for the platform's lease time before its first
  /// order.
  static constexpr Duration MaxConfirmationAge =
      std::chrono::milliseconds(1000);

  MachineOrders(std::shared_ptr<Term<Store>> T, Service &Api,
                std::shared_ptr<MachineTable> Table)
      : Term_(std::move(T)), Api_(Api), Table_(std::move(Table)) {}

  /// Whether machine orders may be sent at present.
  bool maySendOrders() const {
    return !Term_->ended() &&
           now() - Term_->Leadership_.confirmedAt() < MaxConfirmationAge;
  }

  /// Starts a machine's upkeep, and records it in the journal once the order
  /// was executed.
  void upkeep(const capacity::UpkeepOrder &Order) {
    Table_->orderSent(Order.Machine_, MachineOrderKind::Upkeep,
                      Term_->Bounds_.UpkeepDuration_, now());
    framework::fibers::spawn([Self = this->shared_from_this(), Order] {
      const Answer Answered = Self->sendUntilAnswered(Order.Machine_, [&] {
        return Self->Api_.upkeep(Order.Machine_, Order.Wave_,
                                 Self->Term_->Token_);
      });
      framework::log::info("machine.upkeep")
          .field("machine", Order.Machine_.str())
          .field("wave", Order.Wave_.value())
          .field("result", nameOf(Answered.Result_));
      Self->settleOrder(Order.Machine_, Answered);
      if (Answered.Result_ == MachineResult::Done && !Self->Term_->ended())
        Self->Term_->Commits_.stage(
            jobs::UpkeepBegun{Order.Wave_, Order.Machine_});
    });
  }

  /// Moves a machine to another pool, unless its worker has received a task
  /// since the move was planned.
  void move(const capacity::MoveOrder &Order) {
    const auto Incarnation = Table_->incarnationOn(Order.Machine_);
    if (Incarnation && Term_->Table_.usageOf(*Incarnation))
      return;
    Table_->orderSent(Order.Machine_, MachineOrderKind::Move,
                      Term_->Bounds_.MoveDuration_, now());
    framework::fibers::spawn([Self = this->shared_from_this(), Order] {
      const Answer Answered = Self->sendUntilAnswered(Order.Machine_, [&] {
        return Self->Api_.move(Order.Machine_, Order.To_, Self->Term_->Token_);
      });
      framework::log::info("machine.move")
          .field("machine", Order.Machine_.str())
          .field("to", Order.To_.str())
          .field("reason", nameOf(Order.Reason_))
          .field("result", nameOf(Answered.Result_));
      if (Answered.Result_ == MachineResult::Done)
        Self->Table_->setPool(Order.Machine_, Order.To_);
      Self->settleOrder(Order.Machine_, Answered);
    });
  }

private:
  static TimePoint now() { return Term<Store>::now(); }

  struct Answer {
    MachineResult Result_ = MachineResult::Unknown;
    /// Whether an earlier attempt had no answer.
    bool AfterUnanswered_ = false;

    /// Whether the machine may be down because of the order. A machine on which
    /// an unanswered attempt was executed can be busy with it. Taken as up, it
    /// would not count towards its wave's limit until a list shows it, and
    /// tasks would be sent to its worker.
    bool mayBeExecuted() const {
      return Result_ == MachineResult::Done ||
             (Result_ == MachineResult::Busy && AfterUnanswered_);
    }
  };

  /// Repeats an order until it is answered, as long as it still applies to the
  /// machine. The platform ignores a repetition of an order that it has
  /// executed.
  template <typename Call>
  Answer sendUntilAnswered(const MachineId &Machine, const Call &Send) {
    bool AfterUnanswered = false;
    while (true) {
      if (!recordInJournal(Machine))
        return {};
      if (!orderStillApplies(Machine)) {
        countOrder("given_up");
        framework::log::info("machine.order_given_up")
            .field("machine", Machine.str());
        return {};
      }
      const MachineResult Result = Send();
      countOrder(nameOf(Result));
      const bool Open =
          Result == MachineResult::Unknown || Result == MachineResult::Refused;
      if (!Open || Term_->ended())
        return {Result, AfterUnanswered};
      AfterUnanswered |= Result == MachineResult::Unknown;
      framework::fibers::sleepFor(RetryPause);
    }
  }

  /// Whether the machine's order may still be sent. Without this check, a new
  /// incarnation could settle the order and receive tasks, and repeating an
  /// order that was not executed before would then kill them. No task starts on
  /// the incarnation that the order ends while the order is open, and a machine
  /// that still needs the order is planned again, so dropping it is safe.
  bool orderStillApplies(const MachineId &Machine) const {
    const std::optional<WorkerIncarnation> Incarnation =
        Table_->incarnationEndedByOrder(Machine);
    return Table_->busy(Machine) &&
           Table_->incarnationOn(Machine) == Incarnation &&
           !(Incarnation && Term_->Table_.usageOf(*Incarnation));
  }

  void countOrder(std::string_view Result) {
    Term_->Metrics_
        .counter("machine_orders_total{result=\"" + std::string(Result) + "\"}")
        .add();
  }

  /// Waits until the store holds the record that an order is about to be sent.
  /// Returns false if the leadership ended first; then the order must not be
  /// sent.
  bool recordInJournal(const MachineId &Machine) {
    const auto View = Table_->views().find(Machine);
    jobs::MachineOrdered Note{Machine, PoolName()};
    if (View != Table_->views().end())
      Note.From_ = View->second.Record_.Pool_;
    while (!Term_->ended()) {
      if (stored(Note) && maySendOrders())
        return true;
      framework::fibers::sleepFor(RetryPause);
    }
    return false;
  }

  bool stored(const jobs::Event &Item) {
    auto Ready = std::make_shared<framework::fibers::Waiter>();
    auto Committed = std::make_shared<std::optional<CommitOutcome>>();
    Term_->Commits_.stage(Item, [Ready, Committed](CommitOutcome Outcome) {
      *Committed = Outcome;
      Ready->signal();
    });
    while (!Term_->ended() && !*Committed)
      Ready->waitUntil(framework::clock::wallDeadline(RetryPause));
    return *Committed == CommitOutcome::Stored;
  }

  void settleOrder(const MachineId &Machine, const Answer &Answered) {
    if (Term_->ended())
      return;
    if (!Answered.mayBeExecuted())
      return Table_->orderRefused(Machine, now());
    Table_->orderAcknowledged(Machine, now());
    suspectWorker(Machine);
  }

  /// The worker that the order ends may be gone long before a list shows it,
  /// and tasks sent to it meanwhile would be lost. If the order had already
  /// been executed earlier, the worker is alive, replies and is used again.
  void suspectWorker(const MachineId &Machine) {
    const auto Incarnation = Table_->incarnationEndedByOrder(Machine);
    if (!Incarnation)
      return;
    const auto Row = Term_->Workers_.find(*Incarnation);
    if (Row != Term_->Workers_.end())
      Row->second->suspect();
  }

  std::shared_ptr<Term<Store>> Term_;
  Service &Api_;
  std::shared_ptr<MachineTable> Table_;
};

} // namespace laburnumspread::cell
