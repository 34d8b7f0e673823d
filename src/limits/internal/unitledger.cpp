#include "limits/unitledger.h"

#include "limits/internal/subjectstate.h"
#include "membership/ownership.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace laburnumspread::limits {

using framework::clock::ClockSkewMargin;
using framework::ids::stableHash;
using membership::Owner;
using membership::Ownership;
using membership::View;

namespace {

/// Whether a borrowed unit can be used for work that runs until \p Until.
bool usable(const BorrowedUnit &Item, std::uint32_t Limit, TimePoint Until,
            TimePoint Now) {
  return !Item.InUse_ && Item.Loan_.Until_ >= Until &&
         Item.Loan_.Until_ > Now && Item.Loan_.Unit_.value() < Limit;
}

/// A unit that this entry has lent out.
struct LentUnit {
  std::uint32_t Subject_ = 0;
  Unit Unit_;
  TimePoint Until_{};
};

} // namespace

struct UnitLedger::State {
  explicit State(MemberId Self) : Self_(std::move(Self)) {}

  MemberId Self_;
  View View_;
  std::vector<SubjectState> Subjects_;
  std::unordered_map<SubjectName, std::uint32_t> Index_;
  std::vector<Ownership> Past_;
  Ownership Present_{std::span<const Owner>()};
  /// Units still held, from the release statements received at the current
  /// view, by the member that sent them.
  std::map<MemberId, std::set<HeldUnit>> ReleaseStatements_;
  std::map<std::uint64_t, LentUnit> Lent_;
  /// Indexes of the subjects that have borrowed units. Lets the tick, which
  /// runs 20 times a second, skip the other subjects, of which there are tens
  /// of thousands at the design size.
  std::set<std::uint32_t> BorrowingSubjects_;
  std::uint64_t NextLoan_ = 1;
  /// Returned loans and their expiry times. Kept until they expire, so that a
  /// delayed copy of the grant does not reactivate one.
  std::map<LoanId, TimePoint> ReturnedLoans_;
  TimePoint Now_{};

  static const Block *findBlock(const SubjectState &In, std::uint32_t Index) {
    for (const Block &Item : In.Blocks_)
      if (Item.Index_ == Index)
        return &Item;
    return nullptr;
  }
  static Block *findBlock(SubjectState &In, std::uint32_t Index) {
    return const_cast<Block *>(findBlock(std::as_const(In), Index));
  }

  /// Whether the earlier owner has given up the block, by its release statement
  /// or, if it was removed, because its task leases have expired.
  bool hasReleased(const MemberId &Earlier, const SubjectState &Subject,
                   std::uint32_t Index) const {
    for (const membership::DepartedMember &Departed : View_.DepartedMembers_)
      if (Departed.Id_ == Earlier)
        return Departed.ReusableAfter_ < Now_;
    const auto Statement = ReleaseStatements_.find(Earlier);
    if (Statement == ReleaseStatements_.end())
      return false;
    const auto Held = Statement->second.lower_bound({Subject.Name_, Unit(0)});
    for (auto It = Held;
         It != Statement->second.end() && It->Subject_ == Subject.Name_; ++It)
      if (It->Unit_.value() % MaximumBlocks == Index)
        return false;
    return true;
  }

  /// Recomputes whether an earlier owner still holds units of an owned block.
  void refreshBlocked(const SubjectState &Subject, Block &Item) const {
    const std::uint64_t Hash = blockHash(Subject, Item.Index_);
    Item.Blocked_ =
        Item.Owned_ &&
        std::any_of(Past_.begin(), Past_.end(), [&](const Ownership &Earlier) {
          const MemberId *Owner = Earlier.ownerOf(Hash);
          return Owner && *Owner != Self_ &&
                 !hasReleased(*Owner, Subject, Item.Index_);
        });
  }

  /// Recomputes the blocks of a subject from the current view and limit.
  void refreshBlocks(SubjectState &Subject) {
    for (Block &Item : Subject.Blocks_)
      Item.Owned_ = false;
    for (std::uint32_t Index = 0; Index < Subject.blockCount(); ++Index) {
      const MemberId *Owner = Present_.ownerOf(blockHash(Subject, Index));
      if (!Owner || *Owner != Self_)
        continue;
      Block *Item = findBlock(Subject, Index);
      if (!Item) {
        Subject.Blocks_.push_back(
            {static_cast<std::uint16_t>(Index), false, false, 0});
        Item = &Subject.Blocks_.back();
      }
      Item->Owned_ = true;
    }
    std::erase_if(Subject.Blocks_, [](const Block &Item) {
      return !Item.Owned_ && Item.Used_ == 0;
    });
    Subject.Blocks_.shrink_to_fit();
    for (Block &Item : Subject.Blocks_)
      refreshBlocked(Subject, Item);
  }

