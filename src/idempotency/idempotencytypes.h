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

/// How long a key may be used after it was created. Records are kept a little
/// longer, so every entry refuses a key before its record is dropped.
constexpr Duration KeyWindow = std::chrono::minutes(15);

/// Responses of up to this many bytes are stored with the record and replayed
/// to a repeated request. Of a larger response only the outcome is stored.
constexpr std::size_t MaxStoredResponseBytes = 4 * 1024;

/// A caller's idempotency key, a UUID of version 7.
struct IdempotencyKey {
  std::string Text_;
  /// Creation time encoded in the UUID, to the millisecond.
  TimePoint MintedAt_{};
};

/// Parses the canonical text form, in either case. Returns nullopt if the text
/// is not a UUID of version 7.
std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view Text);

enum class KeyAge { Usable, TooOld, FromTheFuture };
/// Classifies the age of a key. A key counts as from the future only if it was
/// created more than the clock skew margin after \p Now.
KeyAge ageOf(const IdempotencyKey &Key, TimePoint Now);

/// Identifies a record by workspace and key, so that two workspaces that choose
/// the same key never share a record.
using RecordName = framework::ids::StrongName<struct RecordNameTag>;
RecordName recordName(const fleet::TeamName &Team, const IdempotencyKey &Key);

/// One attempt of one entry to run a request. Never reused.
struct AttemptId {
  MemberId Entry_;
  std::uint64_t Sequence_ = 0;
  auto operator<=>(const AttemptId &) const = default;
};

/// An endpoint's response as stored with the record.
struct StoredResponse {
  int Status_ = 0;
  std::string ContentType_;
  std::string Body_;
  /// Whether Body_ is the complete body.
  bool Complete_ = false;
};

enum class RecordState {
  /// An attempt has reserved the key and may have dispatched the request.
  Reserved,
  /// The request ran and its response arrived.
  Ran,
  /// The request was dispatched and its response was lost.
  Unknown
};

/// What is known of the request sent under one key.
struct Record {
  AttemptId Attempt_;
  RecordState State_ = RecordState::Reserved;
  /// The request has ended by this time, whether or not its outcome is known.
  TimePoint LeaseUntil_{};
  /// When the record may be dropped.
  TimePoint ForgetAfter_{};
  /// Hash of the request. Tells a repeated request from another request that
  /// reuses the key.
  std::uint64_t Fingerprint_ = 0;
  StoredResponse Response_;
};

struct NamedRecord {
  RecordName Name_;
  Record Record_;
};

/// A partition of the keys. Each bucket has its own set of replicas.
using Bucket = framework::ids::StrongNumber<struct BucketTag, std::uint32_t>;
constexpr std::uint32_t BucketCount = 128;
Bucket bucketOf(const RecordName &Name);

/// Size of a majority of \p Replicas replicas.
constexpr std::size_t quorumOf(std::size_t Replicas) {
  return Replicas / 2 + 1;
}

/// Asks a replica to reserve a key for an attempt.
struct ReserveRequest {
  RecordName Name_;
  TimePoint MintedAt_{};
  AttemptId Attempt_;
  ViewNumber View_;
  TimePoint LeaseUntil_{};
  std::uint64_t Fingerprint_ = 0;
};

enum class ReserveResult {
  /// The key was free, or was already reserved by this attempt.
  Reserved,
  /// Another attempt has a record under the key.
  Duplicate,
  /// The replica is not ready: it has not copied its records yet.
  NotReady,
  /// The replica is at another view than the request.
  ViewMismatch,
  /// Records from the time when the key was created may be lost.
  RecordsLost
};

struct ReserveReply {
  MemberId From_;
  AttemptId Attempt_;
  ReserveResult Result_ = ReserveResult::NotReady;
  /// The existing record. Set only if Result_ is Duplicate.
  Record Found_;
};

/// Asks a replica of the view before Since_ for the records of a bucket.
struct CopyRequest {
  MemberId From_;
  MemberId Source_;
  Bucket Bucket_;
  ViewNumber Since_;
};

enum class CopyResult {
  Copied,
  /// The source is at an earlier view or is not ready yet. Ask again.
  NotReady,
  /// The source has no complete set of records and will not get one.
  Unavailable
};

struct CopyReply {
  MemberId Source_;
  Bucket Bucket_;
  ViewNumber Since_;
  CopyResult Result_ = CopyResult::NotReady;
  /// Records of keys created before this time may be missing.
  TimePoint RecordsLostBefore_{};
  std::vector<NamedRecord> Records_;
};

} // namespace laburnumspread::idempotency
