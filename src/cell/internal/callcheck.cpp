#include "cell/callcheck.h"

namespace laburnumspread::cell {

std::optional<peers::JobCallStatus>
refusalByNewerConfig(const CellConfig &InForce, const peers::JobCall &Call) {
  if (Call.ConfigVersion_ >= InForce.Version_.value())
    return std::nullopt;
  if (!Call.Origin_)
    return std::nullopt;
  const QueueConfig *Queue =
      InForce.route(Call.Origin_->Host_, Call.Origin_->Path_);
  if (!Queue)
    return peers::JobCallStatus::NoSuchQueue;
  if (Queue->Name_.str() != Call.Queue_)
    return peers::JobCallStatus::Refused;
  if (!InForce.workspaceOf(Call.Origin_->Key_, *Queue))
    return peers::JobCallStatus::UnknownKey;
  return std::nullopt;
}

bool needsNewerConfig(const CellConfig &InForce, const peers::JobCall &Call) {
  return Call.Kind_ == peers::JobCallKind::Submit &&
         Call.ConfigVersion_ > InForce.Version_.value() &&
         !InForce.find(QueueName(Call.Queue_));
}

} // namespace laburnumspread::cell
