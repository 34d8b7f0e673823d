#include "app/cellapp.h"

#include "cell/callergateway.h"
#include "cell/cellservice.h"
#include "cell/configfollower.h"
#include "framework/fibers/spawn.h"
#include "framework/http/httpserver.h"
#include "peers/peermesh.h"
#include "platform/advisorclient.h"
#include "platform/callerapi.h"
#include "platform/codecs.h"
#include "platform/kvstore.h"
#include "platform/machineclient.h"
#include "platform/workerclient.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <iterator>
#include <random>

namespace laburnumspread::app {

using cell::CellSettings;
using framework::clock::SteadyClock;
using framework::clock::TimePoint;
using framework::fibers::sleepFor;
using framework::http::Exchange;
using framework::http::Response;
using namespace std::chrono_literals;

namespace {

/// Time until the platform stops routing callers here: it takes two failed
/// readiness probes, one second apart.
constexpr auto DeregistrationTime = 2200ms;
constexpr auto PollInterval = 20ms;
/// Entries that are asked at a time which leader they know of.
constexpr std::size_t PeersPerQuery = 3;

membership::MemberId makeMemberId(const CellSettings &Settings) {
  return {Settings.Name_, fleet::Incarnation(framework::clock::toMicros(
                              framework::clock::SystemClock().now()))};
}

journal::Leader makeLeader(const membership::MemberId &Self) {
  journal::Leader Result;
  Result.Entry_ = Self.Name_;
  Result.Incarnation_ = Self.Incarnation_;
  return Result;
}

} // namespace

struct CellApp::Impl {
  using Service = cell::CellService<platform::KvStore, platform::WorkerClient,
                                    platform::MachineClient>;

  Impl(boost::asio::io_context &Io, CellSettings Settings)
      : Settings_(std::move(Settings)), Self_(makeMemberId(Settings_)),
        InForce_(Settings_.Bounds_.ConfigDelay_),
        Store_(Io, Settings_.StoreAddress_), Workers_(Io),
        Machines_(Io, Settings_.MachineApiAddress_, Settings_.Name_.str()),
        Advisor_(Io, Settings_.AdvisorAddress_),
        Cell_(
            Store_, Workers_, Machines_,
            {std::string(platform::WorkersPrefix), platform::readWorker},
            {platform::waveStatusKey, platform::waveStatus},
            [this](const scheduling::StepName &Step,
                   const std::vector<cell::WorkerId> &Ids) {
              return Advisor_.requestAdvice(Step, Ids);
            },
            cell::Candidacy(cell::Candidacy::weightOf(Settings_.Cores_,
                                                      Settings_.LinkMbps_)),
            journal::CellKeys(Settings_.StorePrefix_ + "cell/0/"),
            makeLeader(Self_), Settings_.Bounds_, InForce_, Metrics_),
        Router_({[this](const peers::JobCall &Call,
                        const cell::CallRouter::ReplyFn &Reply) {
                   peers::JobCall Own = Call;
                   Own.Caller_ = Self_;
                   Cell_.handle(Own, Reply);
                 },
                 [this] { return Cell_.leads(); },
                 [this] { return Cell_.leader(); },
                 [this](const journal::Leader &Seen) {
                   return Seen.Entry_ == Self_.Name_ &&
                          Seen.Incarnation_ == Self_.Incarnation_;
                 },
                 [this](const journal::Leader &To, const peers::JobCall &Call,
                        const cell::CallAttempt &Attempt) {
                   sendCall(To, Call, Attempt);
                 }}),
        Gateway_(Router_, InForce_, platform::readJob, Metrics_),
        Follower_(
            Store_, std::string(platform::OperatorPrefix),
            {[this](const store::KeyValue &Item) { applyConfigItem(Item); },
             [this](const store::RangeResult &Read, TimePoint RequestedAt) {
               Cell_.replaceEvacuations(platform::readEvacuations(Read),
                                        RequestedAt);
             },
             [this](TimePoint CompleteThrough) {
               InForce_.confirm(CompleteThrough, SteadyClock().now());
               Cell_.confirmEvacuations(CompleteThrough);
             },
             [this] { return configNeed(); }},
            Metrics_),
        Api_(Gateway_),
        Mesh_(Io, Self_, Settings_.PeerKeys_,
              [this](const peers::Sender &From, peers::Message &&Body) {
                receive(From, Body);
              }),
        Callers_(
            Io, {}, [this](Exchange &Call) { serveCaller(Call); },
            platform::errorResponse),
        Readiness_(
            Io, {},
            [this](Exchange &Call) {
              Call.reply(platform::readinessResponse(ready()));
            },
            platform::errorResponse),
        MetricsServer_(
            Io, {}, [this](Exchange &Call) { serveMetrics(Call); },
            platform::errorResponse) {
    Gateway_.setMaxValueBytes(Settings_.Bounds_.MaxValueBytes_);
  }

