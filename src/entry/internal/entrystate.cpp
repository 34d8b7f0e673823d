#include "entry/entrystate.h"

namespace laburnumspread::entry {

limits::SubjectName teamSubject(std::string_view Team) {
  return limits::SubjectName("team/" + std::string(Team));
}

limits::SubjectName slotsSubject(std::string_view Vm) {
  return limits::SubjectName("slots/" + std::string(Vm));
}

std::vector<membership::Member> EntryState::otherMembers() const {
  std::vector<membership::Member> Result;
  for (const membership::Member &Item : View_.Members_)
    if (Item.Id_ != Self_.Id_)
      Result.push_back(Item);
  return Result;
}

} // namespace laburnumspread::entry
