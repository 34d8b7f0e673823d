#pragma once

#include "framework/ids/rendezvous.h"
#include "limits/limitstypes.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace laburnumspread::limits {

/// A unit in use, by work of this entry or by a borrower.
struct UsedUnit {
  Unit Unit_;
  /// 0 for own work, else the sequence number of the loan.
  std::uint64_t Loan_ = 0;

  std::uint32_t block() const { return Unit_.value() % MaximumBlocks; }
};

/// Units of one subject that this entry owns, or still uses. Kept small: at
/// the design size there are more than a hundred thousand.
struct Block {
  std::uint16_t Index_ = 0;
  bool Owned_ = false;
  /// Whether some earlier owner has not released the block yet.
  bool Blocked_ = false;
  std::uint16_t Used_ = 0;

  bool available() const { return Owned_ && !Blocked_; }
};

/// Number of units of block \p Index under limit \p Limit.
inline std::uint32_t capacity(std::uint32_t Index, std::uint32_t Limit) {
  if (Index >= Limit)
    return 0;
  return (Limit - Index - 1) / MaximumBlocks + 1;
}

struct BorrowedUnit {
  Loan Loan_;
  bool InUse_ = false;
  TimePoint IdleSince_{};
};

struct SubjectState {
  SubjectName Name_;
  std::uint64_t Hash_ = 0;
  std::uint32_t Limit_ = 0;
  std::vector<Block> Blocks_;
  std::vector<UsedUnit> Used_;
  std::vector<BorrowedUnit> Borrowed_;
  /// Where the last search for a free block ended.
  std::size_t Cursor_ = 0;

  std::uint32_t blockCount() const { return std::min(Limit_, MaximumBlocks); }
  bool uses(Unit Which) const {
    return std::any_of(Used_.begin(), Used_.end(),
                       [&](const UsedUnit &U) { return U.Unit_ == Which; });
  }
};

/// Lowest unit of the block that is within the limit and not in use.
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
