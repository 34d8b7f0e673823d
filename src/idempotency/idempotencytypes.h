#pragma once

#include "fleet/fleettypes.h"
#include "membership/membershiptypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspread::idempotency {

using framework::clock::Duration;
using framework::clock::TimePoint;
using membership::MemberId;
using membership::ViewNumber;

/// Time from its minting in which a key may be used. Records are kept a little
/// longer, so that a key is refused everywhere before its record is forgotten.
constexpr Duration KeyWindow = std::chrono::minutes(15);

/// Answers up to this size are kept with the record and given again to a
/// repeated request; of larger ones only the outcome is.
constexpr std::size_t MaxStoredResponseBytes = 4 * 1024;

/// A caller's idempotency key: a UUID of version 7.
struct IdempotencyKey {
  std::string Text_;
  /// When the caller minted it, as the UUID says.
  TimePoint MintedAt_{};
};

/// Reads the canonical text form. Empty when it is no UUID of version 7.
std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view Text);

enum class KeyAge { Usable, TooOld, FromTheFuture };
KeyAge ageOf(const IdempotencyKey &Key, TimePoint Now);

/// Names a record. Two teams that choose the same key never see each other's.
using RecordName = framework::ids::StrongName<struct RecordNameTag>;
RecordName recordName(const fleet::TeamName &Team, const IdempotencyKey &Key);

/// One try of one entry to run a request; never used again.
struct AttemptId {
  MemberId Entry_;
  std::uint64_t Sequence_ = 0;
  auto operator<=>(const AttemptId &) const = default;
};

/// An endpoint's answer that is kept with its record.
struct StoredResponse {
  int Status_ = 0;
  std::string ContentType_;
  std::string Body_;
  /// Whether Body_ is the whole answer.
  bool Complete_ = false;
};

enum class RecordState {
  /// An attempt may dispatch, or has.
  Reserved,
  /// It ran and was answered.
  Ran,
  /// It was dispatched and its answer was lost.
  Unknown
};

struct Record {
  AttemptId Attempt_;
  RecordState State_ = RecordState::Reserved;
  /// The request is over by then, whether its answer is known or not.
  TimePoint LeaseUntil_{};
  TimePoint ForgetAfter_{};
  /// Hash of what was asked, to tell a repeat from a key used twice.
  std::uint64_t Fingerprint_ = 0;
  StoredResponse Response_;
};

struct NamedRecord {
  RecordName Name_;
  Record Record_;
};

/// Part of all keys; each has its own three homes.
using Bucket = framework::ids::StrongNumber<struct BucketTag, std::uint32_t>;
constexpr std::uint32_t BucketCount = 128;
Bucket bucketOf(const RecordName &Name);

/// Homes that must agree, out of \p Replicas.
constexpr std::size_t quorumOf(std::size_t Replicas) {
  return Replicas / 2 + 1;
}

struct ReserveRequest {
  RecordName Name_;
  TimePoint MintedAt_{};
  AttemptId Attempt_;
  ViewNumber View_;
  TimePoint LeaseUntil_{};
  std::uint64_t Fingerprint_ = 0;
};

enum class ReserveResult {
  Reserved,
  /// A record of another attempt is there.
  Duplicate,
  /// The home does not have its records yet.
  NotReady,
  /// The home is at another view.
  ViewMismatch,
  /// Records of the time when the key was minted are lost.
  RecordsLost
};

struct ReserveReply {
  MemberId From_;
  AttemptId Attempt_;
  ReserveResult Result_ = ReserveResult::NotReady;
  /// With Duplicate.
  Record Found_;
};

/// Asks for the records of a bucket by a home that has become one at
/// \p Since_.
struct CopyRequest {
  MemberId From_;
  MemberId Source_;
  Bucket Bucket_;
  ViewNumber Since_;
};

enum class CopyResult { Copied, NotReady, Unavailable };

struct CopyReply {
  MemberId Source_;
  Bucket Bucket_;
  ViewNumber Since_;
  CopyResult Result_ = CopyResult::NotReady;
  TimePoint RecordsLostBefore_{};
  std::vector<NamedRecord> Records_;
};

} // namespace laburnumspread::idempotency
