#pragma once

#include "idempotency/idempotencytypes.h"

#include <memory>

namespace laburnumspread::idempotency {

/// The records that one entry keeps as a home of keys.
///
/// A key has three homes in different zones (fewer if there are fewer zones).
/// An attempt may dispatch once most of them have answered Reserved under one
/// view. At every view at most one ready home lacks a dispatched key, so any
/// two ready homes find it. A home is ready if it was one at the view before,
/// or once it has copied the records from most of the homes of the view
/// before, each of which was ready and had taken the new view, and so took no
/// more reservations under the old one. Pure: no I/O, time is passed in.
class ReplicaTable {
public:
  explicit ReplicaTable(MemberId Self);
  ~ReplicaTable();
  ReplicaTable(ReplicaTable &&) noexcept;

  void adoptView(const membership::View &Next, TimePoint Now);

  ReserveReply reserve(const ReserveRequest &Request, TimePoint Now);
  /// Notes how an attempt ended. Makes the record if its reservation was lost.
  void finish(const RecordName &Name, const Record &Final);
  /// The attempt surely never left: its key may be used again.
  void abandon(const RecordName &Name, const AttemptId &Attempt);

  /// Copies that are still wanted.
  std::vector<CopyRequest> missingCopies() const;
  CopyReply handleCopyRequest(const CopyRequest &Request) const;
  void applyCopyReply(const CopyReply &Reply, TimePoint Now);
  std::uint64_t bucketsToCopy() const;

  /// Forgets records whose keys are refused by now.
  void tick(TimePoint Now);

  ViewNumber view() const;
  std::size_t records() const;
  /// Buckets of which this entry is a ready home that has lost records of
  /// earlier keys.
  std::size_t bucketsWithLostRecords(TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

/// The homes of a bucket at a view.
std::vector<MemberId> replicasOf(const membership::View &Current, Bucket Of);

} // namespace laburnumspread::idempotency
