#include "config/changelog.h"

#include <algorithm>

namespace laburnumspread::config {

void ChangeLog::add(std::vector<Change> Changes, Revision Through) {
  if (!Started_ && Through.value() > 0) {
    // The changes that led to the first known revision were not observed.
    Started_ = true;
    CompactedThrough_ = Through_ = Through;
    return;
  }
  for (Change &Item : Changes)
    Changes_.push_back(std::move(Item));
  while (Changes_.size() > MaxChanges) {
    CompactedThrough_ = Changes_.front().Revision_;
    Changes_.pop_front();
  }
  Through_ = std::max(Through_, Through);
}

std::optional<std::vector<Change>> ChangeLog::since(Kind Of,
                                                    Revision Since) const {
  if (Since < CompactedThrough_)
    return std::nullopt;
  std::vector<Change> Result;
  for (const Change &Item : Changes_)
    if (Item.Kind_ == Of && Item.Revision_ > Since)
      Result.push_back(Item);
  return Result;
}

} // namespace laburnumspread::config
