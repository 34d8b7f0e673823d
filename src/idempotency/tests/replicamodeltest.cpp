#include "idempotency/replicatable.h"

#include "idempotency/reservationtally.h"
#include "membership/viewchanges.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace laburnumspread::idempotency;
using namespace laburnumspread::membership;
using namespace std::chrono_literals;

// Model test of several entries. Callers repeat a few keys at any entry while
// messages are lost, duplicated, delayed and reordered, and entries pause,
// crash, join and leave. No key may be dispatched twice.

namespace {

constexpr std::size_t StepsPerRun = 500;
constexpr std::size_t KeysInUse = 3;

struct Attempt {
  RecordName Name_;
  AttemptId Id_;
  ReservationTally Tally_;
  bool Ended_ = false;
};

struct Entry {
  explicit Entry(Member Self)
      : Self_(std::move(Self)),
        Replicas_(std::make_unique<ReplicaTable>(Self_.Id_)) {}
  Member Self_;
  View View_;
  std::unique_ptr<ReplicaTable> Replicas_;
  std::vector<Attempt> Attempts_;
  bool Paused_ = false;
};

struct Message {
  MemberId To_;
  std::optional<ReserveRequest> Reserve_;
  std::optional<ReserveReply> Reply_;
  std::optional<CopyRequest> Copy_;
  std::optional<CopyReply> Copied_;
  std::optional<RecordName> AbandonName_;
  AttemptId Abandon_;
};

class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Random_(Seed) {
    View_.Number_ = View_.SettledThrough_ = ViewNumber(1);
    for (int I = 0; I < 4; ++I) {
      addEntry();
      View_.Members_.push_back(Entries_.back()->Self_);
    }
    for (auto &Item : Entries_)
      adopt(*Item);
  }

  void step() {
    switch (below(40)) {
    case 0:
      return join();
    case 1:
      return leave();
    case 2:
      return kill();
    case 3:
    case 4:
      return settle();
    case 5:
      Now_ += std::chrono::milliseconds(below(3000));
      return;
    case 6:
      anyEntry().Paused_ ^= true;
      return;
    default:
      act(anyEntry());
    }
  }

  bool holdsInvariant() const { return !DispatchedTwice_; }
  std::size_t dispatched() const { return Dispatched_.size(); }

private:
  std::size_t below(std::size_t Bound) { return Random_() % Bound; }
  Entry &anyEntry() { return *Entries_[below(Entries_.size())]; }

  void addEntry() {
    Member Self;
    Self.Id_ = {EntryName("e" + std::to_string(NextName_)),
                Incarnation(NextName_ + 1)};
    Self.Zone_ = ZoneName("z" + std::to_string(NextName_ % 4));
    ++NextName_;
    Entries_.push_back(std::make_unique<Entry>(Self));
  }

  void adopt(Entry &One) {
    One.View_ = View_;
    One.Replicas_->adoptView(View_, Now_);
  }

  void join() {
    if (Entries_.size() >= 6)
      return;
    addEntry();
    const absl::StatusOr<View> Next = withJoined(View_, Entries_.back()->Self_);
    if (Next.ok())
      View_ = *Next;
    else
      Entries_.pop_back();
  }

  void leave() {
    const absl::StatusOr<View> Next = withLeaving(View_, anyEntry().Self_.Id_);
    if (Next.ok() && !Next->owners().empty())
      View_ = *Next;
  }

  void kill() {
    if (Entries_.size() < 3)
      return;
    const std::size_t At = below(Entries_.size());
    const absl::StatusOr<View> Next =
        withRemoved(View_, Entries_[At]->Self_.Id_, Now_);
    if (!Next.ok() || Next->owners().empty())
      return;
    View_ = *Next;
    Entries_.erase(Entries_.begin() + At);
  }

  void settle() {
    std::vector<MemberProgress> Progress;
    for (const auto &Item : Entries_)
      Progress.push_back({Item->Self_.Id_, Item->Replicas_->view(), 0,
                          Item->Replicas_->bucketsToCopy()});
    if (canSettle(View_, Progress, Now_))
      View_ = asSettled(View_);
  }

  void act(Entry &One) {
    if (One.Paused_)
      return;
    switch (below(8)) {
    case 0:
      return adopt(One);
    case 1:
      return submit(One);
    case 2:
      return askForCopies(One);
    case 3:
      return decide(One, true);
    default:
      return deliver();
    }
  }

