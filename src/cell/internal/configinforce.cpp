#include "cell/configinforce.h"

#include <algorithm>

namespace laburnumspread::cell {

bool ConfigInForce::replace(CellConfig Next) {
  if (Next.Version_ <= version())
    return false;
  Config_ = std::move(Next);
  Unreadable_ = false;
  return true;
}

void ConfigInForce::confirm(TimePoint CompleteThrough, TimePoint Now) {
  CompleteThrough_ = std::max(CompleteThrough_, CompleteThrough);
  HeardAt_ = std::max(HeardAt_, Now);
}

void ConfigInForce::recordPeerVersion(ConfigVersion Version) {
  NewestPeerVersion_ = std::max(NewestPeerVersion_, Version);
}

bool ConfigInForce::current(TimePoint Now) const {
  if (!known())
    return false;
  return ApplyWithin_ == Duration::zero() || age(Now) < maxAge();
}

bool ConfigInForce::confirmationLate(TimePoint Now) const {
  return ApplyWithin_ != Duration::zero() && age(Now) > maxAge() * 2 / 3;
}

} // namespace laburnumspread::cell
