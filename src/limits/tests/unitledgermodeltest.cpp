#include "limits/unitledger.h"

#include "framework/clock/clock.h"
#include "membership/viewchanges.h"

#include <deque>
#include <map>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace laburnumspread::limits;
using namespace laburnumspread::membership;
using namespace std::chrono_literals;

// Model test of several entries. Messages are lost, duplicated, delayed and
// reordered; entries pause, crash, join and leave; the limit changes. After
// each step no unit may be held by two pieces of running work, including work
// on the endpoints of a crashed entry whose task lease has not expired.

namespace {

const SubjectName Team("team/orders");
constexpr auto TaskLease = 10s;
constexpr std::size_t StepsPerRun = 400;

struct Running {
  Permit Permit_;
  TimePoint EndsBy_{};
};

struct Entry {
  explicit Entry(Member Self) : Self_(std::move(Self)), Ledger_(Self_.Id_) {}
  Member Self_;
  UnitLedger Ledger_;
  std::vector<Running> Work_;
  bool Paused_ = false;
};

struct Message {
  MemberId To_;
  std::optional<ReleaseStatement> Statement_;
  std::optional<Loan> Loan_;
  std::optional<LoanId> Return_;
};

/// The model: the store with one view, an unreliable network, the entries and
/// their endpoints.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Random_(Seed) {
    View_.Number_ = View_.SettledThrough_ = ViewNumber(1);
    for (int I = 0; I < 3; ++I) {
      addEntry();
      View_.Members_.push_back(Entries_.back()->Self_);
    }
    for (auto &Item : Entries_)
      Item->Ledger_.adoptView(View_, Now_);
  }

  void step() {
    switch (below(24)) {
    case 0:
      return join();
    case 1:
      return leave();
    case 2:
      return kill();
    case 3:
      return settle();
    case 4:
      Limit_ = 1 + below(6);
      return;
    case 5:
      Now_ += std::chrono::milliseconds(below(6000));
      return;
    case 6:
      if (Entry *One = anyEntry())
        One->Paused_ = !One->Paused_;
      return;
    default:
      if (Entry *One = anyEntry(); One && !One->Paused_)
        act(*One);
    }
  }

  /// Whether no unit is held twice.
  bool holdsInvariant() const {
    std::set<std::uint32_t> Held;
    auto Add = [&](const Running &Item) {
      return Item.EndsBy_ <= Now_ ||
             Held.insert(Item.Permit_.Unit_.value()).second;
    };
    for (const auto &Item : Entries_)
      for (const Running &Work : Item->Work_)
        if (!Add(Work))
          return false;
    for (const Running &Work : RunningAtCrashed_)
      if (!Add(Work))
        return false;
    return true;
  }

