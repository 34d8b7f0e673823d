#pragma once

#include "idempotency/idempotencytypes.h"

#include <memory>

namespace laburnumspread::idempotency {

/// The idempotency records that one entry holds as a replica.
///
/// Each key has three replicas in different availability zones, or fewer if
/// there are fewer zones. An attempt may dispatch once a majority of them has
/// answered Reserved under one view. At every view at most one ready replica
/// lacks the record of a dispatched key, so any two ready replicas find it.
///
/// A replica is ready if it was one at the previous view, or once it has copied
/// the records from a majority of the replicas of the previous view. Each of
/// these must have been ready and have adopted the new view, so that it accepts
/// no more reservations under the old one.
///
/// Does no I/O; the current time is passed in.
class ReplicaTable {
public:
  explicit ReplicaTable(MemberId Self);
  ~ReplicaTable();
  ReplicaTable(ReplicaTable &&) noexcept;

  /// Adopts a view. Ignores a view with a lower number than the current one.
  void adoptView(const membership::View &Next, TimePoint Now);

  /// Reserves a key for an attempt, or tells why not.
  ReserveReply reserve(const ReserveRequest &Request, TimePoint Now);
  /// Records how an attempt ended. Creates the record if the reservation never
  /// arrived.
  void finish(const RecordName &Name, const Record &Final);
  /// Frees the key of an attempt that was certainly not dispatched.
  void abandon(const RecordName &Name, const AttemptId &Attempt);

  /// The copies that buckets of this entry still need to become ready.
  std::vector<CopyRequest> missingCopies() const;
  /// Answers another replica's request for the records of a bucket.
  CopyReply handleCopyRequest(const CopyRequest &Request) const;
  /// Adds the copied records. Ignores a reply that is no longer needed.
  void applyCopyReply(const CopyReply &Reply, TimePoint Now);
  /// Number of buckets of which this entry is a replica that is not ready.
  std::uint64_t bucketsToCopy() const;

  /// Drops records whose keys are refused as too old by now.
  void tick(TimePoint Now);

  ViewNumber view() const;
  std::size_t records() const;
  /// Number of buckets of which this entry is a replica and in which records of
  /// keys that are still usable may be lost.
  std::size_t bucketsWithLostRecords(TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

/// The replicas of a bucket at a view.
std::vector<MemberId> replicasOf(const membership::View &Current,
                                 Bucket Target);

} // namespace laburnumspread::idempotency
