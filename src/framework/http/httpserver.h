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

/// One request that a server has read the header of, and the way to answer it.
/// Used by one fiber. Every call that waits is bounded by the server's limits.
class Exchange {
public:
  virtual ~Exchange() = default;

  /// Method, target and header fields; the body is not in it.
  virtual const Request &head() const = 0;

  /// Declared body length; empty for a chunked body.
  virtual std::optional<std::uint64_t> contentLength() const = 0;

  /// Appends the next part of the body to \p Into, at most \p Max bytes.
  /// Returns whether more may follow. Errors: InvalidArgument (malformed),
  /// ResourceExhausted (over the server's body limit), DeadlineExceeded (slow
  /// sender), Unavailable (connection lost).
  virtual absl::StatusOr<bool> readSome(std::string &Into, std::size_t Max) = 0;

  /// Sends a whole answer.
  virtual void reply(const Response &Answer) = 0;

  /// Sends the head of an answer of known length, to be followed by write()
  /// calls, or of unknown length (chunked) when \p Length is empty.
  virtual void beginReply(const Response &Head,
                          std::optional<std::uint64_t> Length) = 0;
  virtual absl::Status write(std::string_view Part) = 0;
  virtual void endReply() = 0;

  /// Closes the connection after the answer, so that the caller's next request
  /// goes elsewhere.
  virtual void closeAfterReply() = 0;

  /// Breaks the connection so that the caller sees an incomplete answer.
  virtual void abort() = 0;

  /// Calls \p Callback once if the caller closes its connection before the
  /// answer has been sent.
  virtual void onCallerDisconnected(std::function<void()> Callback) = 0;
};

struct ServerLimits {
  std::size_t HeaderBytes_ = 8 * 1024;
  std::uint64_t BodyBytes_ = 16 * 1024 * 1024;
  std::size_t Connections_ = 4096;
  /// Time a caller has to send one header, or to send or take one body part.
  clock::Duration IoTimeout_ = std::chrono::seconds(10);
  /// Time a connection may stay open between two requests.
  clock::Duration IdleTimeout_ = std::chrono::minutes(5);
};

/// Accepts connections on the thread's io_context and serves each in a fiber.
class Server {
public:
  using Handler = std::function<void(Exchange &)>;
  /// Makes the answer to a request whose header could not be read.
  using ErrorReply = std::function<Response(int Status, std::string Reason)>;

  Server(boost::asio::io_context &Io, ServerLimits Limits, Handler Handle,
         ErrorReply OnError);
  ~Server();

  /// Binds and starts accepting. Port 0 takes a free one, see port().
  absl::Status listen(const Address &At);
  std::uint16_t port() const;

  /// Stops accepting, closes idle connections; exchanges in flight go on.
  void stopAccepting();

  std::size_t openConnections() const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace laburnumspread::framework::http