private:
  std::size_t below(std::size_t Bound) { return Random_() % Bound; }

  Entry *anyEntry() {
    return Entries_.empty() ? nullptr : Entries_[below(Entries_.size())].get();
  }

  void addEntry() {
    Member Self;
    Self.Id_ = {EntryName("e" + std::to_string(NextName_)),
                Incarnation(++NextName_)};
    Self.Zone_ = ZoneName("z" + std::to_string(NextName_ % 3));
    Entries_.push_back(std::make_unique<Entry>(Self));
    Entries_.back()->Ledger_.setLimit(Team, Limit_);
  }

  void join() {
    if (Entries_.size() >= 5)
      return;
    addEntry();
    const absl::StatusOr<View> Next = withJoined(View_, Entries_.back()->Self_);
    if (Next.ok())
      View_ = *Next;
  }

  void leave() {
    Entry *One = anyEntry();
    if (!One)
      return;
    const absl::StatusOr<View> Next = withLeaving(View_, One->Self_.Id_);
    if (Next.ok() && Next->owners().size() > 0)
      View_ = *Next;
  }

  /// Crashes an entry. Its endpoints keep running work until the task leases
  /// expire.
  void kill() {
    if (Entries_.size() < 2)
      return;
    const std::size_t At = below(Entries_.size());
    Entry &Crashed = *Entries_[At];
    RunningAtCrashed_.insert(RunningAtCrashed_.end(), Crashed.Work_.begin(),
                             Crashed.Work_.end());
    const absl::StatusOr<View> Next = withRemoved(
        View_, Crashed.Self_.Id_,
        Now_ + TaskLease + laburnumspread::framework::clock::ClockSkewMargin);
    if (Next.ok())
      View_ = *Next;
    Entries_.erase(Entries_.begin() + At);
  }

  void settle() {
    std::vector<MemberProgress> Progress;
    for (const auto &Item : Entries_)
      Progress.push_back({Item->Self_.Id_, Item->Ledger_.view(),
                          Item->Ledger_.releaseStatement().StillHeld_.size(),
                          0});
    if (canSettle(View_, Progress, Now_))
      View_ = asSettled(View_);
  }

  void act(Entry &One) {
    One.Ledger_.tick(Now_);
    switch (below(7)) {
    case 0:
      return One.Ledger_.adoptView(View_, Now_);
    case 1:
      One.Ledger_.setLimit(Team, Limit_);
      return;
    case 2:
    case 3:
      return start(One);
    case 4:
      return finish(One);
    case 5:
      return send(One);
    default:
      return deliver();
    }
  }

  void start(Entry &One) {
    const TimePoint Until =
        Now_ + std::chrono::milliseconds(1 + below(TaskLease / 1ms - 1));
    const SubjectIndex Index = *One.Ledger_.find(Team);
    if (auto Acquired = One.Ledger_.acquire(Index, Until, Now_))
      One.Work_.push_back({*Acquired, Until});
  }

  void finish(Entry &One) {
    if (One.Work_.empty())
      return;
    const std::size_t At = below(One.Work_.size());
    One.Ledger_.release(One.Work_[At].Permit_);
    One.Work_.erase(One.Work_.begin() + At);
  }

  void send(Entry &One) {
    const std::size_t To = below(Entries_.size());
    Message Outgoing;
    Outgoing.To_ = Entries_[To]->Self_.Id_;
    switch (below(3)) {
    case 0:
      Outgoing.Statement_ = One.Ledger_.releaseStatement();
      break;
    case 1: {
      const auto Loans =
          One.Ledger_.lend(*One.Ledger_.find(Team), Entries_[To]->Self_.Id_, 1,
                           Now_ + std::chrono::seconds(1 + below(9)));
      if (Loans.empty())
        return;
      Outgoing.Loan_ = Loans[0];
      break;
    }
    default:
      for (const LoanId &Id : One.Ledger_.removeIdleLoans(Now_))
        Network_.push_back({Id.Lender_, {}, {}, Id});
      return;
    }
    Network_.push_back(std::move(Outgoing));
  }

  /// Delivers a random message. One in three stays in the network and may be
  /// delivered again.
  void deliver() {
    if (Network_.empty())
      return;
    const std::size_t At = below(Network_.size());
    const Message Item = Network_[At];
    if (below(3) != 0)
      Network_.erase(Network_.begin() + At);
    const auto To =
        std::find_if(Entries_.begin(), Entries_.end(), [&](const auto &One) {
          return One->Self_.Id_ == Item.To_;
        });
    if (To == Entries_.end() || (*To)->Paused_)
      return;
    UnitLedger &Ledger = (*To)->Ledger_;
    if (Item.Statement_)
      Ledger.applyReleaseStatement(*Item.Statement_);
    if (Item.Loan_)
      Ledger.acceptLoan(*Item.Loan_, Now_);
    if (Item.Return_)
      Ledger.acceptReturn(*Item.Return_);
  }

  std::mt19937_64 Random_;
  TimePoint Now_{1000h};
  View View_;
  std::uint32_t Limit_ = 4;
  std::uint64_t NextName_ = 0;
  std::vector<std::unique_ptr<Entry>> Entries_;
  std::vector<Running> RunningAtCrashed_;
  std::deque<Message> Network_;
};

} // namespace

BOOST_AUTO_TEST_CASE(NoUnitIsEverHeldTwice) {
  const bool Holds = rc::check("no unit is held twice", [] {
    Fleet Model(*rc::gen::arbitrary<std::uint64_t>());
    for (std::size_t Step = 0; Step < StepsPerRun; ++Step) {
      Model.step();
      RC_ASSERT(Model.holdsInvariant());
    }
  });
  BOOST_TEST(Holds);
}
