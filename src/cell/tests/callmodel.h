#pragma once

#include "cell/callreplies.h"
#include "cell/callrules.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <memory>
#include <set>
#include <string>
#include <vector>

// Simulates callers' submissions and cancels, the entries that send them,
// leaders and the journal in virtual time around the real rules (CallReplies,
// CallAttempts, DecidedCalls, callrules.h). Attempts are sent again while
// unanswered; messages and replies are delayed, reordered, lost, or held by a
// relay and delivered to a later leader than the one that was asked. Leaders
// change, and a former one goes on with calls until it learns of its successor;
// the token of a term is raised, and an entry restarts. Each time a leader
// handles a submission it may refuse it. The model checks that under every
// schedule no job is stored, then or later, whose submissions were answered
// with rejections, that no cancel answered as Missing takes effect, and that a
// call is answered as soon as each of its attempts was rejected.

namespace laburnumspread::cell::callmodel {

using namespace std::chrono_literals;
using framework::clock::Duration;
using framework::clock::TimePoint;
using jobs::FencingToken;
using peers::JobCall;
using peers::JobCallKind;
using peers::JobCallStatus;
using peers::JobReply;

constexpr std::size_t EntryCount = 3;
/// Calls are about one of the latest jobs.
constexpr std::size_t RecentJobs = 3;
/// Few, so that calls are forgotten.
constexpr std::size_t RememberedCalls = 2;

/// A caller's request, as the caller sees it.
struct CallRecord {
  JobCallKind Kind_ = JobCallKind::Submit;
  std::string Job_;
  std::optional<JobCallStatus> Answer_;

  bool rejected() const { return Answer_ && peers::isRejection(*Answer_); }
};

/// A call that an entry has not answered.
struct WaitingCall {
  WaitingCall(std::size_t Record, JobCall Call)
      : Record_(Record), Call_(std::move(Call)), Replies_(Call_.Kind_) {}

  std::size_t Record_;
  JobCall Call_;
  CallReplies Replies_;
  /// Attempts with a reply that rejects them.
  std::set<std::uint32_t> Rejected_;
};

struct ModelEntry {
  peers::MemberId Id_;
  std::uint64_t Next_ = 1;
  /// The latest leader known.
  FencingToken Known_;
  std::map<std::uint64_t, WaitingCall> Waiting_;
};

/// An attempt on its way to a leader.
struct CallMessage {
  std::size_t Entry_ = 0;
  std::size_t Record_ = 0;
  JobCall Call_;
};

/// A reply on its way to an entry.
struct ReplyMessage {
  CallMessage To_;
  JobReply Reply_;
};

/// An event and the call that caused it.
struct CausedEvent {
  jobs::Event Event_;
  std::size_t Record_ = 0;
};

struct Journal {
  FencingToken Head_;
  std::vector<CausedEvent> Log_;
};

/// A leader in one term, or an entry that assumes that it leads.
struct ModelLeader {
  explicit ModelLeader(FencingToken Token) : Tokens_{Token, Token} {}

  TermTokens Tokens_;
  jobs::CellTable Table_;
  DecidedCalls Decided_{RememberedCalls};
  std::vector<CausedEvent> Staged_;
  /// Attempts that are answered once everything staged is stored.
  std::vector<CallMessage> Unstored_;
  bool Active_ = true;
};

using LeaderPtr = std::shared_ptr<ModelLeader>;

class Model {
public:
  /// Time passes in units of \p TimeUnit.
  explicit Model(Duration TimeUnit) : TimeUnit_(TimeUnit) {
    for (std::size_t I = 0; I < EntryCount; ++I)
      Entries_[I].Id_ = {fleet::EntryName("e" + std::to_string(I)),
                         fleet::Incarnation(1)};
    changeLeader();
  }

