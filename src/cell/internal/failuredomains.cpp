#include "cell/failuredomains.h"

#include <map>

#include <absl/container/flat_hash_map.h>

namespace laburnumspread::cell {

namespace {

/// Fewer silent workers than this are not taken for a failed domain, because
/// replies are lost one by one as well.
constexpr std::size_t MinSilentWorkers = 3;
/// A reply within this time counts as current: a worker in use is polled at
/// least once in it.
constexpr Duration CurrentReplyAge = std::chrono::milliseconds(1200);

/// Numbers of workers of a domain, as their latest polls went.
struct PollTally {
  std::size_t Silent_ = 0;
  std::size_t Replying_ = 0;

  void add(bool Silent) { ++(Silent ? Silent_ : Replying_); }
  /// Whether at least half of the polled workers are silent, and most of the
  /// others of \p All reply. If most are silent everywhere, this process reads
  /// replies late or is cut off, and polling all workers would only add to it.
  bool failed(const PollTally &All) const {
    const std::size_t SilentElsewhere = All.Silent_ - Silent_;
    const std::size_t ReplyingElsewhere = All.Replying_ - Replying_;
    return Silent_ >= MinSilentWorkers && Silent_ >= Replying_ &&
           ReplyingElsewhere > SilentElsewhere;
  }
};

/// The workers with a common label. Only those of one zone fail together: a
/// label that is found in several zones tells what the workers are, not where.
struct LabelTally {
  PollTally Polls_;
  ZoneName Zone_;
  bool SeveralZones_ = false;

  void addZone(const ZoneName &Zone) {
    SeveralZones_ = SeveralZones_ || (!Zone_.empty() && Zone_ != Zone);
    Zone_ = Zone;
  }
  bool failed(const PollTally &All) const {
    return !SeveralZones_ && Polls_.failed(All);
  }
};

/// Whether a poll of the worker stayed unanswered. A suspect worker that has
/// not been polled yet says nothing about its domain.
bool isSilent(const WorkerRow &Row) {
  return Row.Unanswered_ > 0 && !Row.Suspect_;
}

/// Whether a silence of the worker would be unexpected.
bool isExpectedToReply(const WorkerRow &Row) {
  return Row.Listed_ && !Row.Ended_ && !Row.Record_.Draining_;
}

bool repliedRecently(const WorkerRow &Row, TimePoint Now) {
  return Now - Row.AnsweredAt_ < CurrentReplyAge;
}

class DomainTallies {
public:
  DomainTallies(const WorkerTable &Workers, TimePoint Now) {
    for (const auto &[Incarnation, Row] : Workers)
      if (isExpectedToReply(*Row))
        add(*Row, Now);
  }

  /// Whether a domain of the worker has failed.
  bool inFailedDomain(const WorkerRecord &Worker) const {
    if (const auto Found = Zones_.find(Worker.Zone_);
        Found != Zones_.end() && Found->second.failed(All_))
      return true;
    for (const jobs::Label &Item : Worker.Labels_)
      if (const auto Found = Labels_.find(Item);
          Found != Labels_.end() && Found->second.failed(All_))
        return true;
    return false;
  }

private:
  void add(const WorkerRow &Row, TimePoint Now) {
    const bool Silent = isSilent(Row);
    const bool Polled = Silent || repliedRecently(Row, Now);
    if (Polled) {
      All_.add(Silent);
      Zones_[Row.Record_.Zone_].add(Silent);
    }
    for (const jobs::Label &Item : Row.Record_.Labels_) {
      LabelTally &Tally = Labels_[Item];
      Tally.addZone(Row.Record_.Zone_);
      if (Polled)
        Tally.Polls_.add(Silent);
    }
  }

  PollTally All_;
  std::map<ZoneName, PollTally> Zones_;
  absl::flat_hash_map<jobs::Label, LabelTally> Labels_;
};

std::size_t countSilent(const WorkerTable &Workers) {
  std::size_t Count = 0;
  for (const auto &[Incarnation, Row] : Workers)
    Count += isExpectedToReply(*Row) && isSilent(*Row);
  return Count;
}

} // namespace

std::vector<WorkerRowPtr> findUnverifiedWorkers(const WorkerTable &Workers,
                                                TimePoint Now) {
  std::vector<WorkerRowPtr> Result;
  if (countSilent(Workers) < MinSilentWorkers)
    return Result;
  const DomainTallies Domains(Workers, Now);
  for (const auto &[Incarnation, Row] : Workers)
    if (!Row->HasSession_ && Row->acceptsTasks() &&
        !repliedRecently(*Row, Now) && Domains.inFailedDomain(Row->Record_))
      Result.push_back(Row);
  return Result;
}

} // namespace laburnumspread::cell
