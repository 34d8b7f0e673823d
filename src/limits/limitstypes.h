#pragma once

#include "membership/membershiptypes.h"

#include <cstdint>
#include <vector>

namespace laburnumspread::limits {

using framework::clock::Duration;
using framework::clock::TimePoint;
using membership::MemberId;
using membership::ViewNumber;

/// What a limit applies to: a team, or the slots of one endpoint.
using SubjectName = framework::ids::StrongName<struct SubjectNameTag>;
/// Row of a subject in the ledger of this process.
using SubjectIndex =
    framework::ids::StrongNumber<struct SubjectIndexTag, std::uint32_t>;

/// One unit of a limit: the units of limit L are numbered 0 to L - 1.
using Unit = framework::ids::StrongNumber<struct UnitTag, std::uint32_t>;

/// Units are owned in blocks: unit u belongs to block u mod MaximumBlocks.
/// Which blocks there are does not depend on the limit, so that entries that
/// still have different limits never disagree on an owner.
constexpr std::uint32_t MaximumBlocks = 256;

/// Names a loan for ever; never used again by its lender.
struct LoanId {
  MemberId Lender_;
  std::uint64_t Sequence_ = 0;
  auto operator<=>(const LoanId &) const = default;
};

/// The right to use one unit until a time.
struct Loan {
  LoanId Id_;
  SubjectName Subject_;
  Unit Unit_;
  TimePoint Until_{};
};

/// The right to run one unit of work on a subject; held by one request.
struct Permit {
  SubjectIndex Subject_;
  Unit Unit_;
  /// Work must have ended by then.
  TimePoint Until_{};
  bool Borrowed_ = false;
  LoanId Loan_;
};

struct HeldUnit {
  SubjectName Subject_;
  Unit Unit_;
  auto operator<=>(const HeldUnit &) const = default;
};

/// What a member says at one view: the units that it still uses, or has lent,
/// although the view gives them to another. Everything else that it owned in
/// earlier views is released. Sent again and again until it is empty, so that
/// a lost statement costs only time.
struct ReleaseStatement {
  MemberId From_;
  ViewNumber View_;
  std::vector<HeldUnit> StillHeld_;
};

/// Units of one subject that one member owns.
struct OwnedUnits {
  MemberId Owner_;
  std::uint32_t Units_ = 0;
};

/// Numbers of one subject for dumps and heartbeats.
struct SubjectCounts {
  std::uint32_t Limit_ = 0;
  std::uint32_t Owned_ = 0;
  std::uint32_t Available_ = 0;
  std::uint32_t Running_ = 0;
  std::uint32_t Lent_ = 0;
  std::uint32_t Borrowed_ = 0;
};

} // namespace laburnumspread::limits
