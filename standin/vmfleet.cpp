#include "standin/vmfleet.h"

namespace laburnumspread::standin {

void VmFleet::note(TimePoint Now, const std::string &Changed) {
  Rows_[Changed].ChangedAt_ = ++Version_;
  Past_.push_back({Now, Rows_});
}

void VmFleet::add(const std::string &Name, TimePoint Now) {
  if (Rows_.try_emplace(Name).second)
    note(Now, Name);
}

bool VmFleet::setState(const std::string &Name, const std::string &State,
                       TimePoint Now) {
  const auto At = Rows_.find(Name);
  if (At == Rows_.end())
    return false;
  if (At->second.State_ == "gone" && State == "live")
    ++At->second.Boots_;
  At->second.State_ = State;
  note(Now, Name);
  return true;
}

bool VmFleet::reboot(const std::string &Name, const std::string &IfBootId,
                     TimePoint Now) {
  const auto At = Rows_.find(Name);
  if (At == Rows_.end())
    return false;
  VmRow &Row = At->second;
  if (Row.Rebooting_ || Row.bootId(Name) != IfBootId)
    return true;
  Row.Rebooting_ = true;
  ++Row.Reboots_;
  Row.RebootedAt_ = Now;
  note(Now, Name);
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
    note(Now, Name);
  }
}

bool VmFleet::running(const std::string &Name) const {
  const auto At = Rows_.find(Name);
  return At != Rows_.end() && !At->second.Rebooting_ &&
         At->second.State_ != "gone";
}

const std::map<std::string, VmRow> &VmFleet::listed(TimePoint Now) {
  const Duration Lag = std::chrono::milliseconds(Faults_.ListLagMs_);
  while (Past_.size() > 1 && Past_[1].At_ + Lag <= Now)
    Past_.pop_front();
  return Past_.empty() ? Rows_ : Past_.front().Rows_;
}

} // namespace laburnumspread::standin