  void recheckBlocked() {
    for (SubjectState &Subject : Subjects_)
      for (Block &Item : Subject.Blocks_)
        if (Item.Blocked_)
          refreshBlocked(Subject, Item);
  }

  /// Marks a unit as no longer used. Removes its block if another member owns
  /// it by now and none of its units is in use.
  void endUnitUse(SubjectState &Subject, Unit Which,
                  std::uint64_t LoanSequence) {
    const auto Ended = std::erase_if(Subject.Used_, [&](const UsedUnit &U) {
      return U.Unit_ == Which && U.Loan_ == LoanSequence;
    });
    Block *Item = findBlock(Subject, Which.value() % MaximumBlocks);
    if (!Item || Ended == 0)
      return;
    --Item->Used_;
    if (!Item->Owned_ && Item->Used_ == 0)
      Subject.Blocks_.erase(Subject.Blocks_.begin() +
                            (Item - Subject.Blocks_.data()));
  }

  /// Marks a free owned unit as used and returns it, or nullopt if there is
  /// none. \p LoanSequence is 0 for this entry's own work.
  std::optional<Unit> takeOwnUnit(SubjectState &From,
                                  std::uint64_t LoanSequence) {
    const std::size_t Count = From.Blocks_.size();
    for (std::size_t Step = 0; Step < Count; ++Step) {
      const std::size_t At = (From.Cursor_ + Step) % Count;
      const std::optional<Unit> Free = freeUnit(From, From.Blocks_[At]);
      if (!Free)
        continue;
      ++From.Blocks_[At].Used_;
      From.Used_.push_back({*Free, LoanSequence});
      From.Cursor_ = (At + 1) % Count;
      return Free;
    }
    return std::nullopt;
  }

  /// Removes the idle loans that match the predicate and remembers them as
  /// returned.
  template <typename Predicate>
  std::vector<LoanId> removeLoans(SubjectState &From, Predicate &&Matches) {
    std::vector<LoanId> Taken;
    std::erase_if(From.Borrowed_, [&](const BorrowedUnit &Item) {
      if (Item.InUse_ || !Matches(Item))
        return false;
      ReturnedLoans_[Item.Loan_.Id_] = Item.Loan_.Until_;
      Taken.push_back(Item.Loan_.Id_);
      return true;
    });
    return Taken;
  }

  void expireLent() {
    for (auto It = Lent_.begin(); It != Lent_.end();) {
      if (It->second.Until_ + ClockSkewMargin >= Now_) {
        ++It;
        continue;
      }
      endUnitUse(Subjects_[It->second.Subject_], It->second.Unit_, It->first);
      It = Lent_.erase(It);
    }
  }

  void expireBorrowed() {
    std::erase_if(BorrowingSubjects_, [&](std::uint32_t Index) {
      auto &Loans = Subjects_[Index].Borrowed_;
      std::erase_if(Loans, [&](const BorrowedUnit &Item) {
        return !Item.InUse_ && Item.Loan_.Until_ <= Now_;
      });
      return Loans.empty();
    });
    std::erase_if(ReturnedLoans_, [&](const auto &Item) {
      return Item.second + ClockSkewMargin < Now_;
    });
  }
};

UnitLedger::UnitLedger(MemberId Self)
    : State_(std::make_unique<State>(std::move(Self))) {}
UnitLedger::~UnitLedger() = default;
UnitLedger::UnitLedger(UnitLedger &&) noexcept = default;

void UnitLedger::adoptView(const View &Next, TimePoint Now) {
  State &S = *State_;
  S.Now_ = std::max(S.Now_, Now);
  if (Next.Number_ < S.View_.Number_ || Next == S.View_)
    return;
  if (Next.Number_ != S.View_.Number_)
    S.ReleaseStatements_.clear();
  S.View_ = Next;
  S.Present_ = Ownership(Next.owners());
  S.Past_.clear();
  for (const membership::PastView &Past : Next.Past_)
    S.Past_.emplace_back(Past.Owners_);
  for (SubjectState &Subject : S.Subjects_)
    S.refreshBlocks(Subject);
}

SubjectIndex UnitLedger::setLimit(const SubjectName &Name,
                                  std::uint32_t Limit) {
  State &S = *State_;
  const auto [At, Added] = S.Index_.try_emplace(
      Name, static_cast<std::uint32_t>(S.Subjects_.size()));
  if (Added) {
    S.Subjects_.emplace_back();
    S.Subjects_.back().Name_ = Name;
    S.Subjects_.back().Hash_ = stableHash(Name.str());
  }
  SubjectState &Row = S.Subjects_[At->second];
  if (Row.Limit_ != Limit) {
    Row.Limit_ = Limit;
    S.refreshBlocks(Row);
  }
  return SubjectIndex(At->second);
}

