#pragma once

#include "framework/ids/rendezvous.h"
#include "limits/limitstypes.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace laburnumspread::limits {

/// A unit used by this entry's work or lent out.
struct UsedUnit {
  Unit Unit_;
  /// Sequence number of the loan, or 0 for this entry's own work.
  std::uint64_t Loan_ = 0;

  std::uint32_t block() const { return Unit_.value() % MaximumBlocks; }
};

/// A block of units of one subject that this entry owns or still uses. Kept
/// small, since there are more than 100,000 of them at the design size.
struct Block {
  std::uint16_t Index_ = 0;
  bool Owned_ = false;
  /// Whether an earlier owner has not yet released the block.
  bool Blocked_ = false;
  std::uint16_t Used_ = 0;

  bool available() const { return Owned_ && !Blocked_; }
};

/// Number of units in block \p Index under limit \p Limit.
inline std::uint32_t capacity(std::uint32_t Index, std::uint32_t Limit) {
  if (Index >= Limit)
    return 0;
  return (Limit - Index - 1) / MaximumBlocks + 1;
}

/// A unit lent to this entry.
struct BorrowedUnit {
  Loan Loan_;
  bool InUse_ = false;
  TimePoint IdleSince_{};
};

/// The limit of one subject and the units that this entry holds of it.
struct SubjectState {
  SubjectName Name_;
  std::uint64_t Hash_ = 0;
  std::uint32_t Limit_ = 0;
  std::vector<Block> Blocks_;
  std::vector<UsedUnit> Used_;
  std::vector<BorrowedUnit> Borrowed_;
  /// Index of the block at which the next search for a free unit starts.
  std::size_t Cursor_ = 0;

  std::uint32_t blockCount() const { return std::min(Limit_, MaximumBlocks); }
  bool uses(Unit Which) const {
    return std::any_of(Used_.begin(), Used_.end(),
                       [&](const UsedUnit &U) { return U.Unit_ == Which; });
  }
};

/// Returns the lowest unit of the block that is within the limit and not in
/// use, or nullopt if there is none or the block is not available.
inline std::optional<Unit> freeUnit(const SubjectState &Subject,
                                    const Block &Item) {
  const std::uint32_t Capacity = capacity(Item.Index_, Subject.Limit_);
  if (!Item.available() || Item.Used_ >= Capacity)
    return std::nullopt;
  for (std::uint32_t K = 0; K < Capacity; ++K) {
    const Unit Candidate(Item.Index_ + K * MaximumBlocks);
    if (Item.Used_ == 0 || !Subject.uses(Candidate))
      return Candidate;
  }
  return std::nullopt;
}

inline std::uint64_t blockHash(const SubjectState &Subject,
                               std::uint32_t Index) {
  return framework::ids::rendezvousWeight(Subject.Hash_, Index + 1);
}

} // namespace laburnumspread::limits
