#include "standin/vmfleet.h"

namespace laburnumspread::standin {

void VmFleet::recordChange(TimePoint Now, const std::string &Name) {
  Rows_[Name].ChangedAt_ = ++Version_;
  Snapshots_.push_back({Now, Rows_});
}

void VmFleet::add(const std::string &Name, TimePoint Now) {
  if (Rows_.try_emplace(Name).second)
    recordChange(Now, Name);
}

bool VmFleet::setState(const std::string &Name, const std::string &State,
                       TimePoint Now) {
  const auto It = Rows_.find(Name);
  if (It == Rows_.end())
    return false;
  if (It->second.State_ == "gone" && State == "live")
    ++It->second.Boots_;
  It->second.State_ = State;
  recordChange(Now, Name);
  return true;
}

bool VmFleet::reboot(const std::string &Name, const std::string &IfBootId,
                     TimePoint Now) {
  const auto It = Rows_.find(Name);
  if (It == Rows_.end())
    return false;
  VmRow &Row = It->second;
  if (Row.Rebooting_ || Row.bootId(Name) != IfBootId)
    return true;
  Row.Rebooting_ = true;
  ++Row.Reboots_;
  Row.RebootedAt_ = Now;
  recordChange(Now, Name);
  return true;
}

void VmFleet::tick(TimePoint Now) {
  for (auto &[Name, Row] : Rows_) {
    if (!Row.Rebooting_ || Row.RebootedAt_ + RebootTime_ > Now)
      continue;
    Row.Rebooting_ = false;
    ++Row.Boots_;
    if (Faults_.BadReboots_ > 0) {
      --Faults_.BadReboots_;
      Faults_.Endpoints_[Name].Mode_ = EndpointMode::Fail;
    }
    recordChange(Now, Name);
  }
}

bool VmFleet::running(const std::string &Name) const {
  const auto It = Rows_.find(Name);
  return It != Rows_.end() && !It->second.Rebooting_ &&
         It->second.State_ != "gone";
}

const std::map<std::string, VmRow> &VmFleet::listedRows(TimePoint Now) {
  const Duration Lag = std::chrono::milliseconds(Faults_.ListLagMs_);
  while (Snapshots_.size() > 1 && Snapshots_[1].TakenAt_ + Lag <= Now)
    Snapshots_.pop_front();
  return Snapshots_.empty() ? Rows_ : Snapshots_.front().Rows_;
}

} // namespace laburnumspread::standin
