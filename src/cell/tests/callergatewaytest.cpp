#include "cell/callergateway.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

using namespace std::chrono_literals;

/// An entry whose leader answers every call with the same reply, or that knows
/// no leader.
struct Fixture {
  Fixture() {
    CellConfig Config;
    Config.Version_ = ConfigVersion(1);
    Config.Queues_.emplace_back().Name_ = QueueName("q");
    Config.Queues_.back().PathPrefix_ = "/q/";
    Config.Queues_.back().Public_ = true;
    InForce_.replace(Config);
    const TimePoint Now = framework::clock::SteadyClock().now();
    InForce_.confirm(Now, Now);
  }

  CallerAnswer submit(const std::string &Id) {
    CallerRequest Request;
    Request.Verb_ = CallerRequest::Verb::Submit;
    Request.Path_ = "/q/" + Id;
    Request.Timeout_ = 2s;
    return Gateway_.serve(Request);
  }

  absl::StatusOr<jobs::JobSpec> readJob(std::string_view) const {
    jobs::JobSpec Spec;
    Spec.Steps_.resize(1);
    Spec.Payload_ = Payload_;
    Spec.Steps_[0].Image_ = jobs::ImageName(Image_);
    return Spec;
  }

  std::string Payload_;
  std::string Image_;
  bool HasLeader_ = true;
  peers::JobReply Reply_;
  framework::metrics::Registry Metrics_;
  CallRouter Router_{
      {[this](const peers::JobCall &Call, const CallRouter::ReplyFn &Answer) {
         Reply_.Sequence_ = Call.Sequence_;
         Answer(Reply_);
       },
       [this] { return HasLeader_; }, [] { return journal::Leader(); },
       [](const journal::Leader &) { return false; },
       [](const journal::Leader &, const peers::JobCall &,
          const CallAttempt &) {}}};
  ConfigInForce InForce_;
  CallerGateway Gateway_{
      Router_, InForce_,
      [this](std::string_view Body) { return readJob(Body); }, Metrics_};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerGatewayTest, Fixture)

// Guards against a caller that is told of an outage when its pool is full, or
// returns before there is room.
BOOST_AUTO_TEST_CASE(RefusalTellsItsReasonAndDelay) {
  Reply_.Status_ = peers::JobCallStatus::Refused;
  Reply_.RetryAfterMs_ = 2300;
  std::set<std::string> Details;
  for (const auto Reason :
       {peers::RefusalReason::StoreUnavailable, peers::RefusalReason::PoolFull,
        peers::RefusalReason::Leaving, peers::RefusalReason::LeaderBusy}) {
    Reply_.Refusal_ = Reason;
    const CallerAnswer Answer = submit("0123456789abcdef");
    BOOST_TEST((Answer.Status_ == CallerStatus::TryLater));
    BOOST_TEST((Answer.RetryAfter_ == Duration(2300ms)));
    const bool Full = Reason == peers::RefusalReason::PoolFull;
    BOOST_TEST(Answer.Detail_.starts_with("the pool is full") == Full);
    Details.insert(Answer.Detail_);
  }
  BOOST_TEST(Details.size() == 4u);
}

// Guards against callers that all return in the same moment when a leader has
// been found.
BOOST_AUTO_TEST_CASE(DelaysWithoutALeaderAreSpread) {
  HasLeader_ = false;
  std::set<Duration> Delays;
  for (char Digit = '0'; Digit <= '4'; ++Digit) {
    const CallerAnswer Answer = submit(std::string("012345678abcdef") + Digit);
    BOOST_TEST((Answer.Status_ == CallerStatus::TryLater));
    BOOST_TEST((Answer.RetryAfter_ >= Duration(1s)));
    BOOST_TEST((Answer.RetryAfter_ <= Duration(2s)));
    Delays.insert(Answer.RetryAfter_);
  }
  BOOST_TEST(Delays.size() > 2u);
}

// Guards against an accepted job that can never be stored.
BOOST_AUTO_TEST_CASE(JobLargerThanAValueIsRefusedByNameOfItsField) {
  Reply_.Status_ = peers::JobCallStatus::Ok;
  Gateway_.setMaxValueBytes(5000);
  Payload_ = std::string(4000, 'x');
  BOOST_TEST((submit("0123456789abcdef").Status_ == CallerStatus::Accepted));
  Payload_ = std::string(5000, 'x');
  const CallerAnswer Spec = submit("0123456789abcdef");
  BOOST_TEST((Spec.Status_ == CallerStatus::TooLarge));
  BOOST_TEST(Spec.Detail_.starts_with("spec: "));
  BOOST_TEST(Spec.Detail_.find("4936") != std::string::npos);
  Payload_.clear();
  Image_ = std::string(5000, 'x');
  const CallerAnswer Steps = submit("0123456789abcdef");
  BOOST_TEST((Steps.Status_ == CallerStatus::TooLarge));
  BOOST_TEST(Steps.Detail_.starts_with("steps: "));
}

// Guards against a caller that sends a job again for ever whose size a leader
// with a lower limit refuses.
BOOST_AUTO_TEST_CASE(JobTooLargeForTheLeaderIsRefusedForGood) {
  Reply_.Status_ = peers::JobCallStatus::Refused;
  Reply_.Refusal_ = peers::RefusalReason::TooLarge;
  const CallerAnswer Answer = submit("0123456789abcdef");
  BOOST_TEST((Answer.Status_ == CallerStatus::TooLarge));
  BOOST_TEST((Answer.RetryAfter_ == Duration::zero()));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
