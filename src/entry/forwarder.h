#pragma once

#include "entry/entrystate.h"
#include "entry/requesttypes.h"
#include "framework/http/httpclient.h"
#include "framework/http/httpserver.h"

#include <map>
#include <memory>

namespace laburnumspread::entry {

enum class ForwardStatus {
  /// The head of the answer has been read.
  Answered,
  /// The endpoint refused the request without starting it.
  Refused,
  /// No byte was sent.
  NotSent,
  /// The request may have run, but no answer arrived.
  Unanswered,
  /// The caller's request body could not be read completely.
  CallerFailed
};

struct ForwardResult {
  ForwardStatus Kind_ = ForwardStatus::NotSent;
  /// Head and first part of the body.
  framework::http::Response Answer_;
  /// Whether the rest of the body must be read from Connection_.
  bool More_ = false;
  std::string Reason_;
  std::shared_ptr<framework::http::Connection> Connection_;
};

/// A request body: the part already read, and the source of the rest.
struct RequestBody {
  std::string Prefix_;
  /// Set if the rest must be streamed from the caller. Such a request cannot be
  /// retried.
  framework::http::Exchange *Rest_ = nullptr;
  std::uint64_t Length_ = 0;
};

/// Bytes of a body that are held in memory. Longer bodies are streamed.
constexpr std::size_t MaxBufferedBodyBytes = 64 * 1024;

/// Forwards requests to endpoints over pooled HTTP connections.
class Forwarder {
public:
  Forwarder(boost::asio::io_context &Io, EntryState &State)
      : Io_(Io), State_(State) {}

  /// Sends the request and reads the head and first part of the answer.
  ForwardResult forward(const WorkRequest &Request, const Placement &Assigned,
                        RequestBody &Body, CancelToken &Cancel);

  /// Returns the connection to the pool if it is reusable.
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
