#include "idempotency/replicatable.h"

#include "framework/ids/rendezvous.h"
#include "membership/ownership.h"

#include <algorithm>
#include <set>
#include <unordered_map>

namespace laburnumspread::idempotency {

using framework::clock::ClockSkewMargin;
using membership::Ownership;
using membership::View;

namespace {

constexpr std::size_t ReplicationFactor = 3;

/// The replicas of a bucket under the owners of one view. The hash constant,
/// "home" in ASCII, must be the same at all entries.
std::vector<MemberId> replicasUnder(const Ownership &Owners,
                                    std::uint32_t Index) {
  return Owners.selectAcrossZones(
      framework::ids::rendezvousWeight(Index + 1, 0x686f6d65),
      ReplicationFactor);
}

bool contains(const std::vector<MemberId> &In, const MemberId &Id) {
  return std::find(In.begin(), In.end(), Id) != In.end();
}

/// The copies that a replica needs before it is ready.
struct CatchUp {
  /// Replicas of the previous view.
  std::vector<MemberId> Sources_;
  ViewNumber Since_;
  std::set<MemberId> Copied_;
  /// Sources that cannot provide a copy.
  std::set<MemberId> Unavailable_;
};

struct BucketState {
  std::vector<MemberId> Replicas_;
  bool IsReplica_ = false;
  bool Ready_ = false;
  /// Last view at which this entry was a ready replica.
  ViewNumber LastReadyView_;
  CatchUp CatchUp_;
  /// Records of keys created before this time may be lost.
  TimePoint RecordsLostBefore_{};
  std::unordered_map<RecordName, Record> Records_;
};

/// Replaces a reservation by \p From. A final state is never replaced.
void mergeRecord(Record &Into, const Record &From) {
  if (Into.State_ == RecordState::Reserved)
    Into = From;
}

} // namespace

std::vector<MemberId> replicasOf(const View &Current, Bucket Target) {
  return replicasUnder(Ownership(Current.owners()), Target.value());
}

struct ReplicaTable::State {
  explicit State(MemberId Self)
      : Self_(std::move(Self)), Buckets_(BucketCount) {}

  MemberId Self_;
  View View_;
  std::vector<BucketState> Buckets_;

  /// Applies a change of a bucket's replicas from \p Before to \p After at view
  /// \p At.
  void applyReplicaChange(BucketState &Item,
                          const std::vector<MemberId> &Before,
                          const std::vector<MemberId> &After, ViewNumber At) {
    const bool WasReady = Item.IsReplica_ && Item.Ready_;
    const bool WasReplica = contains(Before, Self_);
    Item.Replicas_ = After;
    Item.IsReplica_ = contains(After, Self_);
    // With fewer replicas a majority is smaller and may consist of the one
    // replica that lacks a key, so every replica copies again.
    const bool Fewer = After.size() < Before.size();
    if (!Item.IsReplica_) {
      Item.Ready_ = false;
      Item.CatchUp_ = {};
    } else if (!WasReplica || Fewer) {
      Item.Ready_ = false;
      Item.CatchUp_ = {Before, At, {}, {}};
      if (WasReady)
        Item.CatchUp_.Copied_.insert(Self_);
    }
  }

  /// Applies all views after the current one up to \p Next in order, since a
  /// replica stays ready only if it was one at each of them.
  void applyViewsThrough(const View &Next) {
    std::vector<std::pair<ViewNumber, Ownership>> Steps;
    const bool Known = View_.Number_.value() > 0;
    for (const membership::PastView &Past : Next.Past_)
      if (!Known || Past.Number_ > View_.Number_)
        Steps.emplace_back(Past.Number_, Ownership(Past.Owners_));
    Steps.emplace_back(Next.Number_, Ownership(Next.owners()));
    for (std::uint32_t B = 0; B < BucketCount; ++B) {
      BucketState &Item = Buckets_[B];
      std::size_t First = 0;
      if (!Known)
        First = initializeBucket(Item, replicasUnder(Steps[0].second, B), Next);
      for (std::size_t I = First; I < Steps.size(); ++I) {
        const std::vector<MemberId> Before = Item.Replicas_;
        applyReplicaChange(Item, Before, replicasUnder(Steps[I].second, B),
                           Steps[I].first);
      }
    }
  }

