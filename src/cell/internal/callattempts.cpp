#include "cell/callattempts.h"

namespace laburnumspread::cell {

std::uint32_t CallAttempts::sent(jobs::FencingToken To) {
  Open_[++Count_] = To;
  return Count_;
}

void CallAttempts::notProcessed(std::uint32_t Attempt) {
  if (Attempt != 0)
    Open_.erase(Attempt);
  else if (!Open_.empty())
    Open_.erase(Open_.begin());
}

void CallAttempts::rejected(std::uint32_t Attempt, jobs::FencingToken By) {
  notProcessed(Attempt);
  std::erase_if(Open_, [By](const auto &Item) {
    const jobs::FencingToken To = Item.second;
    return To.value() != 0 && To <= By;
  });
}

} // namespace laburnumspread::cell