  /// Executes one step of the adversary.
  void step(int Choice, int Detail) {
    const auto Which = static_cast<std::size_t>(Detail);
    switch (Choice) {
    case 0:
    case 1:
      return beginCall(Which, JobCallKind::Submit);
    case 2:
      return beginCall(Which, JobCallKind::Cancel);
    case 3:
    case 4:
    case 5:
      return resend(Which);
    case 6:
    case 7:
    case 8:
      return deliverCall(Which);
    case 9:
    case 10:
    case 11:
      return deliverReply(Which);
    case 12:
      return loseMessage(Which);
    case 13:
      return commit(*someLeader(Which));
    case 14:
      if (Which % 3 == 0)
        changeLeader();
      return;
    case 15:
      return endTerm(*someLeader(Which));
    case 16:
      return raiseToken(Which);
    case 17:
      return learnLeader(Entries_[Which % EntryCount]);
    case 18:
      if (Which % 4 == 0)
        restart(Entries_[Which / 4 % EntryCount]);
      return;
    case 19:
      return giveUp(Which);
    default:
      Now_ += Detail * TimeUnit_;
    }
  }

  /// Delivers everything in transit, then resends each waiting call to the
  /// latest leader, which has to answer it.
  void settle(int Detail) {
    drain(static_cast<std::size_t>(Detail));
    adoptRaisedToken();
    for (ModelEntry &Entry : Entries_) {
      learnLeader(Entry);
      for (auto &[Sequence, Call] : Entry.Waiting_)
        send(Entry, Call);
    }
    drain(static_cast<std::size_t>(Detail));
    for (const ModelEntry &Entry : Entries_)
      RC_ASSERT(Entry.Waiting_.empty());
    checkStored();
  }

  static constexpr int Choices = 21;
  static constexpr int Details = 60;

  /// Calls that were sent more than once and answered.
  std::uint64_t resentCalls() const { return ResentCalls_; }
  /// Calls that were answered with a rejection.
  std::uint64_t rejectedCalls() const { return RejectedCalls_; }
  /// Rejections after which their call waited on.
  std::uint64_t openRejections() const { return OpenRejections_; }
  /// Attempts that were rejected since an earlier one was.
  std::uint64_t repeatedRejections() const { return RepeatedRejections_; }
  /// Attempts that were handled after their call was answered.
  std::uint64_t lateDeliveries() const { return LateDeliveries_; }
  /// Attempts that arrived in another term than the one they were meant for.
  std::uint64_t otherTerms() const { return OtherTerms_; }
  std::uint64_t leaderChanges() const { return LeaderChanges_; }
  std::uint64_t raisedTokens() const { return RaisedTokens_; }
  /// Cancels that were stored although they were answered with a rejection.
  std::uint64_t storedRejectedCancels() const {
    return static_cast<std::uint64_t>(std::count_if(
        Journal_.Log_.begin(), Journal_.Log_.end(),
        [this](const CausedEvent &Item) {
          const CallRecord &Record = Records_[Item.Record_];
          return Record.Kind_ == JobCallKind::Cancel && Record.rejected();
        }));
  }
  std::uint64_t storedEvents() const { return StoredEvents_; }
  /// Events that a former leader staged and that were never stored.
  std::uint64_t lostEvents() const { return LostEvents_; }

private:
  // Entries.

  void beginCall(std::size_t Which, JobCallKind Kind) {
    ModelEntry &Entry = Entries_[Which % EntryCount];
    JobCall Call;
    Call.Kind_ = Kind;
    Call.Job_ = jobFor(Which / EntryCount, Kind);
    Call.Caller_ = Entry.Id_;
    Call.Sequence_ = Entry.Next_++;
    Records_.push_back({Kind, Call.Job_, std::nullopt});
    const auto Added = Entry.Waiting_.emplace(
        Call.Sequence_, WaitingCall(Records_.size() - 1, Call));
    send(Entry, Added.first->second);
  }

  /// Every second submission is of a new job.
  std::string jobFor(std::size_t Which, JobCallKind Kind) {
    const bool New = Kind == JobCallKind::Submit && Which % 2 == 0;
    if (New || Jobs_ == 0)
      return "j" + std::to_string(Jobs_++);
    return "j" +
           std::to_string(Jobs_ - 1 - Which / 2 % std::min(Jobs_, RecentJobs));
  }

  void send(ModelEntry &Entry, WaitingCall &Call) {
    if (Entry.Known_.value() == 0)
      return;
    Call.Call_.Token_ = Entry.Known_.value();
    Call.Call_.Attempt_ = Call.Replies_.sent(Entry.Known_);
    const auto Index = static_cast<std::size_t>(&Entry - Entries_.data());
    Calls_.push_back({Index, Call.Record_, Call.Call_});
  }

