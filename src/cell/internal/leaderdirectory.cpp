#include "cell/leaderdirectory.h"

namespace laburnumspread::cell {

bool LeaderDirectory::record(const journal::Leader &Leader) {
  if (Leader.Token_ <= GoneThrough_ || Leader.Token_ < Latest_.Token_)
    return false;
  const bool New = Leader.Token_ > Latest_.Token_;
  Latest_ = Leader;
  return New;
}

void LeaderDirectory::recordNone(fleet::Revision AsOf) {
  GoneThrough_ = std::max(GoneThrough_, jobs::FencingToken(AsOf.value()));
  if (Latest_.Token_ <= GoneThrough_)
    Latest_ = journal::Leader();
}

peers::LeaderNotice toNotice(const journal::Leader &Leader) {
  return {{Leader.Entry_, Leader.Incarnation_},
          Leader.PeerAddress_,
          Leader.Token_.value()};
}

journal::Leader fromNotice(const peers::LeaderNotice &Notice) {
  journal::Leader Result;
  Result.Entry_ = Notice.Id_.Name_;
  Result.Incarnation_ = Notice.Id_.Incarnation_;
  Result.PeerAddress_ = Notice.Address_;
  Result.Token_ = jobs::FencingToken(Notice.Token_);
  return Result;
}

} // namespace laburnumspread::cell
