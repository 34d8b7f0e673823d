#include "cell/callreplies.h"
#include "cell/tests/jobcallfixture.h"

// Calls of a process that gives its leadership up and adopts its own head key
// again, so that two of its terms have the same fencing token.

namespace laburnumspread::cell {

namespace {

struct AdoptedHeadFixture : JobCallFixture {
  /// The leadership ends while the head key remains, and begins again.
  void adoptHead() {
    Term_->Ended_ = true;
    Leadership_.markLost();
    const auto Read =
        Store_.range(Keys.head(), fleet::Revision(0), store::TimePoint());
    for (const store::KeyValue &Item : Read->Items_)
      if (const auto Head =
              journal::decodeLeader(Item.Value_, Item.ModRevision_))
        (void)Leadership_.adoptOwnHead(*Head);
    if (!Leadership_.held())
      BOOST_REQUIRE(*Leadership_.campaign());
  }

  /// A term of the leadership, with the tables that the store holds.
  void beginTerm() {
    Term_ = std::make_shared<Term<FakeStore>>(
        Store_, Keys, Leadership_, Metrics_, CellBounds(), Evacuations_);
    BOOST_REQUIRE(Term_->Log_.load(Term_->Table_, Term_->now()).ok());
    Term_->Config_.Queues_.emplace_back().Name_ = Queue;
    Term_->Config_.Queues_.back().Pool_ = Pool;
    Handler_ = std::make_unique<JobCallHandler<FakeStore, SilentClient>>(
        Term_, nullptr);
  }

  /// Sends an attempt to the leader with the given token and evaluates the
  /// reply, as CellService does.
  void send(CallReplies &Replies, const jobs::JobSpec &Spec,
            jobs::FencingToken To) {
    peers::JobCall Call;
    Call.Sequence_ = 1;
    Call.Kind_ = peers::JobCallKind::Submit;
    Call.Job_ = Spec.Id_.str();
    Call.Spec_ = jobs::encodeGroup({jobs::JobAccepted{Spec}});
    Call.Token_ = To.value();
    Call.Attempt_ = Replies.sent(To);
    deliver(Replies, Call);
  }

  void deliver(CallReplies &Replies, const peers::JobCall &Call) {
    const auto Complete = [&Replies, &Call](peers::JobReply Reply) {
      Reply.Attempt_ = Call.Attempt_;
      Replies.add(Reply);
    };
    if (!isForAnotherTerm(Call, Term_->tokens()))
      return Handler_->handle(Call, Complete);
    peers::JobReply NotLeader;
    NotLeader.Status_ = JobCallStatus::NotLeader;
    Complete(NotLeader);
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdoptedHeadTest, AdoptedHeadFixture)

// Guards against a job that runs although its caller was told that it never
// does: a second term with the same token accepts a late attempt.
BOOST_AUTO_TEST_CASE(RefusedCallIsNotAcceptedByTheNextTermOfTheProcess) {
  const jobs::JobSpec Job = job("0000000000000001");
  const jobs::FencingToken Asked = Leadership_.token();
  CallReplies Replies(peers::JobCallKind::Submit);
  peers::JobCall Late;
  Late.Sequence_ = 1;
  Late.Kind_ = peers::JobCallKind::Submit;
  Late.Job_ = Job.Id_.str();
  Late.Spec_ = jobs::encodeGroup({jobs::JobAccepted{Job}});
  Late.Token_ = Asked.value();
  Late.Attempt_ = Replies.sent(Asked);
  fillPool();
  send(Replies, Job, Asked);
  BOOST_REQUIRE(Replies.answer());
  BOOST_TEST((Replies.answer()->Status_ == JobCallStatus::Refused));
  adoptHead();
  beginTerm();
  deliver(Replies, Late);
  BOOST_TEST(!known(Job));
}

// Guards against a refused job that runs under a later leader: a write of the
// process's former term is carried out after its next term refused the job.
BOOST_AUTO_TEST_CASE(WriteOfAFormerTermIsNotCarriedOutAfterARefusal) {
  const jobs::JobSpec Job = job("0000000000000001");
  const jobs::FencingToken Asked = Leadership_.token();
  CallReplies Replies(peers::JobCallKind::Submit);
  send(Replies, Job, Asked);
  BOOST_REQUIRE(known(Job));
  Store_.Next_ = FakeStore::Fault::Late;
  Store_.BeforeAnswer_ = [this] { adoptHead(); };
  BOOST_TEST(!Term_->Log_.append({jobs::JobAccepted{Job}}).ok());
  beginTerm();
  BOOST_REQUIRE(!known(Job));
  fillPool();
  send(Replies, Job, Leadership_.token());
  BOOST_REQUIRE(Replies.answer());
  BOOST_TEST((Replies.answer()->Status_ == JobCallStatus::Refused));
  Store_.carryOutDelayed();
  Leadership_.markLost();
  beginTerm();
  BOOST_TEST(!known(Job));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
