#pragma once

#include "framework/http/httptypes.h"

#include <functional>
#include <memory>

#include <absl/status/statusor.h>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace laburnumspread::framework::http {

/// One client connection, used for one exchange at a time by one fiber.
class Connection {
public:
  static std::shared_ptr<Connection> make(boost::asio::io_context &Io);
  virtual ~Connection() = default;

  virtual absl::Status connect(const Address &To,
                               clock::TimePoint Deadline) = 0;

  /// Sends the head and Body_, announcing \p Length bytes of body in all (the
  /// rest follows by write()). After an error, bytesSent() tells whether
  /// anything may have left.
  virtual absl::Status send(const Request &Message, std::uint64_t Length,
                            clock::TimePoint Deadline) = 0;
  virtual absl::Status write(std::string_view Part,
                             clock::TimePoint Deadline) = 0;

  /// Reads the head of the answer.
  virtual absl::StatusOr<Response> readHead(clock::TimePoint Deadline) = 0;

  /// Appends the next part of the answer's body, at most \p Max bytes. Returns
  /// whether more may follow; an answer cut short is an error, never an end.
  virtual absl::StatusOr<bool> readSome(std::string &Into, std::size_t Max,
                                        clock::TimePoint Deadline) = 0;
  virtual std::optional<std::uint64_t> contentLength() const = 0;

  virtual bool bytesSent() const = 0;

  /// Whether another exchange may follow on this connection.
  virtual bool reusable() const = 0;

  /// Whether the idle connection has been closed by the other end, or holds
  /// bytes that nobody asked for.
  virtual bool stale() = 0;

  /// Last time the other end was heard on this connection.
  virtual clock::TimePoint lastReceivedAt() const = 0;

  /// Ends all waiting operations with an error. Safe from any fiber.
  virtual void close() = 0;
};

/// Whole small exchanges with one server over kept connections.
class Client {
public:
  Client(boost::asio::io_context &Io, Address To);
  ~Client();

  /// Sends \p Message and reads the whole answer, of at most \p MaxBody bytes;
  /// ResourceExhausted if it is larger.
  /// Unavailable with "not sent" in the message when no byte left.
  absl::StatusOr<Response> exchange(const Request &Message,
                                    clock::TimePoint Deadline,
                                    std::size_t MaxBody = 8 * 1024 * 1024);

  /// As exchange(), with separate deadlines: \p HeadDeadline covers connecting,
  /// sending and reading the head of the answer. \p PartDeadline is called
  /// before each read of the body and returns the deadline of that read.
  absl::StatusOr<Response>
  exchange(const Request &Message, clock::TimePoint HeadDeadline,
           const std::function<clock::TimePoint()> &PartDeadline,
           std::size_t MaxBody);

  /// As exchange(), but hands out the body part by part until \p OnPart
  /// returns false or the answer ends.
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