  void resend(std::size_t Which) {
    ModelEntry &Entry = Entries_[Which % EntryCount];
    if (Which / EntryCount % 2 == 1)
      learnLeader(Entry);
    if (WaitingCall *const Call = someCall(Entry, Which / EntryCount / 2))
      send(Entry, *Call);
  }

  static WaitingCall *someCall(ModelEntry &Entry, std::size_t Which) {
    if (Entry.Waiting_.empty())
      return nullptr;
    auto Found = Entry.Waiting_.begin();
    std::advance(Found, Which % Entry.Waiting_.size());
    return &Found->second;
  }

  /// The caller waits no longer, or the entry sends no further attempt as the
  /// leader is busy.
  void giveUp(std::size_t Which) {
    ModelEntry &Entry = Entries_[Which % EntryCount];
    WaitingCall *const Call = someCall(Entry, Which / EntryCount);
    if (!Call)
      return;
    if (Which / EntryCount % 2 == 1)
      Call->Replies_.notSent(peers::RefusalReason::LeaderBusy);
    answer(Entry, *Call, Call->Replies_.answerAtDeadline().Status_);
  }

  void answer(ModelEntry &Entry, const WaitingCall &Call,
              JobCallStatus Status) {
    CallRecord &Record = Records_[Call.Record_];
    Record.Answer_ = Status;
    ResentCalls_ += Call.Replies_.attempts().count() > 1;
    RejectedCalls_ += Record.rejected();
    Entry.Waiting_.erase(Call.Call_.Sequence_);
    checkStored();
  }

  /// The callers of a process that has ended get no answer.
  static void restart(ModelEntry &Entry) {
    Entry.Id_.Incarnation_ =
        fleet::Incarnation(Entry.Id_.Incarnation_.value() + 1);
    Entry.Next_ = 1;
    Entry.Waiting_.clear();
  }

  void learnLeader(ModelEntry &Entry) const { Entry.Known_ = Journal_.Head_; }

  // Messages.

  void deliverCall(std::size_t Which) {
    if (Calls_.empty())
      return;
    const CallMessage Item = take(Calls_, Which);
    const std::size_t Asked = indexOfLeader(FencingToken(Item.Call_.Token_));
    const std::size_t Later =
        Which % 2 == 0 ? 0 : Which / 2 % (Leaders_.size() - Asked);
    LateDeliveries_ += Records_[Item.Record_].Answer_.has_value();
    handle(*Leaders_[Asked + Later], Item, Which);
  }

  /// The leader with the token, also if it was raised since.
  std::size_t indexOfLeader(FencingToken Token) const {
    std::size_t Result = 0;
    for (std::size_t I = 0; I < Leaders_.size(); ++I)
      if (Leaders_[I]->Tokens_.First_ <= Token)
        Result = I;
    return Result;
  }

  void deliverReply(std::size_t Which) {
    if (Replies_.empty())
      return;
    const ReplyMessage Item = take(Replies_, Which);
    ModelEntry &Entry = Entries_[Item.To_.Entry_];
    if (Item.Reply_.Leader_)
      Entry.Known_ =
          std::max(Entry.Known_, FencingToken(Item.Reply_.Leader_->Token_));
    // Messages for an earlier incarnation are dropped.
    const auto Found = Entry.Waiting_.find(Item.Reply_.Sequence_);
    if (Item.To_.Call_.Caller_ == Entry.Id_ && Found != Entry.Waiting_.end())
      evaluate(Entry, Found->second, Item.Reply_);
  }

  void evaluate(ModelEntry &Entry, WaitingCall &Call, const JobReply &Reply) {
    Call.Replies_.add(Reply);
    const bool Rejection = peers::isRejection(Reply.Status_);
    if (Rejection)
      Call.Rejected_.insert(Reply.Attempt_);
    if (Call.Replies_.answer())
      return answer(Entry, Call, Call.Replies_.answer()->Status_);
    OpenRejections_ += Rejection;
    RC_ASSERT(Call.Rejected_.size() < Call.Replies_.attempts().count());
  }

  void loseMessage(std::size_t Which) {
    if (Which % 2 == 0 && !Calls_.empty())
      take(Calls_, Which / 2);
    else if (Which % 2 == 1 && !Replies_.empty())
      take(Replies_, Which / 2);
  }

