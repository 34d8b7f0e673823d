#pragma once

#include "framework/fibers/waiter.h"
#include "framework/http/connectionlimit.h"
#include "framework/http/httptypes.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

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

/// Bounds of the connections of a Client; without any by default.
struct ClientBounds {
  /// Most connections for exchange().
  std::optional<std::size_t> Connections_;
  /// Time after which closeIdle() closes an unused connection.
  clock::Duration MaxIdle_ = std::chrono::hours(1);
};

/// HTTP client for one server with a pool of idle connections.
class Client {
public:
  static constexpr std::size_t DefaultMaxBody = 8 * 1024 * 1024;

  Client(boost::asio::io_context &Io, Address To, ClientBounds Bounds = {});
  ~Client();

  /// Sends \p Message and reads the whole response. Returns ResourceExhausted
  /// if its body is larger than \p MaxBody bytes, and Unavailable with a
  /// message for which wasNotSent() holds if no connection could be made or
  /// none is free, see awaitFree(). Other errors are those of Connection, after
  /// which the request may have run.
  absl::StatusOr<Response> exchange(const Request &Message,
                                    clock::TimePoint Deadline,
                                    std::size_t MaxBody = DefaultMaxBody);

  /// As above, with separate deadlines: \p HeadDeadline covers connecting,
  /// sending and reading the head of the response. \p PartDeadline is called
  /// before each read of the body and returns the deadline of that read.
  absl::StatusOr<Response>
  exchange(const Request &Message, clock::TimePoint HeadDeadline,
           const std::function<clock::TimePoint()> &PartDeadline,
           std::size_t MaxBody);

  /// As above, with a time of its own for the response: a process that is late
  /// goes on long after the connection was made, and what it lost until then
  /// says nothing of the server. \p ReplyDeadline is called when the request is
  /// sent and returns the deadline of the response; a connection has to be made
  /// by \p ConnectBy.
  absl::StatusOr<Response>
  exchange(const Request &Message, clock::TimePoint ConnectBy,
           const std::function<clock::TimePoint()> &ReplyDeadline);

  /// Sends \p Message on a new connection and streams the response. \p OnHead
  /// gets the head and returns whether to read the body; \p OnPart gets each
  /// part of the body until it returns false or the response ends. \p ConnectBy
  /// is the deadline up to and including the head, \p PartDeadline returns that
  /// of each read of the body. Errors are those of Connection.
  absl::Status stream(const Request &Message, clock::TimePoint ConnectBy,
                      const std::function<clock::TimePoint()> &PartDeadline,
                      const std::function<bool(const Response &)> &OnHead,
                      const std::function<bool(std::string_view)> &OnPart);

  /// Waits until exchange() would send a request at once. Returns false if no
  /// connection became free by \p Deadline. The caller then decides on what it
  /// sends, and does so without waiting for anything else.
  bool awaitFree(clock::TimePoint Deadline);

  /// Closes the connections that have been unused for MaxIdle_.
  void closeIdle();

  /// Number of connections for exchange() that are open or being opened.
  std::size_t openConnections() const { return Open_; }

  const Address &address() const { return To_; }

private:
  class Lease;
  struct IdleConnection {
    std::shared_ptr<Connection> Connection_;
    /// On the steady clock.
    clock::TimePoint Since_;
  };
  /// Returns an idle connection that is still usable, or null.
  std::shared_ptr<Connection> takeIdle();
  /// Returns a connection that is free, or one to be opened.
  absl::StatusOr<Lease> lease();
  bool hasFree() const { return !Idle_.empty() || mayHaveOpen(Open_ + 1); }
  /// Keeps a connection for later calls.
  void release(std::shared_ptr<Connection> Conn);
  void releaseClosed();
  void wakeWaiting();
  bool mayHaveOpen(std::size_t Connections) const;
  /// Lets later calls share the open connections if the server reset a new one.
  void recordFailure(const Lease &On, const absl::Status &Error);
  /// Connects the connection if it is new.
  absl::Status connect(Lease &On, clock::TimePoint Deadline);
  /// Sends the request and reads the answer.
  absl::StatusOr<Response>
  call(Lease &On, const Request &Message, clock::TimePoint HeadDeadline,
       const std::function<clock::TimePoint()> &PartDeadline,
       std::size_t MaxBody);
  /// Sends the request on a leased connection, connecting it before if needed,
  /// and reads the answer.
  absl::StatusOr<Response>
  exchangeOnLease(const Request &Message, clock::TimePoint ConnectBy,
                  const std::function<clock::TimePoint()> &HeadDeadline,
                  const std::function<clock::TimePoint()> &PartDeadline,
                  std::size_t MaxBody);
  /// Reads the answer to a request that was sent.
  absl::StatusOr<Response>
  receive(Connection &Conn, clock::TimePoint HeadDeadline,
          const std::function<clock::TimePoint()> &PartDeadline,
          std::size_t MaxBody);

  boost::asio::io_context &Io_;
  Address To_;
  ClientBounds Bounds_;
  std::optional<ConnectionLimit> Limit_;
  std::size_t Open_ = 0;
  /// The one that was used last is at the back.
  std::vector<IdleConnection> Idle_;
  /// Calls of awaitFree(), the one that has waited longest first.
  std::deque<fibers::WaiterPtr> Waiting_;
};

/// Whether an exchange failed before any byte of it was sent, so that it cannot
/// have been executed.
bool wasNotSent(const absl::Status &Error);

} // namespace laburnumspread::framework::http
