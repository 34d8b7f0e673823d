#pragma once

#include "limits/limitstypes.h"

#include <memory>
#include <optional>
#include <string_view>

namespace laburnumspread::limits {

/// One entry's part of all upper limits.
///
/// Each unit of a limit has one owner at each view: the rendezvous-hash winner
/// over the view's owners. The owner uses the unit or lends it; nobody else
/// does. When a view moves a unit, the new owner waits until every earlier
/// owner has released it at that very view, or, for a removed one, until the
/// last task lease that it could have given has ended. Pure: no I/O, time is
/// passed in.
class UnitLedger {
public:
  explicit UnitLedger(MemberId Self);
  ~UnitLedger();
  UnitLedger(UnitLedger &&) noexcept;

  /// Takes a view; one with a lower number than the present is left aside.
  void adoptView(const membership::View &Next, TimePoint Now);

  /// Sets the upper limit. A lower limit binds new work at once; running work
  /// goes on and is counted until it ends.
  SubjectIndex setLimit(const SubjectName &Subject, std::uint32_t Limit);
  std::optional<SubjectIndex> find(const SubjectName &Subject) const;

  /// Takes a unit of the entry's own or a borrowed one that lasts until
  /// \p Until. Empty when none is free.
  std::optional<Permit> acquire(SubjectIndex Subject, TimePoint Until,
                                TimePoint Now);
  void release(const Permit &Held);

  /// Whether acquire() would give a permit.
  bool hasFree(SubjectIndex Subject, TimePoint Until, TimePoint Now) const;
  /// Own units that are neither used nor lent.
  std::uint32_t freeOwnedUnits(SubjectIndex Subject) const;

  /// As freeOwnedUnits(), with idle borrowed units.
  std::uint32_t idleUnits(SubjectIndex Subject) const;

  /// Lends up to \p Count free units. They count as used until they are
  /// returned or \p Until and the clock skew margin have passed.
  std::vector<Loan> lend(SubjectIndex Subject, const MemberId &Borrower,
                         std::uint32_t Count, TimePoint Until);
  /// A borrower gives a loan back. Unknown loans are left aside.
  void acceptReturn(const LoanId &Loan);

  /// A loan has arrived. Dead, repeated and already returned ones are left
  /// aside.
  void acceptLoan(const Loan &Granted, TimePoint Now);
  /// Takes out idle loans that nobody has used since \p IdleSince, to be
  /// returned to their lenders.
  std::vector<LoanId> removeIdleLoans(TimePoint IdleSince);
  /// Takes out one idle loan of a subject, whatever its age.
  std::vector<LoanId> removeAllIdleLoans(SubjectIndex Subject);

  /// What this entry says at its present view.
  ReleaseStatement releaseStatement() const;
  /// Another member's statement. Only one given at this entry's own view
  /// counts: one of an earlier view knows nothing of later moves.
  void applyReleaseStatement(const ReleaseStatement &Statement);

  /// Ends loans and waits that have run out.
  void tick(TimePoint Now);

  /// Who owns how many units of a subject at the present view.
  std::vector<OwnedUnits> ownersOf(SubjectIndex Subject) const;

  ViewNumber view() const;
  SubjectCounts counts(SubjectIndex Subject) const;
  std::size_t subjectCount() const;
  const SubjectName &nameOf(SubjectIndex Subject) const;
  /// Units in use or lent on a subject, whoever owns them now.
  std::uint32_t busyUnits(SubjectIndex Subject) const;
  /// All units in use by this entry with its own or borrowed right, for the
  /// invariant "no unit is held twice".
  std::vector<HeldUnit> unitsInUse() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace laburnumspread::limits
