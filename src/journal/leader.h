#pragma once

#include "jobs/jobtypes.h"

#include <optional>
#include <string>
#include <string_view>

/// What lasts of a cell: who leads it, and the journal of its events. Both lie
/// in the platform's store.
namespace laburnumspread::journal {

/// The entry that schedules a cell, as the cell's head key names it.
struct Leader {
  fleet::EntryName Entry_;
  fleet::Incarnation Incarnation_;
  std::string PeerAddress_;
  /// Tells the attempts of one entry apart.
  std::uint64_t Attempt_ = 0;
  /// Revision of the head key; not part of its value.
  jobs::FencingToken Token_;

  bool sameProcess(const Leader &Other) const {
    return Entry_ == Other.Entry_ && Incarnation_ == Other.Incarnation_;
  }
};

std::string encodeLeader(const Leader &From);
/// Empty when the text is not a holder's record.
std::optional<Leader> decodeLeader(std::string_view Text,
                                   fleet::Revision Written);

/// Keys of a cell in the store.
struct CellKeys {
  explicit CellKeys(std::string Prefix) : Prefix_(std::move(Prefix)) {}

  std::string head() const { return Prefix_ + "head"; }
  /// Each entry's weight as a candidate.
  std::string candidates() const { return Prefix_ + "candidates/"; }
  std::string base() const { return Prefix_ + "base"; }
  std::string logPrefix() const { return Prefix_ + "log/"; }
  std::string log(std::uint64_t Index) const;
  std::string snapshotPrefix(std::uint64_t Index) const;
  std::string snapshot(std::uint64_t Index, std::size_t Part) const;

  std::string Prefix_;
};

/// Where a replay begins: a snapshot that holds everything up to an index.
struct Base {
  std::uint64_t Index_ = 0;
  std::uint64_t Parts_ = 0;
};

std::string encodeBase(const Base &From);
std::optional<Base> decodeBase(std::string_view Text);
/// Index at the end of a log key; 0 when there is none.
std::uint64_t indexOfLogKey(std::string_view Key);

} // namespace laburnumspread::journal