  template <typename Message>
  static Message take(std::vector<Message> &From, std::size_t Which) {
    const auto Found =
        From.begin() + static_cast<std::ptrdiff_t>(Which % From.size());
    Message Result = std::move(*Found);
    From.erase(Found);
    return Result;
  }

  /// Delivers everything in transit, and lets all leaders commit.
  void drain(std::size_t Which) {
    while (!Calls_.empty() || !Replies_.empty() || !allStored()) {
      deliverCall(Which);
      for (const LeaderPtr &Leader : Leaders_)
        commit(*Leader);
      deliverReply(Which);
    }
  }

  bool allStored() const {
    return std::all_of(
        Leaders_.begin(), Leaders_.end(),
        [](const LeaderPtr &Leader) { return Leader->Unstored_.empty(); });
  }

  void reply(const CallMessage &To, JobReply Reply) {
    Reply.Sequence_ = To.Call_.Sequence_;
    Reply.Attempt_ = To.Call_.Attempt_;
    Replies_.push_back({To, Reply});
  }

  void reply(const CallMessage &To, JobCallStatus Status) {
    JobReply Reply;
    Reply.Status_ = Status;
    reply(To, Reply);
  }

  // Leaders.

  /// As CellService::handle. \p Verdict decides whether the configuration is
  /// newer and whether the job is refused.
  void handle(ModelLeader &Leader, const CallMessage &Item,
              std::size_t Verdict) {
    const bool Other = isForAnotherTerm(Item.Call_, Leader.Tokens_);
    OtherTerms_ += Other;
    if (!Leader.Active_ || Other)
      return replyNotLeader(Item);
    if (const auto Before =
            earlierReply(Item.Call_, Leader.Decided_, Leader.Table_)) {
      if (Before->Status_ == JobCallStatus::Ok)
        return reply(Item, *Before);
      ++RepeatedRejections_;
      return reject(Leader, Item, *Before);
    }
    const bool Newer = Verdict % 7 == 0;
    if (Newer && !isInEffect(Item.Call_, Leader.Table_))
      return reject(Leader, Item, JobCallStatus::UnknownKey);
    if (Item.Call_.Kind_ == JobCallKind::Submit)
      return submit(Leader, Item, Verdict % 5 < 2);
    cancel(Leader, Item);
  }

  void submit(ModelLeader &Leader, const CallMessage &Item, bool Refused) {
    const jobs::JobId Job(Item.Call_.Job_);
    if (Leader.Table_.find(Job))
      return answerWhenStored(Leader, Item);
    if (Refused)
      return reject(Leader, Item, JobCallStatus::Refused);
    jobs::JobAccepted Accepted;
    Accepted.Spec_.Id_ = Job;
    Accepted.Spec_.Steps_.emplace_back();
    stage(Leader, Item, Accepted);
  }

  void cancel(ModelLeader &Leader, const CallMessage &Item) {
    const jobs::JobId Id(Item.Call_.Job_);
    const jobs::JobRow *Job = Leader.Table_.find(Id);
    if (!Job)
      return reject(Leader, Item, JobCallStatus::Missing);
    if (Job->ended())
      return answerWhenStored(Leader, Item);
    stage(Leader, Item, jobs::JobCancelled{Id});
  }

  void stage(ModelLeader &Leader, const CallMessage &Item,
             const jobs::Event &Event) {
    Leader.Table_.apply(Event, Now_);
    Leader.Staged_.push_back({Event, Item.Record_});
    answerWhenStored(Leader, Item);
  }

  void answerWhenStored(ModelLeader &Leader, const CallMessage &Item) {
    recordAcceptance(Item.Call_, Leader.Decided_, Now_);
    if (Leader.Staged_.empty())
      return reply(Item, JobCallStatus::Ok);
    Leader.Unstored_.push_back(Item);
  }

  void reject(ModelLeader &Leader, const CallMessage &Item,
              const JobReply &Rejection) {
    reply(Item, recordRejection(Item.Call_, Rejection, Leader.Tokens_.Latest_,
                                Leader.Decided_, Now_));
  }

  void reject(ModelLeader &Leader, const CallMessage &Item,
              JobCallStatus Status) {
    JobReply Rejection;
    Rejection.Status_ = Status;
    reject(Leader, Item, Rejection);
  }

