#pragma once

#include "cell/jobcallhandler.h"
#include "cell/tests/silentclient.h"
#include "jobs/eventcodec.h"
#include "journal/tests/fakestore.h"

#include <boost/test/unit_test.hpp>

// A leader's handler of calls, without workers, over a simulated store.

namespace laburnumspread::cell {

using namespace std::chrono_literals;
using journal::FakeStore;
using peers::JobCallStatus;
using peers::RefusalReason;

inline const journal::CellKeys Keys("cell/");
inline const QueueName Queue("q");
inline const PoolName Pool("pool");
inline const jobs::WorkspaceName Workspace("w");

/// A term whose pool of one core has work for an hour.
struct JobCallFixture {
  JobCallFixture() {
    BOOST_REQUIRE(*Leadership_.campaign());
    Term_ = std::make_shared<Term<FakeStore>>(
        Store_, Keys, Leadership_, Metrics_, CellBounds(), Evacuations_);
    Term_->Config_.Queues_.emplace_back().Name_ = Queue;
    Term_->Config_.Queues_.back().Pool_ = Pool;
    Handler_ = std::make_unique<JobCallHandler<FakeStore, SilentClient>>(
        Term_, nullptr);
  }

  ~JobCallFixture() { Term_->Ended_ = true; }

  void fillPool() const {
    scheduling::PoolBacklog Item;
    Item.Pool_ = Pool;
    Item.At_ = Term_->now();
    Item.Capacity_.add({1000, 1000, 0});
    Item.Workspaces_[Workspace].Parts_[{false, 0}].Begun_ = {3.6e12, 0};
    Item.Workspaces_[Workspace].Parts_[{false, 0}].All_ = {3.6e12, 0};
    Term_->Admission_.rebuild({Item});
  }

  static jobs::JobSpec job(const char *Id) {
    jobs::JobSpec Spec;
    Spec.Id_ = jobs::JobId(Id);
    Spec.Queue_ = Queue;
    Spec.Workspace_ = Workspace;
    Spec.Steps_.emplace_back().PerTask_ = {1000, 100, 0};
    Spec.Steps_.back().Estimate_ = 1s;
    return Spec;
  }

  /// Returns the reply, or nullopt if it waits for the store.
  std::optional<peers::JobReply> submit(const jobs::JobSpec &Spec) {
    peers::JobCall Call;
    Call.Kind_ = peers::JobCallKind::Submit;
    Call.Job_ = Spec.Id_.str();
    Call.Spec_ = jobs::encodeGroup({jobs::JobAccepted{Spec}});
    return handle(Call);
  }

  /// Returns the reply, or nullopt if it comes later.
  std::optional<peers::JobReply> handle(const peers::JobCall &Call) const {
    const auto Result = std::make_shared<std::optional<peers::JobReply>>();
    Handler_->handle(
        Call, [Result](const peers::JobReply &Reply) { *Result = Reply; });
    return *Result;
  }

  /// Handles an attempt of the numbered call of an entry.
  std::optional<peers::JobReply> handleNumbered(std::uint64_t Sequence,
                                                peers::JobCallKind Kind,
                                                const jobs::JobSpec &Spec) {
    peers::JobCall Call;
    Call.Sequence_ = Sequence;
    Call.Kind_ = Kind;
    Call.Job_ = Spec.Id_.str();
    Call.Spec_ = jobs::encodeGroup({jobs::JobAccepted{Spec}});
    return handle(Call);
  }

  bool known(const jobs::JobSpec &Spec) const {
    return Term_->Table_.find(Spec.Id_) != nullptr;
  }

  /// Runs the job's only task to its end.
  void endJob(const jobs::JobSpec &Spec) const {
    const jobs::RunName Run{{Spec.Id_, 0, 0, 0}, jobs::RunNumber(1)};
    Term_->Commits_.stage(jobs::RunIntended{Run, {}});
    Term_->Commits_.stage(jobs::RunEnded{Run, jobs::EndKind::Done, {}, 3});
    BOOST_REQUIRE(Term_->Table_.find(Spec.Id_)->ended());
  }

  void checkRefused(const std::optional<peers::JobReply> &Reply,
                    RefusalReason Reason) const {
    BOOST_REQUIRE(Reply);
    BOOST_TEST((Reply->Status_ == JobCallStatus::Refused));
    BOOST_TEST((Reply->Refusal_ == Reason));
  }

  FakeStore Store_;
  framework::metrics::Registry Metrics_;
  ZoneEvacuations Evacuations_;
  journal::Leadership<FakeStore> Leadership_{Store_, Keys, journal::Leader()};
  std::shared_ptr<Term<FakeStore>> Term_;
  std::unique_ptr<JobCallHandler<FakeStore, SilentClient>> Handler_;
};

} // namespace laburnumspread::cell
