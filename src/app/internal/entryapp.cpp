#include "app/entryapp.h"

#include "api/httpapi.h"
#include "entry/plannerservice.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/http/httpserver.h"

#include <boost/json/object.hpp>
#include <malloc.h>

namespace laburnumspread::app {

using entry::EntrySettings;
using entry::EntryState;
using framework::fibers::sleepFor;
using namespace std::chrono_literals;

namespace {

/// Time for requests in flight to complete during shutdown.
constexpr auto DrainTimeout = membership::MaxTaskLease;
constexpr auto HandoverTimeout = 20s;
constexpr auto PollInterval = 20ms;
constexpr auto HeapTrimInterval = 5s;
constexpr std::size_t HeapTrimThreshold = 1024 * 1024;

membership::Member makeMember(const EntrySettings &Settings) {
  membership::Member Self;
  Self.Id_ = {Settings.Name_, fleet::Incarnation(framework::clock::toMicros(
                                  framework::clock::SystemClock().now()))};
  Self.Vm_ = Settings.Vm_;
  Self.Zone_ = Settings.Zone_;
  return Self;
}

/// Applies a configuration change to the endpoints, limits and decision log.
void applyChange(EntryState &State, const config::Change &Item) {
  const auto &Tables = State.Config_.tables();
  const bool Deleted = Item.Type_ == config::ChangeType::Deleted;
  if (Item.Kind_ == fleet::Kind::Teams) {
    const auto *Team = Tables.find<fleet::Team>(Item.Name_);
    State.Ledger_.setLimit(entry::teamSubject(Item.Name_),
                           Team ? Team->Spec_.Limit_ : 0);
  }
  if (Item.Kind_ == fleet::Kind::Vms) {
    const auto *Vm = Tables.find<fleet::Vm>(Item.Name_);
    const auto Slots = State.Ledger_.setLimit(
        entry::slotsSubject(Item.Name_), Vm ? Vm->Spec_.Slots_.value() : 0);
    if (Vm)
      State.Endpoints_.addOrUpdate(*Vm, Slots);
    else
      State.Endpoints_.remove(fleet::VmName(Item.Name_));
  }
  if (Item.Kind_ == fleet::Kind::Keys)
    State.Decisions_.add(Deleted ? entry::DecisionKind::Withdrawal
                                 : entry::DecisionKind::Grant,
                         Item.Name_, Deleted ? "withdrawn" : "granted",
                         "revision " + std::to_string(Item.Revision_.value()));
}

} // namespace

struct EntryApp::Impl {
  Impl(boost::asio::io_context &Io, EntrySettings Settings)
      : Io_(Io), State_(Settings, makeMember(Settings)),
        Store_(Io, Settings.StoreEndpoints_),
        Writer_(Store_, Settings.StorePrefix_), Config_(State_, Store_),
        Membership_(State_, Store_, Config_),
        Planner_(Io, State_, Store_, Writer_, Config_, Membership_),
        Placements_(State_), Reservations_(State_), Forward_(Io, State_),
        Runner_(State_, Placements_, Reservations_, Forward_),
        Mesh_(Io, State_.Self_.Id_, Settings.PeerKeys_,
              [this](const peers::Sender &From, peers::Message &&Body) {
                receive(From, std::move(Body));
              }),
        Context_{State_,
                 Writer_,
                 Config_,
                 Membership_,
                 Placements_,
                 Runner_,
                 [this](boost::json::object &Into) { addToDump(Into); }},
        Api_(Context_),
        Server_(
            Io, Settings.HttpLimits_,
            [this](framework::http::Exchange &Call) { Api_.handle(Call); },
            api::errorResponse) {
    State_.Send_ = [this](const membership::MemberId &To,
                          const peers::Message &Body) { send(To, Body); };
    Config_.onChanges([this](const std::vector<config::Change> &Changes) {
      for (const config::Change &Item : Changes)
        applyChange(State_, Item);
      Placements_.refresh();
      Api_.notifyWatchers();
    });
    Config_.onView([this](const membership::View &Next) {
      Membership_.adopt(Next);
      Placements_.refresh();
    });
  }

