#include "cell/tests/jobcallfixture.h"

namespace laburnumspread::cell {

BOOST_FIXTURE_TEST_SUITE(JobCallHandlerTest, JobCallFixture)

// Guards against a refused job that is stored all the same and runs later, and
// against a new leader that refuses before it has planned.
BOOST_AUTO_TEST_CASE(JobOfAFullPoolIsRefusedAndNotStored) {
  submit(job("0000000000000001"));
  BOOST_TEST(known(job("0000000000000001")));
  fillPool();
  const jobs::JobSpec Refused = job("0000000000000002");
  const auto Reply = submit(Refused);
  checkRefused(Reply, RefusalReason::PoolFull);
  BOOST_TEST(Reply->RetryAfterMs_ == 10'000u);
  BOOST_TEST(!known(Refused));
  BOOST_TEST(
      Metrics_.counter("jobs_refused_total{reason=\"pool_full\"}").value() ==
      1u);
}

// Guards against an accepted job that can never be stored, when the entry that
// was called knows another limit than the leader.
BOOST_AUTO_TEST_CASE(JobLargerThanAValueIsRefusedByTheLeader) {
  Term_->Bounds_.MaxValueBytes_ = 5000;
  jobs::JobSpec Large = job("0000000000000001");
  Large.Payload_ = std::string(5000, 'x');
  checkRefused(submit(Large), RefusalReason::TooLarge);
  BOOST_TEST(!known(Large));
}

// Guards against a leader that exceeds its memory, and its successors after it:
// a job whose tasks alone take it can never be carried.
BOOST_AUTO_TEST_CASE(JobWithMoreTasksThanALeaderHoldsIsRefused) {
  jobs::JobSpec Large = job("0000000000000001");
  Large.Steps_.resize(1000, Large.Steps_.front());
  for (jobs::StepSpec &Step : Large.Steps_)
    Step.Count_ = 100'000;
  checkRefused(submit(Large), RefusalReason::TooLarge);
  BOOST_TEST(!known(Large));
}

// Guards against the same by many jobs, which can come back when others have
// ended.
BOOST_AUTO_TEST_CASE(JobsAreRefusedWhileTheLeaderHoldsTooManyTasks) {
  const auto Large = [](int Number) {
    jobs::JobSpec Spec =
        job(("000000000000000" + std::to_string(Number)).c_str());
    Spec.Occurrences_ = 100'000;
    Spec.Steps_.front().Count_ = 150'000;
    return Spec;
  };
  for (int I = 1; I <= 3; ++I)
    submit(Large(I));
  const auto Reply = submit(Large(4));
  checkRefused(Reply, RefusalReason::TooManyTasks);
  BOOST_TEST(Reply->RetryAfterMs_ > 0u);
  BOOST_TEST(!known(Large(4)));
  BOOST_TEST(known(Large(3)));
}

// Guards against refusing a job that was accepted: a caller that lost the
// answer sends it again.
BOOST_AUTO_TEST_CASE(KnownJobIsNeverRefused) {
  const jobs::JobSpec Known = job("0000000000000001");
  submit(Known);
  fillPool();
  const auto Reply = submit(Known);
  BOOST_TEST((!Reply || Reply->Status_ == JobCallStatus::Ok));
}

// Guards against retries that are not told from new jobs.
BOOST_AUTO_TEST_CASE(RetriesAreCounted) {
  fillPool();
  const jobs::JobSpec Job = job("0000000000000001");
  submit(Job);
  submit(Job);
  Term_->Admission_.rebuild({});
  submit(Job);
  BOOST_TEST(known(Job));
  const auto Count = [&](const char *Name) {
    return Metrics_.counter(Name).value();
  };
  BOOST_TEST(Count("jobs_retried_total{result=\"refused\"}") == 1u);
  BOOST_TEST(Count("jobs_retried_total{result=\"accepted\"}") == 1u);
  BOOST_TEST(Metrics_.histogram("refused_retry_seconds").count() == 2u);
}

// Guards against callers that all return in the same moment after an outage.
BOOST_AUTO_TEST_CASE(OutageDelaysAreSpread) {
  Term_->Ended_ = true;
  std::set<std::uint64_t> Delays;
  for (char Digit = '0'; Digit <= '9'; ++Digit) {
    const std::string Id = std::string("000000000000000") + Digit;
    const auto Reply = submit(job(Id.c_str()));
    checkRefused(Reply, RefusalReason::StoreUnavailable);
    BOOST_TEST(Reply->RetryAfterMs_ >= 1000u);
    BOOST_TEST(Reply->RetryAfterMs_ <= 2000u);
    Delays.insert(Reply->RetryAfterMs_);
  }
  BOOST_TEST(Delays.size() > 5u);
}

// Guards against a job that is accepted and ends long after it is of use, since
// the leader is too slow to start what waits already.
BOOST_AUTO_TEST_CASE(SlowLeaderRefusesWhatItCannotStartInTime) {
  Term_->Config_.Queues_.back().Stretch_ = 2;
  for (int I = 0; I < 10; ++I)
    Term_->Load_.record(300ms, Term_->now());
  Term_->Load_.recordPass(10, 0, Term_->now());
  BOOST_TEST(!submit(job("0000000000000001")).has_value());
  Term_->Load_.recordPass(0, 100'000, Term_->now());
  const auto Reply = submit(job("0000000000000002"));
  checkRefused(Reply, RefusalReason::LeaderBusy);
  BOOST_TEST(Reply->RetryAfterMs_ >= 1000u);
}

// Guards against an entry that tells its caller "refused" and hears "accepted"
// later, since another call has submitted the job in between.
BOOST_AUTO_TEST_CASE(RejectedCallStaysRejectedAlsoIfAnotherSubmitsTheJob) {
  const jobs::JobSpec Job = job("0000000000000001");
  fillPool();
  checkRefused(handleNumbered(1, peers::JobCallKind::Submit, Job),
               RefusalReason::PoolFull);
  Term_->Admission_.rebuild({});
  handleNumbered(2, peers::JobCallKind::Submit, Job);
  BOOST_TEST(known(Job));
  checkRefused(handleNumbered(1, peers::JobCallKind::Submit, Job),
               RefusalReason::PoolFull);
}

// Guards against a job that is cancelled although its caller was told that
// there is no such job.
BOOST_AUTO_TEST_CASE(CancelOfAMissingJobIsNotCarriedOutLater) {
  const jobs::JobSpec Job = job("0000000000000001");
  const auto First = handleNumbered(1, peers::JobCallKind::Cancel, Job);
  BOOST_TEST((First->Status_ == JobCallStatus::Missing));
  submit(Job);
  const auto Again = handleNumbered(1, peers::JobCallKind::Cancel, Job);
  BOOST_TEST((Again->Status_ == JobCallStatus::Missing));
  BOOST_TEST(!Term_->Table_.find(Job.Id_)->ended());
}

// Guards against a refusal of a job that runs: its call was accepted, and so
// many others were rejected since that rejections are forgotten.
BOOST_AUTO_TEST_CASE(OldCallsAreAnsweredByWhatIsKnown) {
  const jobs::JobSpec Accepted = job("0000000000000001");
  const jobs::JobSpec Other = job("0000000000000002");
  handleNumbered(1, peers::JobCallKind::Submit, Accepted);
  fillPool();
  for (std::uint64_t I = 2; I <= DecidedCalls::MaxCallsPerEntry + 3; ++I)
    handleNumbered(I, peers::JobCallKind::Submit, Other);
  Term_->Admission_.rebuild({});
  BOOST_TEST(!handleNumbered(1, peers::JobCallKind::Submit, Accepted));
  const auto Old = handleNumbered(2, peers::JobCallKind::Submit, Other);
  checkRefused(Old, RefusalReason::LeaderBusy);
  BOOST_TEST(Old->RetryAfterMs_ > 0u);
  checkRefused(handleNumbered(2, peers::JobCallKind::Cancel, Accepted),
               RefusalReason::LeaderBusy);
  BOOST_TEST(!Term_->Table_.find(Accepted.Id_)->ended());
}

// Guards against a cancel that is carried out although its caller was told that
// it was rejected: its attempts are too old to be remembered by then.
BOOST_AUTO_TEST_CASE(CancelThatWasCarriedOutIsNotRejected) {
  const jobs::JobSpec Job = job("0000000000000001");
  const jobs::JobSpec Unknown = job("0000000000000002");
  submit(Job);
  handleNumbered(1, peers::JobCallKind::Cancel, Job);
  for (std::uint64_t I = 2; I <= DecidedCalls::MaxCallsPerEntry + 3; ++I)
    handleNumbered(I, peers::JobCallKind::Cancel, Unknown);
  const auto Reply = handleNumbered(1, peers::JobCallKind::Cancel, Job);
  BOOST_TEST((!Reply || Reply->Status_ == JobCallStatus::Ok));
}

// Guards against a cancel that is carried out although its caller was told that
// its key is unknown: the key was withdrawn between two attempts.
BOOST_AUTO_TEST_CASE(CancelThatWasCarriedOutIsNotRefusedByANewerConfig) {
  submit(job("0000000000000001"));
  peers::JobCall Cancel;
  Cancel.Kind_ = peers::JobCallKind::Cancel;
  Cancel.Job_ = "0000000000000001";
  Cancel.Queue_ = Queue.str();
  Cancel.Origin_ = {"", "/q/0000000000000001", "withdrawn"};
  CellConfig InForce;
  InForce.Version_ = ConfigVersion(1);
  InForce.Queues_.emplace_back().Name_ = Queue;
  InForce.Queues_.back().PathPrefix_ = "/q/";
  BOOST_TEST(Handler_->refusalUnder(InForce, Cancel).has_value());
  Handler_->handle(Cancel, [](const peers::JobReply &) {});
  BOOST_TEST(!Handler_->refusalUnder(InForce, Cancel).has_value());
}

// Guards against a stored job whose queue a later leader does not know: the
// record of the queue is no later than its first job, also after a change.
BOOST_AUTO_TEST_CASE(QueueIsRecordedBeforeItsFirstJob) {
  submit(job("0000000000000001"));
  submit(job("0000000000000002"));
  Term_->Config_.Queues_.back().MaxAttempts_ = 7;
  submit(job("0000000000000003"));
  Term_->Commits_.whenStored([&](CommitOutcome) { Term_->Commits_.stop(); });
  Term_->Commits_.run([] {});
  const auto Log = Store_.range(Keys.logPrefix(), fleet::Revision(0),
                                framework::clock::wallDeadline(1ms));
  BOOST_REQUIRE(Log->Items_.size() == 1u);
  const auto Group = jobs::decodeGroup(Log->Items_.front().Value_);
  BOOST_REQUIRE(Group.ok());
  std::vector<std::uint32_t> Attempts;
  std::string Kinds;
  for (const jobs::Event &Item : Group->Events_) {
    const auto *Record = std::get_if<jobs::QueueRecorded>(&Item);
    Kinds += Record ? 'q' : 'j';
    if (Record)
      Attempts.push_back(Record->Queue_.MaxAttempts_);
  }
  BOOST_TEST(Kinds == "qjjqj");
  BOOST_TEST((Attempts == std::vector<std::uint32_t>{3, 7}));
}

// Guards against a cancel that is confirmed by one attempt and rejected by
// another: its job has ended, and the key was withdrawn between the two.
BOOST_AUTO_TEST_CASE(CancelOfAnEndedJobIsNotRefusedByANewerConfig) {
  const jobs::JobSpec Job = job("0000000000000001");
  submit(Job);
  endJob(Job);
  peers::JobCall Cancel;
  Cancel.Sequence_ = 1;
  Cancel.Kind_ = peers::JobCallKind::Cancel;
  Cancel.Job_ = Job.Id_.str();
  Cancel.Queue_ = Queue.str();
  Cancel.Origin_ = {"", "/q/0000000000000001", "withdrawn"};
  CellConfig InForce;
  InForce.Version_ = ConfigVersion(1);
  InForce.Queues_.emplace_back().Name_ = Queue;
  InForce.Queues_.back().PathPrefix_ = "/q/";
  Handler_->handle(Cancel, [](const peers::JobReply &) {});
  BOOST_TEST(!Handler_->refusalUnder(InForce, Cancel).has_value());
}

// Guards against a job that runs twice: a late attempt of its call arrives once
// the leader has forgotten that the job has ended.
BOOST_AUTO_TEST_CASE(LateAttemptDoesNotSubmitAForgottenJobAgain) {
  const jobs::JobSpec Job = job("0000000000000001");
  handleNumbered(1, peers::JobCallKind::Submit, Job);
  endJob(Job);
  Term_->Table_.forgetEnded(Term_->now() + 1s);
  BOOST_REQUIRE(!known(Job));
  handleNumbered(1, peers::JobCallKind::Submit, Job);
  BOOST_TEST(!known(Job));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