  void serveCaller(Exchange &Call) {
    ++InFlight_;
    if (Leaving_)
      Call.closeAfterReply();
    Api_.handle(Call);
    --InFlight_;
  }

  void serveMetrics(Exchange &Call) {
    refreshGauges();
    Response Answer;
    Answer.Status_ = 200;
    Answer.Headers_.add("Content-Type", "text/plain; version=0.0.4");
    Answer.Body_ = Metrics_.exposition();
    Call.reply(Answer);
  }

  void refreshGauges() {
    Metrics_.gauge("config_version")
        .set(static_cast<double>(InForce_.version().value()));
    Metrics_.gauge("config_newest_known_version")
        .set(static_cast<double>(InForce_.newestKnown().value()));
    Metrics_.gauge("config_confirmed_age_seconds")
        .set(std::chrono::duration<double>(InForce_.age(SteadyClock().now()))
                 .count());
    Metrics_.gauge("ready").set(ready() ? 1 : 0);
    Metrics_.gauge("leads").set(Cell_.leads() ? 1 : 0);
    Metrics_.gauge("store_calls").set(static_cast<double>(Store_.calls()));
    Metrics_.gauge("calls_contradicted")
        .set(static_cast<double>(Router_.contradictedCalls()));
    const cell::CallWindow &Window = Router_.window();
    Metrics_.gauge("leader_calls_in_flight")
        .set(static_cast<double>(Window.inFlight()));
    Metrics_.gauge("leader_calls_waiting")
        .set(static_cast<double>(Window.waiting()));
    Metrics_.gauge("leader_calls_limit").set(Window.limit());
    Metrics_.gauge("leader_calls_refused")
        .set(static_cast<double>(Window.refused()));
    Metrics_.gauge("peer_messages_dropped")
        .set(static_cast<double>(Mesh_.counters().Dropped_));
    Metrics_.gauge("caller_requests_in_flight")
        .set(static_cast<double>(InFlight_));
    Cell_.publishGauges(Metrics_);
  }

  bool ready() const {
    return !Leaving_ && InForce_.known() &&
           InForce_.heardOf(SteadyClock().now());
  }

  /// A leader that loses its confirmation answers no call, so it does not wait
  /// for the watch to find out that its connection is silent.
  cell::ConfigNeed configNeed() const {
    if (InForce_.outdated())
      return cell::ConfigNeed::Newer;
    return Cell_.leads() && InForce_.confirmationLate(SteadyClock().now())
               ? cell::ConfigNeed::Confirmation
               : cell::ConfigNeed::None;
  }

  template <typename Message> void sendToCallers(const Message &Body) {
    for (const auto &[Name, Peer] : KnownPeers_)
      Mesh_.send(Peer.Id_, Peer.Address_, Body);
  }

  /// Asks a few entries which leader they know of. Each may be cut off from the
  /// store as this one is, so others are chosen each time.
  void askForLeader() {
    std::vector<std::pair<fleet::EntryName, cell::Candidate>> Chosen;
    std::sample(Relays_.entries().begin(), Relays_.entries().end(),
                std::back_inserter(Chosen), PeersPerQuery, Random_);
    for (const auto &[Name, Entry] : Chosen)
      if (Name != Self_.Name_)
        Mesh_.send(Entry.Id_, Entry.PeerAddress_, peers::LeaderQuery());
  }

  cell::PeerLinks peerLinks() {
    return {
        [this](const peers::LeadershipOffer &Offer) { sendToCallers(Offer); },
        [this](const peers::LeaderNotice &Notice) { sendToCallers(Notice); },
        [this] { askForLeader(); },
        [this](const cell::Candidate &Entry) { Relays_.recordEntry(Entry); },
        [this] { connectToRelay(); },
        [this] { Router_.resendAll(); }};
  }

  /// Sets up the connection to the relay, so that it need not be done for the
  /// first call.
  void connectToRelay() {
    if (const auto Relay = Relays_.preferred())
      Mesh_.send({Relay->Id_.Name_, fleet::Incarnation()}, Relay->PeerAddress_,
                 peers::LeaderQuery());
  }

  /// Sends a call to the leader, directly or through a relay.
  void sendCall(const journal::Leader &Leader, const peers::JobCall &Call,
                const cell::CallAttempt &Attempt) {
    const auto Relay =
        Relays_.choose(Attempt, Leader.Entry_, SteadyClock().now());
    if (!Relay)
      return Mesh_.send({Leader.Entry_, Leader.Incarnation_},
                        Leader.PeerAddress_, Call);
    peers::JobCall Forwarded = Call;
    Forwarded.ForwardTo_ = cell::toNotice(Leader);
    // Any incarnation of a relay will do.
    Mesh_.send({Relay->Id_.Name_, fleet::Incarnation()}, Relay->PeerAddress_,
               Forwarded);
  }

