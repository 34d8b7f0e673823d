#pragma once

#include "cell/term.h"

#include <utility>

namespace laburnumspread::cell {

/// Gives each incarnation of a worker its fencing token, for one term. Most
/// tokens are known from the journal's writes; the store is asked if nothing
/// was written since the last one of the worker's id.
template <store::KeyValueStore Store> class WorkerTokens {
public:
  /// Time until a session looks again for the token that another one requests.
  static constexpr Duration RequestPause = std::chrono::milliseconds(5);

  explicit WorkerTokens(std::shared_ptr<Term<Store>> T) : Term_(std::move(T)) {}

  /// Gives the incarnation its token. Returns whether it has one; nothing may
  /// be sent to it before. May wait for the store.
  bool ensure(WorkerRow &Row) {
    if (assign(Row))
      return true;
    if (std::exchange(Requesting_, true)) {
      framework::fibers::sleepFor(RequestPause);
      return assign(Row);
    }
    const absl::Status Written = Term_->Log_.writeFence();
    Requesting_ = false;
    if (!Written.ok())
      framework::log::warning("worker.no_token")
          .field("worker", Row.Record_.Incarnation_.Id_.str())
          .field("reason", std::string(Written.message()));
    return !Term_->ended() && assign(Row);
  }

private:
  bool assign(WorkerRow &Row) const {
    if (Row.Token_.value() == 0)
      Row.Token_ = Term_->History_
                       .assignToken(Row.Record_.Incarnation_.Id_,
                                    Term_->Log_.newestToken())
                       .value_or(jobs::FencingToken());
    return Row.Token_.value() != 0;
  }

  std::shared_ptr<Term<Store>> Term_;
  /// Whether a session is asking the store.
  bool Requesting_ = false;
};

} // namespace laburnumspread::cell
