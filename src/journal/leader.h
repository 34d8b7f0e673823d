#pragma once

#include "jobs/jobtypes.h"

#include <optional>
#include <string>
#include <string_view>

/// Persistent state of a cell in the platform's store: its leader and the
/// journal of its events.
namespace laburnumspread::journal {

/// The entry process that leads a cell, as recorded in the cell's head key.
struct Leader {
  fleet::EntryName Entry_;
  fleet::Incarnation Incarnation_;
  std::string PeerAddress_;
  /// Number of the campaign; distinguishes the campaigns of one process.
  std::uint64_t Attempt_ = 0;
  /// Revision of the head key; not part of the key's value.
  jobs::FencingToken Token_;

  bool sameProcess(const Leader &Other) const {
    return Entry_ == Other.Entry_ && Incarnation_ == Other.Incarnation_;
  }
};

/// Encodes the value of the head key.
std::string encodeLeader(const Leader &From);
/// Decodes the value of the head key that was written at revision \p Written.
/// Returns nullopt if the text is not a leader's record.
std::optional<Leader> decodeLeader(std::string_view Text,
                                   fleet::Revision Written);

/// Names of a cell's keys in the store.
struct CellKeys {
  explicit CellKeys(std::string Prefix) : Prefix_(std::move(Prefix)) {}

  std::string head() const { return Prefix_ + "head"; }
  /// Prefix of the keys with each entry's weight as a candidate for leadership.
  std::string candidates() const { return Prefix_ + "candidates/"; }
  /// Written to get a new revision of the store; nothing reads it.
  std::string fence() const { return Prefix_ + "fence"; }
  std::string base() const { return Prefix_ + "base"; }
  std::string logPrefix() const { return Prefix_ + "log/"; }
  std::string log(std::uint64_t Index) const;
  std::string snapshotPrefix(std::uint64_t Index) const;
  std::string snapshot(std::uint64_t Index, std::size_t Part) const;

  std::string Prefix_;
};

/// The snapshot at which a replay starts. It covers all entries up to an index.
struct Base {
  std::uint64_t Index_ = 0;
  /// Number of parts of the snapshot; 0 if there is none.
  std::uint64_t Parts_ = 0;
};

std::string encodeBase(const Base &From);
/// Returns nullopt if the text is not a base record.
std::optional<Base> decodeBase(std::string_view Text);
/// Returns the index at the end of a log key, or 0 if there is none.
std::uint64_t indexOfLogKey(std::string_view Key);

} // namespace laburnumspread::journal