  void replyNotLeader(const CallMessage &Item) {
    JobReply Reply;
    Reply.Status_ = JobCallStatus::NotLeader;
    Reply.Leader_.emplace().Token_ = Leaders_.back()->Tokens_.Latest_.value();
    reply(Item, Reply);
  }

  /// Writes what is staged. The store rejects the write of a leader whose token
  /// is not that of the head; the leader has lost its term then, unless it has
  /// not learned that the token was raised.
  void commit(ModelLeader &Leader) {
    if (!Leader.Active_ || Leader.Staged_.empty())
      return;
    if (&Leader == Leaders_.back().get())
      adoptRaisedToken();
    if (Journal_.Head_ != Leader.Tokens_.Latest_)
      return endTerm(Leader);
    StoredEvents_ += Leader.Staged_.size();
    Journal_.Log_.insert(Journal_.Log_.end(), Leader.Staged_.begin(),
                         Leader.Staged_.end());
    Leader.Staged_.clear();
    answerAll(Leader, JobCallStatus::Ok);
    checkStored();
  }

  void answerAll(ModelLeader &Leader, JobCallStatus Status) {
    for (const CallMessage &Item : std::exchange(Leader.Unstored_, {}))
      reply(Item, Status);
  }

  /// A former leader learns that its term has ended.
  void endTerm(ModelLeader &Leader) {
    if (&Leader == Leaders_.back().get())
      return;
    Leader.Active_ = false;
    LostEvents_ += Leader.Staged_.size();
    Leader.Staged_.clear();
    answerAll(Leader, JobCallStatus::Unknown);
  }

  void changeLeader() {
    LeaderChanges_ += !Leaders_.empty();
    Journal_.Head_ = FencingToken(++Revision_);
    Leaders_.push_back(std::make_shared<ModelLeader>(Journal_.Head_));
    for (const CausedEvent &Item : Journal_.Log_)
      Leaders_.back()->Table_.apply(Item.Event_, Now_);
  }

  /// The head is written first; entries may learn of the new token before the
  /// leader does.
  void raiseToken(std::size_t Which) {
    if (Which % 3 == 0)
      return adoptRaisedToken();
    Journal_.Head_ = FencingToken(++Revision_);
    ++RaisedTokens_;
    if (Which % 3 == 1)
      adoptRaisedToken();
  }

  void adoptRaisedToken() { Leaders_.back()->Tokens_.Latest_ = Journal_.Head_; }

  /// Half of the time the latest leader.
  const LeaderPtr &someLeader(std::size_t Which) const {
    return Which % 2 == 0 ? Leaders_.back()
                          : Leaders_[Which / 2 % Leaders_.size()];
  }

  /// No job was stored for a call that was answered with a rejection, and no
  /// cancel that was answered as Missing.
  void checkStored() const {
    for (const CausedEvent &Item : Journal_.Log_) {
      const CallRecord &Record = Records_[Item.Record_];
      RC_ASSERT(!Record.rejected() ||
                (Record.Kind_ == JobCallKind::Cancel &&
                 Record.Answer_ != JobCallStatus::Missing));
    }
  }

  Duration TimeUnit_;
  TimePoint Now_{std::chrono::hours(1)};
  std::uint64_t Revision_ = 0;
  std::size_t Jobs_ = 0;
  Journal Journal_;
  std::array<ModelEntry, EntryCount> Entries_;
  std::vector<CallRecord> Records_;
  std::vector<LeaderPtr> Leaders_;
  std::vector<CallMessage> Calls_;
  std::vector<ReplyMessage> Replies_;
  std::uint64_t ResentCalls_ = 0;
  std::uint64_t RejectedCalls_ = 0;
  std::uint64_t OpenRejections_ = 0;
  std::uint64_t RepeatedRejections_ = 0;
  std::uint64_t LateDeliveries_ = 0;
  std::uint64_t OtherTerms_ = 0;
  std::uint64_t LeaderChanges_ = 0;
  std::uint64_t RaisedTokens_ = 0;
  std::uint64_t StoredEvents_ = 0;
  std::uint64_t LostEvents_ = 0;
};

} // namespace laburnumspread::cell::callmodel
