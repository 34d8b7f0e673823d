#pragma once

#include "framework/http/httptypes.h"

#include <functional>
#include <memory>

#include <absl/status/statusor.h>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace laburnumspread::framework::http {

/// Client connection for one exchange at a time, used by one fiber. Methods
/// that return a status fail with DeadlineExceeded after their deadline,
/// ResourceExhausted if the response head is over the limit, and Unavailable
/// for other connection errors.
class Connection {
public:
  static std::shared_ptr<Connection> make(boost::asio::io_context &Io);
  virtual ~Connection() = default;

  /// Connects to \p To. Returns InvalidArgument if the address is malformed.
  virtual absl::Status connect(const Address &To,
                               clock::TimePoint Deadline) = 0;

  /// Sends the head and Body_ of \p Message. The Content-Length is \p Length
  /// bytes; the rest of the body follows through write(). After an error,
  /// bytesSent() tells whether the server may have received anything.
  virtual absl::Status send(const Request &Message, std::uint64_t Length,
                            clock::TimePoint Deadline) = 0;
  virtual absl::Status write(std::string_view Part,
                             clock::TimePoint Deadline) = 0;

  /// Reads the head of the response. Response::Body_ stays empty.
  virtual absl::StatusOr<Response> readHead(clock::TimePoint Deadline) = 0;

  /// Appends the next part of the response body to \p Into, at most \p Max
  /// bytes. Returns whether more may follow. A truncated body is an error.
  virtual absl::StatusOr<bool> readSome(std::string &Into, std::size_t Max,
                                        clock::TimePoint Deadline) = 0;
  /// Content-Length of the response in bytes; empty if it has none.
  virtual std::optional<std::uint64_t> contentLength() const = 0;

  /// Whether any byte of the last request may have been sent.
  virtual bool bytesSent() const = 0;

  /// Whether another exchange may follow on this connection.
  virtual bool reusable() const = 0;

  /// Whether the server has closed the idle connection or sent unsolicited
  /// bytes.
  virtual bool stale() = 0;

  /// Time at which the server last accepted the connection or sent data.
  virtual clock::TimePoint lastReceivedAt() const = 0;

  /// Shuts the connection down; pending operations fail. May be called from any
  /// fiber of the thread.
  virtual void close() = 0;
};

/// HTTP client for one server with a pool of idle connections.
class Client {
public:
  Client(boost::asio::io_context &Io, Address To);
  ~Client();

  /// Sends \p Message and reads the whole response. Returns ResourceExhausted
  /// if its body is larger than \p MaxBody bytes, and Unavailable with a
  /// message that starts with "not sent" if the connection could not be made.
  /// Other errors are those of Connection, after which the request may have
  /// run.
  absl::StatusOr<Response> exchange(const Request &Message,
                                    clock::TimePoint Deadline,
                                    std::size_t MaxBody = 8 * 1024 * 1024);

  /// As above, with separate deadlines: \p HeadDeadline covers connecting,
  /// sending and reading the head of the response. \p PartDeadline is called
  /// before each read of the body and returns the deadline of that read.
  absl::StatusOr<Response>
  exchange(const Request &Message, clock::TimePoint HeadDeadline,
           const std::function<clock::TimePoint()> &PartDeadline,
           std::size_t MaxBody);

  /// Sends \p Message on a new connection and streams the response. \p OnHead
  /// gets the head and returns whether to read the body; \p OnPart gets each
  /// part of the body until it returns false or the response ends. \p ConnectBy
  /// is the deadline up to and including the head, \p PartDeadline returns that
  /// of each read of the body. Errors are those of Connection.
  absl::Status stream(const Request &Message, clock::TimePoint ConnectBy,
                      const std::function<clock::TimePoint()> &PartDeadline,
                      const std::function<bool(const Response &)> &OnHead,
                      const std::function<bool(std::string_view)> &OnPart);

  const Address &address() const { return To_; }

private:
  std::shared_ptr<Connection> takeIdle();

  boost::asio::io_context &Io_;
  Address To_;
  std::vector<std::shared_ptr<Connection>> Idle_;
};

} // namespace laburnumspread::framework::http
