#pragma once

#include "capacity/capacitytypes.h"
#include "cell/celltypes.h"

#include <map>

namespace laburnumspread::cell {

/// What the holder knows of the machines: what the platform lists, which worker
/// each runs, and which orders have not come through. The platform's list lags,
/// and so do the workers' entries, so an order counts until something newer
/// than it is seen.
class MachineTable {
public:
  /// No move of a machine after a refusal for this time.
  static constexpr Duration PauseAfterRefusal = std::chrono::milliseconds(1000);

  using Views = std::map<MachineId, capacity::MachineView>;

  /// \p MinOrderDuration: least time from an order's acknowledgement to its
  /// end; a list that shows the machine up before is older than the order.
  explicit MachineTable(Duration MinOrderDuration)
      : MinOrderDuration_(MinOrderDuration) {}

  /// Takes the platform's list.
  void updateFromList(const std::vector<MachineRecord> &List, TimePoint Now);

  /// A worker's entry was seen. A life that is not newer than the last one of
  /// its machine changes nothing.
  void recordWorker(const WorkerRecord &Record, TimePoint Now);

  /// An order for a machine leaves that takes at least \p Takes; until it is
  /// settled the machine is busy.
  void orderSent(const MachineId &Machine, Duration Takes, TimePoint Now);
  /// The platform has carried out the order, now or earlier: one that was done
  /// before is acknowledged too, and ends nothing.
  void orderAcknowledged(const MachineId &Machine, TimePoint Now);
  /// The life that the open order ends, if it has been seen: the one on the
  /// machine when it left, or one from before that was seen only later.
  std::optional<WorkerIncarnation>
  lifeEndedByOrder(const MachineId &Machine) const;
  /// Lives for which orders were given that were acknowledged before \p Before.
  /// Each is over if a list that is newer says that it is gone.
  std::set<WorkerIncarnation> livesEndedByOrders(TimePoint Before) const;
  /// The platform has refused the order: nothing was done. The machine is not
  /// moved for a while, since the next order would be refused as well, and each
  /// is paid for.
  void orderRefused(const MachineId &Machine, TimePoint Now);

  bool busy(const MachineId &Machine) const {
    return Orders_.contains(Machine);
  }
  bool anyBusy() const { return !Orders_.empty(); }
  /// The pool to which the machine belongs, as an earlier holder found it.
  void setHome(const MachineId &Machine, const PoolName &Home) {
    Homes_[Machine] = Home;
  }
  /// No order for the machine before \p Until.
  void blockOrdersUntil(const MachineId &Machine, TimePoint Until) {
    OrdersBlockedUntil_[Machine] = Until;
  }

  bool heldBack(const MachineId &Machine) const;

  /// Whether the platform's list says that a worker's process is gone: its
  /// machine is not listed, is not up, or runs another worker. Asked only for
  /// workers that do not answer, since one that is cut off is listed as up, and
  /// for those whose machine was ordered away.
  bool showsWorkerGone(const WorkerRecord &Worker) const;

  /// Whether the last list shows the worker's process on some machine.
  bool listsWorker(const WorkerId &Worker) const;

  /// The machine's current worker, if one has been seen.
  std::optional<WorkerIncarnation> lifeOn(const MachineId &Machine) const;

  Views &views() { return Views_; }
  const std::map<MachineId, PoolName> &homes() const { return Homes_; }
  bool listSeen() const { return ListSeen_; }

private:
  struct Order {
    /// When it left first, or was acknowledged.
    TimePoint At_{};
    /// No life that comes up after it can have come up before this.
    TimePoint NewLifeFrom_{};
    bool Acknowledged_ = false;
    std::optional<WorkerIncarnation> Life_;
  };

  /// A new life has been seen on the machine: it settles the order, or it is
  /// the one that the order ends.
  void settleOrderByLife(const WorkerRecord &Record, TimePoint Now);

  void applyOrderBlock(capacity::MachineView &View) const;

  Duration MinOrderDuration_;
  Views Views_;
  std::map<MachineId, WorkerIncarnation> CurrentLives_;
  std::map<MachineId, PoolName> Homes_;
  std::map<MachineId, Order> Orders_;
  std::map<MachineId, TimePoint> OrdersBlockedUntil_;
  bool ListSeen_ = false;
};

} // namespace laburnumspread::cell
