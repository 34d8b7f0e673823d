#include "peers/messagecodec.h"

#include "peer.pb.h"

#include <random>

#include <boost/test/unit_test.hpp>

using namespace laburnumspread;
using namespace laburnumspread::peers;

namespace {

MemberId idOf(const char *Name) {
  return {fleet::EntryName(Name), fleet::Incarnation(7)};
}

Envelope envelopeWith(Message Body) {
  return {{idOf("a"), "127.0.0.1:1", TimePoint(std::chrono::seconds(3))},
          idOf("b"),
          std::move(Body)};
}

} // namespace

BOOST_AUTO_TEST_CASE(ReplyNamesTheLeader) {
  JobReply Reply;
  Reply.Status_ = JobCallStatus::NotLeader;
  Reply.Leader_ = LeaderNotice{idOf("c"), "127.0.0.1:2", 9};
  const Envelope Received = *decode(encode(envelopeWith(Reply)));
  const auto &Body = std::get<JobReply>(Received.Message_);
  BOOST_REQUIRE(Body.Leader_);
  BOOST_TEST((Body.Leader_->Id_ == idOf("c")));
  BOOST_TEST(Body.Leader_->Address_ == "127.0.0.1:2");
  BOOST_TEST(Body.Leader_->Token_ == 9u);
  Reply.Leader_.reset();
  const Envelope Without = *decode(encode(envelopeWith(Reply)));
  BOOST_TEST(!std::get<JobReply>(Without.Message_).Leader_);
}

// Guards against an entry that reads no time on the way, or a wrong one, and so
// sends too many calls to a busy leader, or too few.
BOOST_AUTO_TEST_CASE(CallAndReplyTellWhenTheAttemptWasSent) {
  const TimePoint SentAt(std::chrono::microseconds(12'345'678));
  JobCall Call;
  Call.SentAt_ = SentAt;
  const Envelope Sent = *decode(encode(envelopeWith(Call)));
  BOOST_TEST((std::get<JobCall>(Sent.Message_).SentAt_ == SentAt));
  JobReply Reply;
  Reply.Timing_ = {SentAt, std::chrono::microseconds(77)};
  const Envelope Received = *decode(encode(envelopeWith(Reply)));
  const auto &Body = std::get<JobReply>(Received.Message_);
  BOOST_REQUIRE(Body.Timing_);
  BOOST_TEST((Body.Timing_->SentAt_ == SentAt));
  BOOST_TEST((Body.Timing_->Held_ == std::chrono::microseconds(77)));
  const Envelope Earlier = *decode(encode(envelopeWith(JobReply())));
  BOOST_TEST(!std::get<JobReply>(Earlier.Message_).Timing_);
}

// Guards against a caller that is told of an outage when its pool is full, and
// against a reason of a later release that is read as another one.
BOOST_AUTO_TEST_CASE(ReplyTellsTheReasonOfARefusal) {
  JobReply Reply;
  Reply.Status_ = JobCallStatus::Refused;
  Reply.RetryAfterMs_ = 2500;
  for (const RefusalReason Reason :
       {RefusalReason::StoreUnavailable, RefusalReason::PoolFull,
        RefusalReason::Leaving, RefusalReason::LeaderBusy}) {
    Reply.Refusal_ = Reason;
    const Envelope Received = *decode(encode(envelopeWith(Reply)));
    const auto &Body = std::get<JobReply>(Received.Message_);
    BOOST_TEST((Body.Status_ == JobCallStatus::Refused));
    BOOST_TEST((Body.Refusal_ == Reason));
    BOOST_TEST(Body.RetryAfterMs_ == 2500u);
  }
  wire::Envelope Raw;
  BOOST_REQUIRE(Raw.ParseFromString(encode(envelopeWith(Reply))));
  Raw.mutable_job_reply()->set_refusal(9);
  const Envelope Later = *decode(Raw.SerializeAsString());
  BOOST_TEST((std::get<JobReply>(Later.Message_).Refusal_ ==
              RefusalReason::StoreUnavailable));
}

BOOST_AUTO_TEST_CASE(EnvelopeRoundTrips) {
  LoanGrant Grant;
  Grant.Loans_.push_back({{idOf("a"), 5},
                          limits::SubjectName("team/x"),
                          limits::Unit(9),
                          TimePoint(std::chrono::seconds(4))});
  Grant.Team_ = fleet::TeamName("x");
  const Envelope Received = *decode(encode(envelopeWith(Grant)));
  BOOST_TEST((Received.From_.Id_ == idOf("a")));
  BOOST_TEST((Received.To_ == idOf("b")));
  const auto &Body = std::get<LoanGrant>(Received.Message_);
  BOOST_REQUIRE(Body.Loans_.size() == 1u);
  BOOST_TEST((Body.Loans_[0].Id_ == Grant.Loans_[0].Id_));
  BOOST_TEST((Body.Loans_[0].Until_ == Grant.Loans_[0].Until_));
}

BOOST_AUTO_TEST_CASE(OtherVersionIsRejectedAndUnknownFieldIsIgnored) {
  const std::string Bytes = encode(envelopeWith(SnapshotRequest{}));
  wire::Envelope Raw;
  BOOST_REQUIRE(Raw.ParseFromString(Bytes));
  Raw.set_version(WireVersion + 1);
  BOOST_TEST(!decode(Raw.SerializeAsString()).ok());
  // Field 200 as a varint, as a later release might add it.
  BOOST_TEST(decode(Bytes + "\xc0\x0c\x01").ok());
}

// Randomly corrupted messages must be rejected or decoded, but never crash the
// decoder.
BOOST_AUTO_TEST_CASE(CorruptedMessagesAreHarmless) {
  std::mt19937 Random(1);
  Heartbeat Beat;
  Beat.StillHeld_.push_back({limits::SubjectName("team/x"), limits::Unit(1)});
  const std::string Bytes = encode(envelopeWith(Beat));
  std::size_t Rejected = 0;
  for (int I = 0; I < 20000; ++I) {
    std::string Corrupted = Bytes;
    Corrupted[Random() % Corrupted.size()] = static_cast<char>(Random());
    Corrupted.resize(Corrupted.size() - Random() % 3);
    Rejected += !decode(Corrupted).ok();
  }
  BOOST_TEST(Rejected > 0u);
}
