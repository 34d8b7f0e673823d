#pragma once

#include "entry/entrystate.h"
#include "entry/requesttypes.h"
#include "framework/http/httpclient.h"
#include "framework/http/httpserver.h"

#include <map>
#include <memory>

namespace laburnumspread::entry {

enum class ForwardStatus {
  /// The head of an answer has been read.
  Answered,
  /// The endpoint refused before it started.
  Refused,
  /// No byte has left.
  NotSent,
  /// It may have run; no answer came.
  Unanswered,
  /// The caller's own body could not be read to its end.
  CallerFailed
};

struct ForwardResult {
  ForwardStatus Kind_ = ForwardStatus::NotSent;
  /// Head and the first part of the body.
  framework::http::Response Answer_;
  /// Whether more of the body is to be read from Connection_.
  bool More_ = false;
  std::string Reason_;
  std::shared_ptr<framework::http::Connection> Connection_;
};

/// A request's body: what has been read of it, and the rest.
struct RequestBody {
  std::string Prefix_;
  /// Set if more is to be read from the caller; then a second try is not
  /// possible.
  framework::http::Exchange *Rest_ = nullptr;
  std::uint64_t Length_ = 0;
};

/// Bytes of a body that are held in memory; what is longer streams through.
constexpr std::size_t MaxBufferedBodyBytes = 64 * 1024;

/// Carries requests to endpoints over kept connections.
class Forwarder {
public:
  Forwarder(boost::asio::io_context &Io, EntryState &State)
      : Io_(Io), State_(State) {}

  /// Sends the request and reads the first part of the answer.
  ForwardResult forward(const WorkRequest &Request, const Placement &At,
                        RequestBody &Body, CancelToken &Cancel);

  /// Keeps the connection for later if it can be used again.
  void releaseConnection(const std::string &Address,
                         std::shared_ptr<framework::http::Connection> Conn);

  std::size_t idleConnections() const;

private:
  using ConnectionPtr = std::shared_ptr<framework::http::Connection>;

  ConnectionPtr takeIdleConnection(const std::string &Address, bool Repeatable);
  absl::StatusOr<ConnectionPtr> connect(const std::string &Address,
                                        TimePoint Deadline);
  framework::http::Request buildRequest(const WorkRequest &Request,
                                        const RequestBody &Body) const;
  absl::Status sendRemainingBody(framework::http::Connection &Conn,
                                 RequestBody &Body, TimePoint Deadline,
                                 bool &CallerFailed);
  void readAnswer(ForwardResult &Result, TimePoint Deadline);

  boost::asio::io_context &Io_;
  EntryState &State_;
  std::map<std::string, std::vector<ConnectionPtr>> Idle_;
};

} // namespace laburnumspread::entry
