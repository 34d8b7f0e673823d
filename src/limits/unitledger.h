#pragma once

#include "limits/limitstypes.h"

#include <memory>
#include <optional>
#include <string_view>

namespace laburnumspread::limits {

/// Tracks the units of all upper limits that one entry owns, uses, lends and
/// borrows.
///
/// At each view every unit has exactly one owner, chosen by rendezvous hashing
/// over the owners of the view. Only the owner may use the unit or lend it.
/// When a view moves a unit, the new owner waits until every earlier owner has
/// released it at that same view. If an earlier owner was removed, it waits
/// until the last task lease that owner could have granted has expired.
///
/// Does no I/O; the current time is passed in.
class UnitLedger {
public:
  explicit UnitLedger(MemberId Self);
  ~UnitLedger();
  UnitLedger(UnitLedger &&) noexcept;

  /// Adopts a view. Ignores a view with a lower number than the current one.
  void adoptView(const membership::View &Next, TimePoint Now);

  /// Sets the upper limit of a subject, adding the subject if it is new. A
  /// lower limit applies to new work at once. Running work continues and stays
  /// counted until it ends.
  SubjectIndex setLimit(const SubjectName &Subject, std::uint32_t Limit);
  /// Returns nullopt if no limit was ever set for the subject.
  std::optional<SubjectIndex> find(const SubjectName &Subject) const;

  /// Takes a free owned unit, or else a borrowed one whose loan lasts at least
  /// until \p Until. Returns nullopt if neither is available.
  std::optional<Permit> acquire(SubjectIndex Subject, TimePoint Until,
                                TimePoint Now);
  /// Ends the use of a unit. A borrowed unit stays borrowed and idle.
  void release(const Permit &Held);

  /// Whether acquire() would return a permit.
  bool hasFree(SubjectIndex Subject, TimePoint Until, TimePoint Now) const;
  /// Number of owned units that are neither in use nor lent out.
  std::uint32_t freeOwnedUnits(SubjectIndex Subject) const;

  /// freeOwnedUnits() plus the borrowed units that are not in use.
  std::uint32_t idleUnits(SubjectIndex Subject) const;

  /// Lends up to \p Count free owned units. They count as used until they are
  /// returned or until \p Until plus the clock skew margin has passed.
  std::vector<Loan> lend(SubjectIndex Subject, const MemberId &Borrower,
                         std::uint32_t Count, TimePoint Until);
  /// Takes back a loan that its borrower has returned. Ignores unknown loans.
  void acceptReturn(const LoanId &Loan);

  /// Adds a loan granted by another member. Ignores loans that have expired,
  /// are already known, or were already returned.
  void acceptLoan(const Loan &Granted, TimePoint Now);
  /// Removes the loans that have been idle since \p IdleSince or earlier. The
  /// caller returns them to their lenders.
  std::vector<LoanId> removeIdleLoans(TimePoint IdleSince);
  /// Removes all idle loans of a subject, however recently they were used.
  std::vector<LoanId> removeAllIdleLoans(SubjectIndex Subject);

  /// The release statement of this entry at its current view.
  ReleaseStatement releaseStatement() const;
  /// Applies another member's statement. Ignores a statement made at a view
  /// other than this entry's, since it does not cover the same moves.
  void applyReleaseStatement(const ReleaseStatement &Statement);

  /// Expires loans, and unblocks units of removed members whose task leases
  /// have expired.
  void tick(TimePoint Now);

  /// The number of units that each member owns at the current view.
  std::vector<OwnedUnits> ownersOf(SubjectIndex Subject) const;

  ViewNumber view() const;
  SubjectCounts counts(SubjectIndex Subject) const;
  /// Number of subjects. Their indexes are 0 to subjectCount() - 1.
  std::size_t subjectCount() const;
  const SubjectName &nameOf(SubjectIndex Subject) const;
  /// Number of units of a subject that this entry uses or has lent out,
  /// whoever owns them at the current view. Borrowed units are not counted.
  std::uint32_t busyUnits(SubjectIndex Subject) const;
  /// All owned and borrowed units that this entry's work is using. Used to
  /// check the invariant that no unit is held twice.
  std::vector<HeldUnit> unitsInUse() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace laburnumspread::limits