  void submit(Entry &One) {
    // The key contains its phase, since its creation time is the phase's start.
    const auto Phase = (Now_ - Start_) / 2s;
    ReserveRequest Request;
    Request.Name_ = RecordName("t/" + std::to_string(Phase) + "-" +
                               std::to_string(below(KeysInUse)));
    Request.MintedAt_ = Start_ + Phase * 2s;
    Request.Attempt_ = {One.Self_.Id_, ++NextAttempt_};
    Request.View_ = One.View_.Number_;
    Request.LeaseUntil_ = Now_ + 5s;
    const auto Replicas = replicasOf(One.View_, bucketOf(Request.Name_));
    One.Attempts_.push_back({Request.Name_, Request.Attempt_,
                             ReservationTally(Request.Attempt_, Replicas)});
    for (const MemberId &Replica : Replicas) {
      Message Outgoing;
      Outgoing.To_ = Replica;
      Outgoing.Reserve_ = Request;
      Network_.push_back(std::move(Outgoing));
    }
  }

  void askForCopies(Entry &One) {
    for (const CopyRequest &Missing : One.Replicas_->missingCopies()) {
      if (below(4) == 0)
        continue;
      Message Outgoing;
      Outgoing.To_ = Missing.Source_;
      Outgoing.Copy_ = Missing;
      Copies_.push_back(std::move(Outgoing));
    }
    // Copies use a separate queue, so that their number does not prevent
    // reservations from arriving.
    while (!Copies_.empty()) {
      const Message Item = Copies_.front();
      Copies_.pop_front();
      if (below(5) != 0)
        handle(Item);
    }
  }

  void decide(Entry &One, bool Final) {
    for (Attempt &Item : One.Attempts_) {
      if (Item.Ended_)
        continue;
      const ReservationOutcome Outcome =
          Item.Tally_.outcome(Final && below(2) == 0);
      if (Outcome == ReservationOutcome::Pending)
        continue;
      Item.Ended_ = true;
      if (Outcome == ReservationOutcome::Granted) {
        DispatchedTwice_ |= !Dispatched_.insert(Item.Name_).second;
        continue;
      }
      for (const MemberId &Replica :
           replicasOf(One.View_, bucketOf(Item.Name_))) {
        Message Outgoing;
        Outgoing.To_ = Replica;
        Outgoing.AbandonName_ = Item.Name_;
        Outgoing.Abandon_ = Item.Id_;
        Network_.push_back(std::move(Outgoing));
      }
    }
  }

  void deliver() {
    if (Network_.empty())
      return;
    const std::size_t At = below(Network_.size());
    const Message Item = Network_[At];
    if (below(4) != 0)
      Network_.erase(Network_.begin() + At);
    if (below(8) != 0)
      handle(Item);
  }

  void handle(const Message &Item) {
    const auto At =
        std::find_if(Entries_.begin(), Entries_.end(), [&](const auto &One) {
          return One->Self_.Id_ == Item.To_;
        });
    if (At == Entries_.end() || (*At)->Paused_)
      return;
    Entry &To = **At;
    if (Item.Reserve_) {
      Message Outgoing;
      Outgoing.To_ = Item.Reserve_->Attempt_.Entry_;
      Outgoing.Reply_ = To.Replicas_->reserve(*Item.Reserve_, Now_);
      Network_.push_back(std::move(Outgoing));
    }
    if (Item.Reply_)
      for (Attempt &One : To.Attempts_)
        One.Tally_.add(*Item.Reply_);
    if (Item.Copy_) {
      Message Outgoing;
      Outgoing.To_ = Item.Copy_->From_;
      Outgoing.Copied_ = To.Replicas_->handleCopyRequest(*Item.Copy_);
      Copies_.push_back(std::move(Outgoing));
    }
    if (Item.Copied_)
      To.Replicas_->applyCopyReply(*Item.Copied_, Now_);
    if (Item.AbandonName_)
      To.Replicas_->abandon(*Item.AbandonName_, Item.Abandon_);
  }

  const TimePoint Start_{1000h};
  TimePoint Now_ = Start_;
  std::mt19937_64 Random_;
  View View_;
  std::uint64_t NextName_ = 0;
  std::uint64_t NextAttempt_ = 0;
  std::vector<std::unique_ptr<Entry>> Entries_;
  std::deque<Message> Network_;
  std::deque<Message> Copies_;
  std::set<RecordName> Dispatched_;
  bool DispatchedTwice_ = false;
};

} // namespace

BOOST_AUTO_TEST_CASE(NoKeyIsEverDispatchedTwice) {
  std::size_t Dispatched = 0;
  const bool Holds = rc::check("no key is dispatched twice", [&] {
    Fleet Model(*rc::gen::arbitrary<std::uint64_t>());
    for (std::size_t Step = 0; Step < StepsPerRun; ++Step) {
      Model.step();
      RC_ASSERT(Model.holdsInvariant());
    }
    Dispatched += Model.dispatched();
  });
  BOOST_TEST(Holds);
  // Checks that the model dispatches requests at all.
  BOOST_TEST(Dispatched > 100u);
}
