#include "scheduling/workspacelimit.h"

namespace laburnumspread::scheduling {

using jobs::Resources;

namespace {

bool isWithin(std::int64_t Amount, std::int64_t Limit) {
  return Limit == 0 || Amount <= Limit;
}

bool isUnderHalf(std::int64_t Amount, std::int64_t Limit) {
  return Limit == 0 || 2 * Amount < Limit;
}

} // namespace

bool WorkspaceLimit::contains(const Resources &Amount) const {
  return isWithin(Amount.MilliCpus_, MaxAllowed_.MilliCpus_) &&
         isWithin(Amount.MemoryMb_, MaxAllowed_.MemoryMb_) &&
         isWithin(Amount.Accelerators_, MaxAllowed_.Accelerators_);
}

bool WorkspaceLimit::underHalf(const Resources &Held) const {
  return isUnderHalf(Held.MilliCpus_, MaxAllowed_.MilliCpus_) &&
         isUnderHalf(Held.MemoryMb_, MaxAllowed_.MemoryMb_) &&
         isUnderHalf(Held.Accelerators_, MaxAllowed_.Accelerators_);
}

bool WorkspaceLimit::admits(const Resources &Held, const Resources &Together,
                            const Resources &Each) const {
  const Resources After = Held + Together;
  return contains(After) || (underHalf(Held) && contains(After - Each));
}

} // namespace laburnumspread::scheduling
