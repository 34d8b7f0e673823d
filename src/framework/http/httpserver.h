#pragma once

#include "framework/http/httptypes.h"

#include <functional>
#include <memory>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace laburnumspread::framework::http {

/// A request whose header a server has read, and the response to it. Used by
/// one fiber. Blocking calls are limited by the timeouts in ServerLimits.
class Exchange {
public:
  virtual ~Exchange() = default;

  /// Method, target and header fields. The body is read with readSome().
  virtual const Request &head() const = 0;

  /// Declared length of the body in bytes; empty for a chunked body.
  virtual std::optional<std::uint64_t> contentLength() const = 0;

  /// Appends the next part of the body to \p Into, at most \p Max bytes.
  /// Returns whether more may follow. Errors: InvalidArgument (malformed body),
  /// ResourceExhausted (over the server's body limit), DeadlineExceeded (slow
  /// sender), Unavailable (connection lost).
  virtual absl::StatusOr<bool> readSome(std::string &Into, std::size_t Max) = 0;

  /// Sends a complete response.
  virtual void reply(const Response &Answer) = 0;

  /// Sends the head of a response whose body follows through write() and
  /// endReply(). \p Length is the length of the body in bytes; if it is empty,
  /// the body is chunked.
  virtual void beginReply(const Response &Head,
                          std::optional<std::uint64_t> Length) = 0;
  /// Sends a part of the body. Returns Unavailable if the connection is lost.
  virtual absl::Status write(std::string_view Part) = 0;
  virtual void endReply() = 0;

  /// Closes the connection after the response, so that the caller's next
  /// request can reach another entry.
  virtual void closeAfterReply() = 0;

  /// Closes the connection without completing the response, so that the caller
  /// sees an error.
  virtual void abort() = 0;

  /// Calls \p Callback once if the caller closes its connection before the
  /// answer has been sent.
  virtual void onCallerDisconnected(std::function<void()> Callback) = 0;
};

struct ServerLimits {
  std::size_t HeaderBytes_ = 8 * 1024;
  std::uint64_t BodyBytes_ = 16 * 1024 * 1024;
  std::size_t Connections_ = 4096;
  /// Timeout for receiving a request header and for each read or write of a
  /// body part.
  clock::Duration IoTimeout_ = std::chrono::seconds(10);
  /// Time after which a connection without a request is closed.
  clock::Duration IdleTimeout_ = std::chrono::minutes(5);
};

/// HTTP server that accepts connections on an io_context and serves each in its
/// own fiber.
class Server {
public:
  using Handler = std::function<void(Exchange &)>;
  /// Creates the response to a request whose header could not be read.
  using ErrorReply = std::function<Response(int Status, std::string Reason)>;

  Server(boost::asio::io_context &Io, ServerLimits Limits, Handler Handle,
         ErrorReply OnError);
  ~Server();

  /// Binds to \p At and starts accepting. Port 0 selects a free port, see
  /// port(). Returns Unavailable if the address cannot be bound.
  absl::Status listen(const Address &At);
  std::uint16_t port() const;

  /// Stops accepting and closes idle connections. Exchanges in progress
  /// continue.
  void stopAccepting();

  std::size_t openConnections() const;

  /// Accepts no further connection while \p Most are open.
  void limitConnections(std::size_t Most);

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace laburnumspread::framework::http
