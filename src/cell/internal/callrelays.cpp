#include "cell/callrelays.h"

#include "framework/ids/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>
#include <vector>

namespace laburnumspread::cell {

using fleet::EntryName;
using framework::ids::rendezvousWeight;
using framework::ids::stableHash;

void CallRelays::recordEntry(const Candidate &Entry) {
  if (Entry.PeerAddress_.empty())
    return;
  const auto [Row, New] = Entries_.try_emplace(Entry.Id_.Name_, Entry);
  if (!New && Entry.Id_.Incarnation_ < Row->second.Id_.Incarnation_)
    return;
  RelaysChosen_ = RelaysChosen_ && !New;
  Row->second = Entry;
}

std::optional<Candidate> CallRelays::choose(const CallAttempt &Attempt,
                                            const EntryName &Leader,
                                            TimePoint Now) {
  const bool Direct =
      !usesRelays() ||
      (Attempt.Number_ > MaxRelays * AttemptsPerRelay && !Attempt.Forwarded_);
  if (Direct)
    return std::nullopt;
  for (Relay &Item : Relays_)
    if (Item.UnconfirmedSince_ &&
        Now - *Item.UnconfirmedSince_ >= MaxConfirmationTime) {
      Item.UnconfirmedSince_.reset();
      Item.PassedOverUntil_ = Now + SilencePenalty;
    }
  std::vector<Relay *> Usable;
  for (Relay &Item : Relays_)
    if (Item.PassedOverUntil_ <= Now)
      Usable.push_back(&Item);
  if (Usable.empty())
    return std::nullopt;
  Relay &Chosen =
      *Usable[(Attempt.Number_ - 1) / AttemptsPerRelay % Usable.size()];
  if (Chosen.Name_ == Leader)
    return std::nullopt;
  if (!Chosen.UnconfirmedSince_)
    Chosen.UnconfirmedSince_ = Now;
  return Entries_.at(Chosen.Name_);
}

void CallRelays::recordConfirmation(const EntryName &Relay, TimePoint Now) {
  if (CallRelays::Relay *const Found = find(Relay)) {
    Found->UnconfirmedSince_.reset();
    Found->PassedOverUntil_ = Now;
  }
}

std::optional<Candidate> CallRelays::preferred() {
  if (!usesRelays())
    return std::nullopt;
  return Entries_.at(Relays_.front().Name_);
}

bool CallRelays::usesRelays() {
  if (Entries_.size() <= MaxDirectEntries)
    return false;
  if (!std::exchange(RelaysChosen_, true))
    chooseRelays();
  // A relay calls the leader itself.
  return !find(Self_);
}

void CallRelays::chooseRelays() {
  struct Ranked {
    double Weight_;
    std::uint64_t Hash_;
    EntryName Name_;
  };
  std::vector<Ranked> All;
  for (const auto &[Name, Entry] : Entries_)
    All.push_back({Entry.Weight_, stableHash(Name.str()), Name});
  std::sort(All.begin(), All.end(), [](const Ranked &A, const Ranked &B) {
    return std::tie(B.Weight_, A.Hash_) < std::tie(A.Weight_, B.Hash_);
  });
  All.resize(static_cast<std::size_t>(
      std::ceil(std::sqrt(static_cast<double>(All.size())))));
  const std::uint64_t Own = stableHash(Self_.str());
  std::sort(All.begin(), All.end(), [Own](const Ranked &A, const Ranked &B) {
    return rendezvousWeight(A.Hash_, Own) > rendezvousWeight(B.Hash_, Own);
  });
  Relays_.clear();
  for (const Ranked &Item : All)
    Relays_.push_back({Item.Name_, std::nullopt, {}});
}

CallRelays::Relay *CallRelays::find(const EntryName &Name) {
  const auto Found =
      std::find_if(Relays_.begin(), Relays_.end(),
                   [&](const Relay &Item) { return Item.Name_ == Name; });
  return Found == Relays_.end() ? nullptr : &*Found;
}

} // namespace laburnumspread::cell