  /// Returns an entry's address from the view, or else the one that it sent;
  /// empty if unknown. Names that start with '@' are seeds, of which only the
  /// address is known.
  std::string addressOf(const membership::MemberId &To) const {
    if (To.Name_.str().starts_with('@'))
      return To.Name_.str().substr(1);
    if (const auto *Member = State_.View_.find(To))
      return Member->PeerAddress_;
    const auto Row = State_.Peers_.find(To);
    return Row == State_.Peers_.end() ? "" : Row->second.Address_;
  }

  void send(const membership::MemberId &To, const peers::Message &Body) {
    const std::string Address = addressOf(To);
    if (Address.empty() || (PeerAllowed_ && !PeerAllowed_(To.Name_)))
      return;
    const bool Seed = To.Name_.str().starts_with('@');
    const membership::MemberId Recipient = Seed ? membership::MemberId() : To;
    const auto Delay = State_.Settings_.InjectedPeerDelayMs_;
    if (Delay == 0)
      return Mesh_.send(Recipient, Address, Body);
    framework::fibers::spawn([this, Recipient, Address, Body, Delay] {
      sleepFor(std::chrono::milliseconds(Delay));
      Mesh_.send(Recipient, Address, Body);
    });
  }

  void receive(const peers::Sender &From, peers::Message &&Body) {
    if (PeerAllowed_ && !PeerAllowed_(From.Id_.Name_))
      return;
    if (!State_.Peers_.contains(From.Id_))
      State_.Peers_[From.Id_].Address_ = From.Address_;
    std::visit([&](const auto &Item) { dispatch(From, Item); }, Body);
  }

  void dispatch(const peers::Sender &From, const peers::Heartbeat &Item) {
    Membership_.handle(From, Item);
  }
  void dispatch(const peers::Sender &From, const peers::SnapshotRequest &Item) {
    Config_.handle(From, Item);
  }
  void dispatch(const peers::Sender &From, const peers::Snapshot &Item) {
    Config_.handle(From, Item);
  }
  void dispatch(const peers::Sender &From, const peers::BorrowRequest &Item) {
    Placements_.handle(From, Item);
  }
  void dispatch(const peers::Sender &From, const peers::LoanGrant &Item) {
    Placements_.handle(From, Item);
  }
  void dispatch(const peers::Sender &From, const peers::LoanReturn &Item) {
    Placements_.handle(From, Item);
  }
  void dispatch(const peers::Sender &, const peers::CancelRequest &Item) {
    Runner_.cancel(Item.Name_);
  }
  // Messages about jobs are only for cell entries.
  void dispatch(const peers::Sender &, const peers::JobCall &) {}
  void dispatch(const peers::Sender &, const peers::JobReply &) {}
  void dispatch(const peers::Sender &, const peers::LeadershipOffer &) {}
  void dispatch(const peers::Sender &, const peers::LeaderNotice &) {}
  void dispatch(const peers::Sender &, const peers::LeaderQuery &) {}
  template <typename Message>
  void dispatch(const peers::Sender &From, const Message &Item) {
    Reservations_.handle(From, Item);
  }

  void addToDump(boost::json::object &Into) const {
    const peers::MeshCounters &Counters = Mesh_.counters();
    Into["peers"] = boost::json::object{{"bytesOut", Counters.BytesOut_},
                                        {"bytesIn", Counters.BytesIn_},
                                        {"messagesOut", Counters.MessagesOut_},
                                        {"messagesIn", Counters.MessagesIn_},
                                        {"dropped", Counters.Dropped_},
                                        {"refused", Counters.Refused_}};
    const auto Heap = mallinfo2();
    Into["heapBytesInUse"] = Heap.uordblks + Heap.hblkhd;
    Into["heapBytesFree"] = Heap.fordblks;
    Into["planner"] = Planner_.holdsLease();
    Into["plannerTickMicros"] = Planner_.lastTick().count();
    Into["storeCalls"] = Store_.calls();
    Into["idleConnections"] = Forward_.idleConnections();
    Into["callerConnections"] = Server_.openConnections();
  }

