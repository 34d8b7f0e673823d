#pragma once

#include "capacity/capacitytypes.h"
#include "cell/celltypes.h"
#include "cell/workerrestriction.h"
#include "scheduling/scheduler.h"

#include <map>

#include <absl/container/flat_hash_map.h>

namespace laburnumspread::cell {

enum class MachineOrderKind { Move, Upkeep };

/// The leader's view of the machines: the platform's list, the worker on each
/// machine, and the orders not settled yet. Both the platform's list and the
/// workers' entries lag behind, so an order counts until newer information is
/// seen.
class MachineTable {
public:
  /// A machine is not moved for this time after the platform refused an order.
  static constexpr Duration PauseAfterRefusal = std::chrono::milliseconds(1000);

  using Views = std::map<MachineId, capacity::MachineView>;

  /// \p MinOrderDuration is the minimum time from the acknowledgement of an
  /// order to its completion. A list that shows the machine up before that is
  /// older than the order.
  explicit MachineTable(Duration MinOrderDuration)
      : MinOrderDuration_(MinOrderDuration) {}

  /// Updates the views from the platform's list.
  void updateFromList(const std::vector<MachineRecord> &List, TimePoint Now);

  /// Records a worker's entry in the platform's list. Ignored unless its
  /// incarnation is newer than the last one seen on its machine.
  void recordWorker(const WorkerRecord &Record, TimePoint Now);

  /// Records that an order is being sent that takes at least \p Takes. The
  /// machine is busy until the order is settled.
  void orderSent(const MachineId &Machine, MachineOrderKind Kind,
                 Duration Takes, TimePoint Now);
  /// Records that the platform acknowledged the order. It also acknowledges an
  /// order that it had executed before, which then ends no incarnation.
  void orderAcknowledged(const MachineId &Machine, TimePoint Now);
  /// Returns the incarnation that the open order ends, if it has been seen: the
  /// one on the machine when the order was sent, or an earlier one that was
  /// seen only later.
  std::optional<WorkerIncarnation>
  incarnationEndedByOrder(const MachineId &Machine) const;
  /// Returns the incarnations whose machines were ordered away, with an
  /// acknowledgement before \p Before. Each has ended if a newer list shows it
  /// as gone.
  std::set<WorkerIncarnation> incarnationsEndedByOrders(TimePoint Before) const;
  /// Records that the platform refused the order and did nothing. The machine
  /// is not moved for PauseAfterRefusal: the next order would be refused too,
  /// and each order is billed.
  void orderRefused(const MachineId &Machine, TimePoint Now);

  /// Whether an order for the machine is open.
  bool busy(const MachineId &Machine) const {
    return Orders_.contains(Machine);
  }
  /// Whether an upkeep order for the machine is open.
  bool upkeepOpen(const MachineId &Machine) const {
    const auto Found = Orders_.find(Machine);
    return Found != Orders_.end() &&
           Found->second.Kind_ == MachineOrderKind::Upkeep;
  }
  bool anyBusy() const { return !Orders_.empty(); }
  /// Number of machines with an open order.
  std::size_t ordersOpen() const { return Orders_.size(); }
  /// Returns the capacity that acknowledged moves bring to pools, and when.
  std::vector<scheduling::CapacityArrival> arrivals(TimePoint Now) const;
  /// Sets the home pool of the machine, as recorded by an earlier leader.
  void setHomePool(const MachineId &Machine, const PoolName &HomePool) {
    HomePools_[Machine] = HomePool;
  }
  /// Blocks orders for the machine until \p Until.
  void blockOrdersUntil(const MachineId &Machine, TimePoint Until) {
    OrdersBlockedUntil_[Machine] = Until;
  }

  /// Returns what keeps the worker on the machine from new tasks: an open order
  /// or a planned upkeep.
  WorkerRestriction restrictionOf(const MachineId &Machine) const;

  /// Whether the platform's list shows that a worker's process is gone: its
  /// machine is not listed, is not up, or runs another worker. Used only for
  /// workers that do not reply, since a worker that cannot be reached is listed
  /// as up, and for workers whose machine was ordered away.
  bool showsWorkerGone(const WorkerRecord &Worker) const;

  /// Whether the last list shows the worker's process on any machine.
  bool listsWorker(const WorkerId &Worker) const;

  /// Returns the current worker on the machine, if one has been seen.
  std::optional<WorkerIncarnation>
  incarnationOn(const MachineId &Machine) const;

  const Views &views() const { return Views_; }
  /// Records that the machine is being moved to a pool.
  void setPool(const MachineId &Machine, const PoolName &Pool) {
    addView(Machine).Record_.Pool_ = Pool;
  }
  /// Calls \p Change with each machine and its view.
  template <typename Fn> void changeViews(Fn &&Change) {
    for (auto &[Id, View] : Views_)
      Change(Id, View);
  }
  /// Returns the view of the machine, or nullptr if it is not known.
  capacity::MachineView *findView(const MachineId &Machine) const {
    const auto Found = ViewIndex_.find(Machine);
    return Found == ViewIndex_.end() ? nullptr : Found->second;
  }
  const std::map<MachineId, PoolName> &homePools() const { return HomePools_; }
  bool listSeen() const { return ListSeen_; }

private:
  struct Order {
    MachineOrderKind Kind_ = MachineOrderKind::Move;
    /// When the order was first sent, or when it was acknowledged.
    TimePoint At_{};
    /// An incarnation seen before this time cannot have been started by the
    /// order.
    TimePoint NewIncarnationFrom_{};
    bool Acknowledged_ = false;
    std::optional<WorkerIncarnation> Incarnation_;
  };

  /// Handles a new incarnation on the machine: either it settles the order, or
  /// it is the incarnation that the order will end.
  void settleOrderByIncarnation(const WorkerRecord &Record, TimePoint Now);

  void applyOrderBlock(capacity::MachineView &View) const;
  capacity::MachineView &addView(const MachineId &Machine);

  Duration MinOrderDuration_;
  Views Views_;
  /// Points into Views_.
  absl::flat_hash_map<MachineId, capacity::MachineView *> ViewIndex_;
  absl::flat_hash_map<MachineId, WorkerIncarnation> CurrentIncarnations_;
  std::map<MachineId, PoolName> HomePools_;
  absl::flat_hash_map<MachineId, Order> Orders_;
  absl::flat_hash_map<MachineId, TimePoint> OrdersBlockedUntil_;
  bool ListSeen_ = false;
};

} // namespace laburnumspread::cell
