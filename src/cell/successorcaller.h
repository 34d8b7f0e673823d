#pragma once

#include "cell/workertokens.h"

#include <memory>
#include <utility>

namespace laburnumspread::cell {

/// Calls processes that replied in place of a worker's former incarnation, for
/// one term.
///
/// The platform's list may show such a process only seconds later, when the
/// store is away. Until it is called under a higher token, it executes starts
/// that were meant for the former incarnation, and a finished task runs again.
/// Its reply shows where it is, so it is called at once; WorkerSessions takes
/// over when it is listed.
template <store::KeyValueStore Store, WorkerClient Client>
class SuccessorCaller {
public:
  /// Calls until one is answered.
  static constexpr int Attempts = 2;

  SuccessorCaller(std::shared_ptr<Term<Store>> T, Client &C)
      : Term_(std::move(T)), Client_(C) {}

  /// Calls the process that replied in place of \p Former. \p Tokens are those
  /// of the term. May wait for the store and the process.
  void call(const WorkerRow &Former, WorkerTokens<Store> &Tokens) {
    WorkerRow Successor;
    Successor.Record_ = Former.Record_;
    for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
      if (!Term_->maySendOrders() || isListedAnew(Former) ||
          !Tokens.ensure(Successor) ||
          !Client_.awaitConnection(Successor.Record_, MaxConnectionWait))
        return;
      const HoldReply Reply =
          Client_.hold(Successor.Record_, Successor.nextPoll(Duration::zero()),
                       Former.Answers_.timeout());
      if (!isUnanswered(Reply.Result_))
        return;
    }
  }

private:
  /// Whether a later incarnation of the worker is listed.
  bool isListedAnew(const WorkerRow &Former) const {
    const WorkerIncarnation &Incarnation = Former.Record_.Incarnation_;
    const auto Next = Term_->Workers_.upper_bound(Incarnation);
    return Next != Term_->Workers_.end() && Next->first.Id_ == Incarnation.Id_;
  }

  std::shared_ptr<Term<Store>> Term_;
  Client &Client_;
};

} // namespace laburnumspread::cell