  /// Forwards a call for an entry that uses this one as a relay.
  void forwardCall(const peers::Sender &From, peers::JobCall Call) {
    Cell_.learnLeader(*Call.ForwardTo_);
    Call.ForwardTo_.reset();
    const journal::Leader &Leader = Cell_.leader();
    const bool Elsewhere =
        Leader.Token_.value() != 0 && Leader.Entry_ != Self_.Name_;
    if (!Elsewhere)
      return handleCall(From, Call);
    Call.ReplyTo_ = {From.Id_, From.Address_};
    Mesh_.send({Leader.Entry_, Leader.Incarnation_}, Leader.PeerAddress_, Call);
    peers::JobReply Confirmation;
    Confirmation.Sequence_ = Call.Sequence_;
    Confirmation.Status_ = peers::JobCallStatus::Forwarded;
    Mesh_.send(From.Id_, From.Address_, Confirmation);
  }

  /// Serves a call if this entry leads.
  void handleCall(const peers::Sender &From, const peers::JobCall &Call) {
    InForce_.recordPeerVersion(jobs::ConfigVersion(Call.ConfigVersion_));
    Cell_.handle(Call,
                 [this, From, ReplyTo = Call.ReplyTo_](peers::JobReply Reply) {
                   Reply.ReplyTo_ = ReplyTo;
                   Mesh_.send(From.Id_, From.Address_, Reply);
                 });
  }

  void handleReply(const peers::Sender &From, peers::JobReply Reply) {
    Relays_.recordConfirmation(From.Id_.Name_, SteadyClock().now());
    if (Reply.Leader_)
      Cell_.learnLeader(*Reply.Leader_);
    if (!Reply.ReplyTo_)
      return Router_.handleReply(Reply);
    const peers::PeerAddress To = *Reply.ReplyTo_;
    Reply.ReplyTo_.reset();
    Mesh_.send(To.Id_, To.Address_, Reply);
  }

  void receive(const peers::Sender &From, const peers::Message &Body) {
    KnownPeers_[From.Id_.Name_] = From;
    if (const auto *Offer = std::get_if<peers::LeadershipOffer>(&Body))
      return Cell_.handleOffer(*Offer);
    if (const auto *Notice = std::get_if<peers::LeaderNotice>(&Body))
      return Cell_.learnLeader(*Notice);
    if (std::holds_alternative<peers::LeaderQuery>(Body))
      return Mesh_.send(From.Id_, From.Address_,
                        cell::toNotice(Cell_.leader()));
    if (const auto *Call = std::get_if<peers::JobCall>(&Body))
      return Call->ForwardTo_ ? forwardCall(From, *Call)
                              : handleCall(From, *Call);
    if (const auto *Reply = std::get_if<peers::JobReply>(&Body))
      handleReply(From, *Reply);
  }

  void applyConfigItem(const store::KeyValue &Item) {
    if (const auto Wave = platform::readWave(Item))
      Cell_.setWave(*Wave);
    if (const auto Zone = platform::readEvacuation(Item))
      Cell_.evacuate(*Zone);
    if (Item.Key_ == platform::ConfigKey)
      applyConfig(Item);
  }

  /// Takes a version of the configuration if it is newer than the one in force.
  void applyConfig(const store::KeyValue &Item) {
    const TimePoint ReceivedAt = SteadyClock().now();
    auto Next = platform::readConfig(Item.Value_);
    const TimePoint ParsedAt = SteadyClock().now();
    if (!Next.ok()) {
      InForce_.recordUnreadable();
      framework::log::error("config.unreadable")
          .field("revision", Item.ModRevision_.value())
          .field("reason", std::string(Next.status().message()));
      return;
    }
    const jobs::ConfigVersion Before = InForce_.version();
    if (!InForce_.replace(*std::move(Next)))
      return;
    Cell_.adoptNewConfig();
    framework::log::info("config.in_force")
        .field("version", InForce_.version().value())
        .field("before", Before.value())
        .field("revision", Item.ModRevision_.value())
        .field("queues",
               static_cast<std::uint64_t>(InForce_.config().Queues_.size()))
        .field("parse_us", (ParsedAt - ReceivedAt).count())
        .field("adopt_us", (SteadyClock().now() - ParsedAt).count());
  }