  /// Initializes a bucket from the first view that this process adopts. The
  /// oldest view in it is settled, so its replicas are ready. This entry is
  /// ready only if it has just created the very first view. Returns the index
  /// of the next view to apply.
  std::size_t initializeBucket(BucketState &Item,
                               std::vector<MemberId> Replicas,
                               const View &Next) {
    Item.Replicas_ = std::move(Replicas);
    Item.IsReplica_ = contains(Item.Replicas_, Self_);
    Item.Ready_ = Item.IsReplica_ && Next.Past_.empty();
    return 1;
  }

  /// Number of sources that have provided a copy or may still do so.
  std::size_t availableSources(const BucketState &Item) const {
    return std::count_if(Item.CatchUp_.Sources_.begin(),
                         Item.CatchUp_.Sources_.end(), [&](const MemberId &Id) {
                           return Item.CatchUp_.Copied_.contains(Id) ||
                                  (Id != Self_ && View_.find(Id) &&
                                   !Item.CatchUp_.Unavailable_.contains(Id));
                         });
  }

  /// Marks a replica as ready once it has copied from a majority of its
  /// sources, or once no majority can be reached any more and all available
  /// sources are copied.
  void refreshReadiness(BucketState &Item, TimePoint Now) {
    if (Item.IsReplica_ && !Item.Ready_) {
      const std::size_t Need = quorumOf(Item.CatchUp_.Sources_.size());
      const std::size_t Copied = Item.CatchUp_.Copied_.size();
      if (Copied >= Need && !Item.CatchUp_.Sources_.empty())
        Item.Ready_ = true;
      else if (availableSources(Item) < Need &&
               Copied == availableSources(Item)) {
        // A majority of the former replicas is permanently lost, possibly with
        // the only records of some keys. Staying not ready would stop all work,
        // and reserving those keys again could run their requests twice.
        Item.Ready_ = true;
        Item.RecordsLostBefore_ = Now + ClockSkewMargin;
      }
    }
    if (Item.IsReplica_ && Item.Ready_)
      Item.LastReadyView_ = View_.Number_;
    // Former replicas are not asked for copies once the view is settled.
    if (!Item.IsReplica_ && View_.settled())
      Item.Records_.clear();
  }
};

ReplicaTable::ReplicaTable(MemberId Self)
    : State_(std::make_unique<State>(std::move(Self))) {}
ReplicaTable::~ReplicaTable() = default;
ReplicaTable::ReplicaTable(ReplicaTable &&) noexcept = default;

void ReplicaTable::adoptView(const View &Next, TimePoint Now) {
  State &S = *State_;
  if (Next.Number_ < S.View_.Number_ || Next == S.View_)
    return;
  if (Next.Number_ > S.View_.Number_)
    S.applyViewsThrough(Next);
  S.View_ = Next;
  for (BucketState &Item : S.Buckets_)
    S.refreshReadiness(Item, Now);
}

ReserveReply ReplicaTable::reserve(const ReserveRequest &Request,
                                   TimePoint Now) {
  State &S = *State_;
  BucketState &Item = S.Buckets_[bucketOf(Request.Name_).value()];
  ReserveReply Reply{S.Self_, Request.Attempt_, ReserveResult::Reserved, {}};
  if (Request.View_ != S.View_.Number_) {
    Reply.Result_ = ReserveResult::ViewMismatch;
    return Reply;
  }
  const auto Found = Item.Records_.find(Request.Name_);
  if (Found != Item.Records_.end()) {
    if (Found->second.Attempt_ != Request.Attempt_) {
      Reply.Result_ = ReserveResult::Duplicate;
      Reply.Found_ = Found->second;
    }
    return Reply;
  }
  if (!Item.IsReplica_ || !Item.Ready_) {
    Reply.Result_ = ReserveResult::NotReady;
    return Reply;
  }
  if (Request.MintedAt_ < Item.RecordsLostBefore_) {
    Reply.Result_ = ReserveResult::RecordsLost;
    return Reply;
  }
  Record NewRecord;
  NewRecord.Attempt_ = Request.Attempt_;
  NewRecord.LeaseUntil_ = Request.LeaseUntil_;
  NewRecord.ForgetAfter_ =
      std::max(Request.MintedAt_ + KeyWindow, Now) + 3 * ClockSkewMargin;
  NewRecord.Fingerprint_ = Request.Fingerprint_;
  Item.Records_.emplace(Request.Name_, std::move(NewRecord));
  return Reply;
}

void ReplicaTable::finish(const RecordName &Name, const Record &Final) {
  BucketState &Item = State_->Buckets_[bucketOf(Name).value()];
  const auto [At, Added] = Item.Records_.try_emplace(Name, Final);
  if (!Added && At->second.Attempt_ == Final.Attempt_)
    mergeRecord(At->second, Final);
}

void ReplicaTable::abandon(const RecordName &Name, const AttemptId &Attempt) {
  BucketState &Item = State_->Buckets_[bucketOf(Name).value()];
  const auto At = Item.Records_.find(Name);
  if (At != Item.Records_.end() && At->second.Attempt_ == Attempt &&
      At->second.State_ == RecordState::Reserved)
    Item.Records_.erase(At);
}

std::vector<CopyRequest> ReplicaTable::missingCopies() const {
  const State &S = *State_;
  std::vector<CopyRequest> Result;
  for (std::uint32_t B = 0; B < BucketCount; ++B) {
    const BucketState &Item = S.Buckets_[B];
    if (!Item.IsReplica_ || Item.Ready_)
      continue;
    for (const MemberId &Source : Item.CatchUp_.Sources_)
      if (Source != S.Self_ && S.View_.find(Source) &&
          !Item.CatchUp_.Copied_.contains(Source))
        Result.push_back({S.Self_, Source, Bucket(B), Item.CatchUp_.Since_});
  }
  return Result;
}

CopyReply ReplicaTable::handleCopyRequest(const CopyRequest &Request) const {
  const State &S = *State_;
  const BucketState &Item = S.Buckets_[Request.Bucket_.value() % BucketCount];
  CopyReply Reply;
  Reply.Source_ = S.Self_;
  Reply.Bucket_ = Request.Bucket_;
  Reply.Since_ = Request.Since_;
  // Until it adopts the new view this entry may still reserve keys under the
  // old one, which the copy would lack.
  if (S.View_.Number_ < Request.Since_)
    return Reply;
  if (Item.LastReadyView_.next() < Request.Since_) {
    Reply.Result_ =
        Item.IsReplica_ ? CopyResult::NotReady : CopyResult::Unavailable;
    return Reply;
  }
  Reply.Result_ = CopyResult::Copied;
  Reply.RecordsLostBefore_ = Item.RecordsLostBefore_;
  for (const auto &[Name, Value] : Item.Records_)
    Reply.Records_.push_back({Name, Value});
  return Reply;
}

void ReplicaTable::applyCopyReply(const CopyReply &Reply, TimePoint Now) {
  State &S = *State_;
  BucketState &Item = S.Buckets_[Reply.Bucket_.value() % BucketCount];
  if (!Item.IsReplica_ || Item.Ready_ || Reply.Since_ != Item.CatchUp_.Since_ ||
      !contains(Item.CatchUp_.Sources_, Reply.Source_))
    return;
  if (Reply.Result_ == CopyResult::Unavailable)
    Item.CatchUp_.Unavailable_.insert(Reply.Source_);
  if (Reply.Result_ == CopyResult::Copied) {
    Item.CatchUp_.Copied_.insert(Reply.Source_);
    Item.RecordsLostBefore_ =
        std::max(Item.RecordsLostBefore_, Reply.RecordsLostBefore_);
    for (const NamedRecord &Row : Reply.Records_) {
      const auto [At, Added] =
          Item.Records_.try_emplace(Row.Name_, Row.Record_);
      if (!Added)
        mergeRecord(At->second, Row.Record_);
    }
  }
  S.refreshReadiness(Item, Now);
}

std::uint64_t ReplicaTable::bucketsToCopy() const {
  return std::count_if(
      State_->Buckets_.begin(), State_->Buckets_.end(),
      [](const BucketState &Item) { return Item.IsReplica_ && !Item.Ready_; });
}

void ReplicaTable::tick(TimePoint Now) {
  for (BucketState &Item : State_->Buckets_)
    std::erase_if(Item.Records_, [&](const auto &Row) {
      return Row.second.ForgetAfter_ < Now;
    });
}

ViewNumber ReplicaTable::view() const { return State_->View_.Number_; }

std::size_t ReplicaTable::records() const {
  std::size_t Count = 0;
  for (const BucketState &Item : State_->Buckets_)
    Count += Item.Records_.size();
  return Count;
}

std::size_t ReplicaTable::bucketsWithLostRecords(TimePoint Now) const {
  return std::count_if(State_->Buckets_.begin(), State_->Buckets_.end(),
                       [&](const BucketState &Item) {
                         return Item.IsReplica_ &&
                                Item.RecordsLostBefore_ + KeyWindow > Now;
                       });
}

} // namespace laburnumspread::idempotency
