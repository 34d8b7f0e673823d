#include "cell/machinetable.h"

#include <absl/container/flat_hash_set.h>

namespace laburnumspread::cell {

void MachineTable::updateFromList(const std::vector<MachineRecord> &List,
                                  TimePoint Now) {
  absl::flat_hash_set<MachineId> Listed;
  for (const MachineRecord &Item : List) {
    Listed.insert(Item.Id_);
    capacity::MachineView &View = addView(Item.Id_);
    if (View.Record_.Id_.empty())
      View.IdleSince_ = Now;
    const Resources KnownCapacity = View.Record_.Capacity_;
    View.Record_ = Item;
    applyOrderBlock(View);
    if (Item.Capacity_ == Resources())
      View.Record_.Capacity_ = KnownCapacity;
    HomePools_.try_emplace(Item.Id_, Item.Pool_);
    const auto Found = Orders_.find(Item.Id_);
    if (Found != Orders_.end() && Found->second.Acknowledged_ &&
        Item.State_ == MachineState::Up &&
        Now - Found->second.At_ > MinOrderDuration_)
      Orders_.erase(Found);
  }
  for (auto View = Views_.begin(); View != Views_.end();) {
    if (Listed.contains(View->first)) {
      ++View;
      continue;
    }
    ViewIndex_.erase(View->first);
    View = Views_.erase(View);
  }
  ListSeen_ = true;
}

void MachineTable::recordWorker(const WorkerRecord &Record, TimePoint Now) {
  if (Record.Machine_.empty())
    return;
  const auto Known = CurrentIncarnations_.find(Record.Machine_);
  if (Known != CurrentIncarnations_.end() &&
      Known->second.StartedMs_ >= Record.Incarnation_.StartedMs_)
    return;
  CurrentIncarnations_[Record.Machine_] = Record.Incarnation_;
  capacity::MachineView &View = addView(Record.Machine_);
  View.Record_.Id_ = Record.Machine_;
  View.Record_.Pool_ = Record.Pool_;
  View.Record_.Zone_ = Record.Zone_;
  View.Record_.State_ = MachineState::Up;
  View.Record_.Capacity_ = Record.Capacity_;
  View.Record_.Worker_ = Record.Incarnation_.Id_;
  View.IdleSince_ = Now;
  applyOrderBlock(View);
  HomePools_.try_emplace(Record.Machine_, Record.Pool_);
  settleOrderByIncarnation(Record, Now);
}

void MachineTable::settleOrderByIncarnation(const WorkerRecord &Record,
                                            TimePoint Now) {
  const auto Found = Orders_.find(Record.Machine_);
  if (Found == Orders_.end())
    return;
  if (Now < Found->second.NewIncarnationFrom_)
    Found->second.Incarnation_ = Record.Incarnation_;
  else
    Orders_.erase(Found);
}

capacity::MachineView &MachineTable::addView(const MachineId &Machine) {
  capacity::MachineView *&Known = ViewIndex_[Machine];
  if (!Known)
    Known = &Views_[Machine];
  return *Known;
}

void MachineTable::applyOrderBlock(capacity::MachineView &View) const {
  const auto Found = OrdersBlockedUntil_.find(View.Record_.Id_);
  if (Found != OrdersBlockedUntil_.end())
    View.NoOrderBefore_ = Found->second;
}

void MachineTable::orderSent(const MachineId &Machine, MachineOrderKind Kind,
                             Duration Takes, TimePoint Now) {
  Orders_[Machine] = {Kind, Now, Now + Takes, false, incarnationOn(Machine)};
}

void MachineTable::orderAcknowledged(const MachineId &Machine, TimePoint Now) {
  // A newer worker may have settled the order before the acknowledgement
  // arrived. The entry recreated here names no incarnation, since the newer one
  // is not the incarnation that the order ends.
  Order &Known = Orders_[Machine];
  Known.At_ = Now;
  Known.Acknowledged_ = true;
}

void MachineTable::orderRefused(const MachineId &Machine, TimePoint Now) {
  Orders_.erase(Machine);
  blockOrdersUntil(Machine, Now + PauseAfterRefusal);
  if (capacity::MachineView *View = findView(Machine))
    applyOrderBlock(*View);
}

std::optional<WorkerIncarnation>
MachineTable::incarnationEndedByOrder(const MachineId &Machine) const {
  const auto Found = Orders_.find(Machine);
  return Found == Orders_.end() ? std::nullopt : Found->second.Incarnation_;
}

std::set<WorkerIncarnation>
MachineTable::incarnationsEndedByOrders(TimePoint Before) const {
  std::set<WorkerIncarnation> Incarnations;
  for (const auto &[Machine, Item] : Orders_)
    if (Item.Acknowledged_ && Item.At_ < Before && Item.Incarnation_)
      Incarnations.insert(*Item.Incarnation_);
  return Incarnations;
}

std::vector<scheduling::CapacityArrival>
MachineTable::arrivals(TimePoint Now) const {
  std::vector<scheduling::CapacityArrival> Result;
  for (const auto &[Machine, Item] : Orders_) {
    const capacity::MachineView *View = findView(Machine);
    if (View && Item.Kind_ == MachineOrderKind::Move && Item.Acknowledged_)
      Result.push_back({View->Record_.Pool_, View->Record_.Capacity_,
                        std::max(Now, Item.NewIncarnationFrom_)});
  }
  return Result;
}

WorkerRestriction MachineTable::restrictionOf(const MachineId &Machine) const {
  if (busy(Machine))
    return WorkerRestriction::MachineOrder;
  const capacity::MachineView *View = findView(Machine);
  return View && View->Cordoned_ ? WorkerRestriction::Cordoned
                                 : WorkerRestriction::None;
}

bool MachineTable::showsWorkerGone(const WorkerRecord &Worker) const {
  if (!ListSeen_ || Worker.Machine_.empty())
    return false;
  const capacity::MachineView *View = findView(Worker.Machine_);
  if (!View)
    return true;
  const MachineRecord &Machine = View->Record_;
  return Machine.State_ != MachineState::Up ||
         (!Machine.Worker_.empty() &&
          Machine.Worker_ != Worker.Incarnation_.Id_);
}

bool MachineTable::listsWorker(const WorkerId &Worker) const {
  for (const auto &[Id, View] : Views_)
    if (View.Record_.Worker_ == Worker &&
        View.Record_.State_ == MachineState::Up)
      return true;
  return false;
}

std::optional<WorkerIncarnation>
MachineTable::incarnationOn(const MachineId &Machine) const {
  const auto Found = CurrentIncarnations_.find(Machine);
  return Found == CurrentIncarnations_.end() ? std::nullopt
                                             : std::optional(Found->second);
}

} // namespace laburnumspread::cell