  /// Marks the entry as started once it has a configuration and a view, from
  /// the store or from peers.
  void markStartedWhenReady() {
    while (!State_.Started_) {
      State_.Started_ = State_.Config_.revision().value() > 0 &&
                        State_.View_.Number_.value() > 0;
      sleepFor(PollInterval);
    }
    framework::log::info("entry.started")
        .field("view", State_.View_.Number_.value())
        .field("revision", State_.Config_.revision().value());
  }

  /// Returns free heap memory to the system. After bulk changes, freed JSON
  /// documents left a third of the resident memory unused at the design size.
  void trimLoop() {
    while (true) {
      sleepFor(HeapTrimInterval);
      if (mallinfo2().fordblks > HeapTrimThreshold)
        malloc_trim(0);
    }
  }

  boost::asio::io_context &Io_;
  EntryState State_;
  store::EtcdStore Store_;
  api::Writer Writer_;
  entry::ConfigService Config_;
  entry::MembershipService Membership_;
  entry::PlannerService Planner_;
  entry::PlacementService Placements_;
  entry::ReservationService Reservations_;
  entry::Forwarder Forward_;
  entry::RequestRunner Runner_;
  peers::PeerMesh Mesh_;
  api::ApiContext Context_;
  api::HttpApi Api_;
  framework::http::Server Server_;
  PeerFilter PeerAllowed_;
};

EntryApp::EntryApp(boost::asio::io_context &Io, EntrySettings Settings)
    : Impl_(std::make_unique<Impl>(Io, std::move(Settings))) {}

EntryApp::~EntryApp() = default;

absl::Status EntryApp::start() {
  Impl &App = *Impl_;
  const EntrySettings &Settings = App.State_.Settings_;
  if (absl::Status Bound =
          App.Mesh_.bind(Settings.PeerListen_, Settings.PeerListen_);
      !Bound.ok())
    return Bound;
  if (absl::Status Bound = App.Server_.listen(Settings.HttpListen_);
      !Bound.ok())
    return Bound;
  App.State_.Self_.PeerAddress_ = App.Mesh_.advertised().str();
  App.State_.Self_.HttpAddress_ =
      Settings.HttpListen_.Ip_ + ":" + std::to_string(App.Server_.port());
  App.Config_.start();
  App.Membership_.start();
  App.Placements_.start();
  App.Planner_.start();
  App.Reservations_.start();
  framework::fibers::spawn([&App] { App.markStartedWhenReady(); });
  framework::fibers::spawn([&App] { App.trimLoop(); });
  return absl::OkStatus();
}

std::uint16_t EntryApp::httpPort() const { return Impl_->Server_.port(); }
std::uint16_t EntryApp::peerPort() const {
  return Impl_->Mesh_.advertised().Port_;
}

bool EntryApp::stop() {
  Impl &App = *Impl_;
  framework::log::info("entry.leaving")
      .field("in_flight", static_cast<std::uint64_t>(App.Runner_.inFlight()));
  App.State_.Leaving_ = true;
  App.Api_.notifyWatchers();
  const auto Deadline = App.State_.now() + DrainTimeout;
  while (App.Runner_.inFlight() > 0 && App.State_.now() < Deadline)
    sleepFor(PollInterval);
  App.Membership_.leave(App.State_.now() + HandoverTimeout);
  App.Server_.stopAccepting();
  const bool Clean = App.Runner_.inFlight() == 0;
  framework::log::info("entry.stopped")
      .field("left_in_flight",
             static_cast<std::uint64_t>(App.Runner_.inFlight()));
  return Clean;
}

void EntryApp::setPeerFilter(PeerFilter IsAllowed) {
  Impl_->PeerAllowed_ = std::move(IsAllowed);
}

std::string EntryApp::dump() const { return Impl_->Api_.dump(); }

} // namespace laburnumspread::app