  CellSettings Settings_;
  membership::MemberId Self_;
  cell::ConfigInForce InForce_;
  framework::metrics::Registry Metrics_;
  platform::KvStore Store_;
  platform::WorkerClient Workers_;
  platform::MachineClient Machines_;
  platform::AdvisorClient Advisor_;
  Service Cell_;
  cell::CallRouter Router_;
  cell::CallerGateway Gateway_;
  cell::ConfigFollower<platform::KvStore> Follower_;
  platform::CallerApi Api_;
  peers::PeerMesh Mesh_;
  framework::http::Server Callers_;
  framework::http::Server Readiness_;
  framework::http::Server MetricsServer_;
  /// Sender of the last message from each peer entry.
  std::map<fleet::EntryName, peers::Sender> KnownPeers_;
  cell::CallRelays Relays_{Self_.Name_};
  std::mt19937_64 Random_{Self_.Incarnation_.value()};
  std::size_t InFlight_ = 0;
  bool Leaving_ = false;
};

CellApp::CellApp(boost::asio::io_context &Io, CellSettings Settings)
    : Impl_(std::make_unique<Impl>(Io, std::move(Settings))) {}

CellApp::~CellApp() = default;

absl::Status CellApp::start() {
  Impl &App = *Impl_;
  if (absl::Status Bound =
          App.Mesh_.bind(App.Settings_.PeerAddress_,
                         App.Settings_.AdvertisedPeerAddress_.value_or(
                             App.Settings_.PeerAddress_));
      !Bound.ok())
    return Bound;
  const std::array<std::pair<framework::http::Server *, cell::Address>, 3>
      Servers = {{{&App.Callers_, App.Settings_.CallerAddress_},
                  {&App.Readiness_, App.Settings_.ReadinessAddress_},
                  {&App.MetricsServer_, App.Settings_.MetricsAddress_}}};
  for (const auto &[Server, At] : Servers)
    if (absl::Status Bound = Server->listen(At); !Bound.ok())
      return Bound;
  App.Cell_.setPeerLinks(App.peerLinks());
  App.Cell_.start(App.Mesh_.advertised().str());
  App.Follower_.start();
  return absl::OkStatus();
}

void CellApp::stop() {
  Impl &App = *Impl_;
  framework::log::info("entry.leaving")
      .field("in_flight", static_cast<std::uint64_t>(App.InFlight_));
  App.Leaving_ = true;
  App.Cell_.handOver();
  const TimePoint Deregistered = SteadyClock().now() + DeregistrationTime;
  const TimePoint Deadline =
      SteadyClock().now() + App.Settings_.Bounds_.GracePeriod_ - 1500ms;
  while (SteadyClock().now() < Deregistered ||
         (App.InFlight_ > 0 && SteadyClock().now() < Deadline))
    sleepFor(PollInterval);
  App.Callers_.stopAccepting();
  while (App.InFlight_ > 0 && SteadyClock().now() < Deadline)
    sleepFor(PollInterval);
  framework::log::info("entry.stopped")
      .field("left_in_flight", static_cast<std::uint64_t>(App.InFlight_));
}

std::uint16_t CellApp::callerPort() const { return Impl_->Callers_.port(); }
std::uint16_t CellApp::metricsPort() const {
  return Impl_->MetricsServer_.port();
}

bool CellApp::leads() const { return Impl_->Cell_.leads(); }

void CellApp::reload(const CellSettings &Settings) {
  CellSettings &Current = Impl_->Settings_;
  framework::log::setLevel(Settings.LogLevel_);
  Impl_->Cell_.setBounds(Settings.Bounds_);
  Impl_->InForce_.setBound(Settings.Bounds_.ConfigDelay_);
  Impl_->Gateway_.setMaxValueBytes(Settings.Bounds_.MaxValueBytes_);
  framework::log::info("settings.reloaded")
      .field("entry", Current.Name_.str())
      .field("bounds_changed",
             Current.Bounds_ == Settings.Bounds_ ? "no" : "yes")
      .field("need_restart", cell::settingsNeedingRestart(Current, Settings));
  Current.LogLevel_ = Settings.LogLevel_;
  Current.Bounds_ = Settings.Bounds_;
}

std::string CellApp::dump() const {
  const Impl &App = *Impl_;
  boost::json::object Into{{"entry", App.Settings_.Name_.str()},
                           {"configVersion", App.InForce_.version().value()},
                           {"leads", App.Cell_.leads()},
                           {"holder", App.Cell_.leader().Entry_.str()},
                           {"storeCalls", App.Store_.calls()}};
  if (const auto &Term = App.Cell_.term()) {
    Into["token"] = Term->Token_.value();
    Into["jobsOpen"] = Term->Table_.open().size();
    Into["workers"] = Term->Workers_.size();
  }
  return boost::json::serialize(Into);
}

} // namespace laburnumspread::app