std::optional<SubjectIndex> UnitLedger::find(const SubjectName &Name) const {
  const auto At = State_->Index_.find(Name);
  if (At == State_->Index_.end())
    return std::nullopt;
  return SubjectIndex(At->second);
}

std::optional<Permit> UnitLedger::acquire(SubjectIndex Index, TimePoint Until,
                                          TimePoint Now) {
  SubjectState &From = State_->Subjects_[Index.value()];
  if (const std::optional<Unit> Own = State_->takeOwnUnit(From, 0))
    return Permit{Index, *Own, Until, false, {}};
  for (BorrowedUnit &Item : From.Borrowed_) {
    if (!usable(Item, From.Limit_, Until, Now))
      continue;
    Item.InUse_ = true;
    return Permit{Index, Item.Loan_.Unit_, Until, true, Item.Loan_.Id_};
  }
  return std::nullopt;
}

void UnitLedger::release(const Permit &Held) {
  SubjectState &From = State_->Subjects_[Held.Subject_.value()];
  if (!Held.Borrowed_) {
    State_->endUnitUse(From, Held.Unit_, 0);
    return;
  }
  for (BorrowedUnit &Item : From.Borrowed_) {
    if (Item.Loan_.Id_ != Held.Loan_)
      continue;
    Item.InUse_ = false;
    Item.IdleSince_ = State_->Now_;
  }
}

bool UnitLedger::hasFree(SubjectIndex Index, TimePoint Until,
                         TimePoint Now) const {
  const SubjectState &From = State_->Subjects_[Index.value()];
  return std::any_of(From.Blocks_.begin(), From.Blocks_.end(),
                     [&](const Block &Item) {
                       return freeUnit(From, Item).has_value();
                     }) ||
         std::any_of(From.Borrowed_.begin(), From.Borrowed_.end(),
                     [&](const BorrowedUnit &Item) {
                       return usable(Item, From.Limit_, Until, Now);
                     });
}

std::uint32_t UnitLedger::freeOwnedUnits(SubjectIndex Index) const {
  const SubjectState &From = State_->Subjects_[Index.value()];
  std::uint32_t Free = 0;
  for (const Block &Item : From.Blocks_) {
    const std::uint32_t Capacity = capacity(Item.Index_, From.Limit_);
    if (Item.available() && Capacity > Item.Used_)
      Free += Capacity - Item.Used_;
  }
  return Free;
}

std::uint32_t UnitLedger::idleUnits(SubjectIndex Index) const {
  const auto &Borrowed = State_->Subjects_[Index.value()].Borrowed_;
  return freeOwnedUnits(Index) +
         static_cast<std::uint32_t>(std::count_if(
             Borrowed.begin(), Borrowed.end(),
             [](const BorrowedUnit &Item) { return !Item.InUse_; }));
}

std::vector<Loan> UnitLedger::lend(SubjectIndex Index, const MemberId &,
                                   std::uint32_t Count, TimePoint Until) {
  State &S = *State_;
  SubjectState &From = S.Subjects_[Index.value()];
  std::vector<Loan> Loans;
  while (Loans.size() < Count) {
    const std::optional<Unit> Taken = S.takeOwnUnit(From, S.NextLoan_);
    if (!Taken)
      break;
    S.Lent_[S.NextLoan_] = {Index.value(), *Taken, Until};
    Loans.push_back({{S.Self_, S.NextLoan_}, From.Name_, *Taken, Until});
    ++S.NextLoan_;
  }
  return Loans;
}

void UnitLedger::acceptReturn(const LoanId &Id) {
  State &S = *State_;
  if (Id.Lender_ != S.Self_)
    return;
  const auto At = S.Lent_.find(Id.Sequence_);
  if (At == S.Lent_.end())
    return;
  S.endUnitUse(S.Subjects_[At->second.Subject_], At->second.Unit_,
               Id.Sequence_);
  S.Lent_.erase(At);
}

void UnitLedger::acceptLoan(const Loan &Granted, TimePoint Now) {
  State &S = *State_;
  const auto Index = S.Index_.find(Granted.Subject_);
  if (Index == S.Index_.end() || Granted.Until_ <= Now ||
      S.ReturnedLoans_.contains(Granted.Id_))
    return;
  SubjectState &Into = S.Subjects_[Index->second];
  const bool Known = std::any_of(
      Into.Borrowed_.begin(), Into.Borrowed_.end(),
      [&](const BorrowedUnit &Item) { return Item.Loan_.Id_ == Granted.Id_; });
  if (Known)
    return;
  Into.Borrowed_.push_back({Granted, false, Now});
  S.BorrowingSubjects_.insert(Index->second);
}

