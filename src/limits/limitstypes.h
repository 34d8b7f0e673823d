#pragma once

#include "membership/membershiptypes.h"

#include <cstdint>
#include <vector>

namespace laburnumspread::limits {

using framework::clock::Duration;
using framework::clock::TimePoint;
using membership::MemberId;
using membership::ViewNumber;

/// What an upper limit applies to: a workspace, or the slots of one endpoint.
using SubjectName = framework::ids::StrongName<struct SubjectNameTag>;
/// Index of a subject in the ledger of this process. Not valid elsewhere.
using SubjectIndex =
    framework::ids::StrongNumber<struct SubjectIndexTag, std::uint32_t>;

/// One unit of a limit. A limit of L has the units 0 to L - 1.
using Unit = framework::ids::StrongNumber<struct UnitTag, std::uint32_t>;

/// Number of blocks into which units are grouped for ownership: unit u belongs
/// to block u mod MaximumBlocks. The mapping does not depend on the limit, so
/// entries that have not yet seen the same limit agree on every owner.
constexpr std::uint32_t MaximumBlocks = 256;

/// Identifies a loan. The lender never reuses a sequence number.
struct LoanId {
  MemberId Lender_;
  std::uint64_t Sequence_ = 0;
  auto operator<=>(const LoanId &) const = default;
};

/// The right to use one unit of another member until Until_.
struct Loan {
  LoanId Id_;
  SubjectName Subject_;
  Unit Unit_;
  TimePoint Until_{};
};

/// The right of one request to use one unit of a subject.
struct Permit {
  SubjectIndex Subject_;
  Unit Unit_;
  /// The work must end by this time.
  TimePoint Until_{};
  bool Borrowed_ = false;
  LoanId Loan_;
};

/// A unit in use or lent out, identified across members.
struct HeldUnit {
  SubjectName Subject_;
  Unit Unit_;
  auto operator<=>(const HeldUnit &) const = default;
};

/// Lists the units that a member still uses or has lent out although the view
/// assigns them to another member. Everything else that it owned in earlier
/// views is released. Repeated in heartbeats until the view is settled, so a
/// lost statement only delays the release.
struct ReleaseStatement {
  MemberId From_;
  ViewNumber View_;
  std::vector<HeldUnit> StillHeld_;
};

/// Number of units of one subject that one member owns.
struct OwnedUnits {
  MemberId Owner_;
  std::uint32_t Units_ = 0;
};

/// Unit counts of one subject, for debug output.
struct SubjectCounts {
  std::uint32_t Limit_ = 0;
  std::uint32_t Owned_ = 0;
  std::uint32_t Available_ = 0;
  std::uint32_t Running_ = 0;
  std::uint32_t Lent_ = 0;
  std::uint32_t Borrowed_ = 0;
};

} // namespace laburnumspread::limits