std::vector<LoanId> UnitLedger::removeIdleLoans(TimePoint IdleSince) {
  std::vector<LoanId> All;
  for (std::uint32_t Index : State_->BorrowingSubjects_) {
    SubjectState &From = State_->Subjects_[Index];
    const auto Taken = State_->removeLoans(From, [&](const BorrowedUnit &Item) {
      return Item.IdleSince_ <= IdleSince;
    });
    All.insert(All.end(), Taken.begin(), Taken.end());
  }
  return All;
}

std::vector<LoanId> UnitLedger::removeAllIdleLoans(SubjectIndex Index) {
  return State_->removeLoans(State_->Subjects_[Index.value()],
                             [](const BorrowedUnit &) { return true; });
}

ReleaseStatement UnitLedger::releaseStatement() const {
  ReleaseStatement Result{State_->Self_, State_->View_.Number_, {}};
  for (const SubjectState &Subject : State_->Subjects_)
    for (const UsedUnit &Used : Subject.Used_)
      if (const Block *Item = State_->findBlock(Subject, Used.block());
          Item && !Item->Owned_)
        Result.StillHeld_.push_back({Subject.Name_, Used.Unit_});
  return Result;
}

void UnitLedger::applyReleaseStatement(const ReleaseStatement &Statement) {
  State &S = *State_;
  if (Statement.View_ != S.View_.Number_ || Statement.From_ == S.Self_)
    return;
  std::set<HeldUnit> Held(Statement.StillHeld_.begin(),
                          Statement.StillHeld_.end());
  const auto Before = S.ReleaseStatements_.find(Statement.From_);
  if (Before != S.ReleaseStatements_.end() && Before->second == Held)
    return;
  S.ReleaseStatements_[Statement.From_] = std::move(Held);
  S.recheckBlocked();
}

void UnitLedger::tick(TimePoint Now) {
  State &S = *State_;
  S.Now_ = std::max(S.Now_, Now);
  S.expireLent();
  S.expireBorrowed();
  if (!S.View_.DepartedMembers_.empty())
    S.recheckBlocked();
}

std::vector<OwnedUnits> UnitLedger::ownersOf(SubjectIndex Index) const {
  const SubjectState &Subject = State_->Subjects_[Index.value()];
  std::vector<OwnedUnits> Result;
  for (std::uint32_t Block = 0; Block < Subject.blockCount(); ++Block) {
    const MemberId *Owner = State_->Present_.ownerOf(blockHash(Subject, Block));
    if (!Owner)
      continue;
    auto At =
        std::find_if(Result.begin(), Result.end(), [&](const OwnedUnits &Row) {
          return Row.Owner_ == *Owner;
        });
    if (At == Result.end())
      At = Result.insert(Result.end(), {*Owner, 0});
    At->Units_ += capacity(Block, Subject.Limit_);
  }
  return Result;
}

ViewNumber UnitLedger::view() const { return State_->View_.Number_; }

SubjectCounts UnitLedger::counts(SubjectIndex Index) const {
  const SubjectState &Subject = State_->Subjects_[Index.value()];
  SubjectCounts Result;
  Result.Limit_ = Subject.Limit_;
  for (const Block &Item : Subject.Blocks_) {
    const std::uint32_t Capacity = capacity(Item.Index_, Subject.Limit_);
    if (Item.Owned_)
      Result.Owned_ += Capacity;
    if (Item.available())
      Result.Available_ += Capacity;
  }
  for (const UsedUnit &Used : Subject.Used_)
    ++(Used.Loan_ == 0 ? Result.Running_ : Result.Lent_);
  for (const BorrowedUnit &Item : Subject.Borrowed_)
    ++(Item.InUse_ ? Result.Running_ : Result.Borrowed_);
  return Result;
}

std::size_t UnitLedger::subjectCount() const {
  return State_->Subjects_.size();
}

const SubjectName &UnitLedger::nameOf(SubjectIndex Index) const {
  return State_->Subjects_[Index.value()].Name_;
}

std::uint32_t UnitLedger::busyUnits(SubjectIndex Index) const {
  return static_cast<std::uint32_t>(
      State_->Subjects_[Index.value()].Used_.size());
}

std::vector<HeldUnit> UnitLedger::unitsInUse() const {
  std::vector<HeldUnit> Result;
  for (const SubjectState &Subject : State_->Subjects_) {
    for (const UsedUnit &Used : Subject.Used_)
      if (Used.Loan_ == 0)
        Result.push_back({Subject.Name_, Used.Unit_});
    for (const BorrowedUnit &Item : Subject.Borrowed_)
      if (Item.InUse_)
        Result.push_back({Subject.Name_, Item.Loan_.Unit_});
  }
  return Result;
}

} // namespace laburnumspread::limits
