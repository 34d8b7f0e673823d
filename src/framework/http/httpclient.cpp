#include "framework/http/httpclient.h"

#include "framework/clock/steadyclock.h"
#include "framework/fibers/await.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace laburnumspread::framework::http {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::asio::ip::tcp;
using fibers::await;
using fibers::IoOutcome;

namespace {

constexpr std::size_t MaxResponseHeaderBytes = 16 * 1024;
/// Room for the head and the body of a usual response, so that one read takes
/// both.
constexpr std::size_t HeadBufferBytes = 2 * 1024;
/// Most bytes that one read takes of a body that is read whole, and of one that
/// is streamed: an entry may stream thousands at a time.
constexpr std::size_t BodyPartBytes = 64 * 1024;
constexpr std::size_t StreamPartBytes = 16 * 1024;

/// TCP_USER_TIMEOUT: closes a connection whose data stays unacknowledged for
/// this long. A network path that silently drops packets reports no error, and
/// without this limit the kernel would retransmit for about 15 minutes.
constexpr unsigned TcpUserTimeoutMs = 5000;

/// A connection that brought data this recently is used without a look at its
/// socket, which costs a system call for each request.
constexpr clock::Duration ProvenAliveFor = std::chrono::milliseconds(100);

/// Begins the message of an error before anything was sent.
constexpr std::string_view NotSent = "not sent";

std::chrono::steady_clock::time_point toSteady(clock::TimePoint Deadline) {
  return std::chrono::steady_clock::now() +
         (Deadline - clock::SystemClock().now());
}

absl::Status toStatus(const beast::error_code &Error, std::string_view What) {
  std::string Text = std::string(What) + ": " + Error.message();
  if (Error == beast::error::timeout)
    return absl::DeadlineExceededError(Text);
  if (Error == bhttp::error::body_limit || Error == bhttp::error::header_limit)
    return absl::ResourceExhaustedError(Text);
  return absl::UnavailableError(Text);
}

/// Adds the number of body bytes received to \p Error, to distinguish a body
/// that stalled from one that never started.
absl::Status bodyReadError(const absl::Status &Error, std::size_t Bytes) {
  return {Error.code(), std::string(Error.message()) + " after " +
                            std::to_string(Bytes) + " bytes"};
}

class TcpConnection final : public Connection {
public:
  explicit TcpConnection(boost::asio::io_context &Io) : Stream_(Io) {}

  absl::Status connect(const Address &To, clock::TimePoint Deadline) override {
    beast::error_code Error;
    const tcp::endpoint Endpoint(boost::asio::ip::make_address(To.Ip_, Error),
                                 To.Port_);
    if (Error)
      return absl::InvalidArgumentError("bad address " + To.str());
    Stream_.expires_at(toSteady(Deadline));
    const IoOutcome Outcome =
        await([&](auto Done) { Stream_.async_connect(Endpoint, Done); });
    if (Outcome.Error_)
      return toStatus(Outcome.Error_, "connect to " + To.str());
    setOptions();
    noteReceived();
    return absl::OkStatus();
  }

  absl::Status send(const Request &Message, std::uint64_t Length,
                    clock::TimePoint Deadline) override {
    Parser_.emplace();
    Parser_->header_limit(MaxResponseHeaderBytes);
    Parser_->body_limit(boost::none);
    BytesSent_ = false;
    Finished_ = false;
    bhttp::request<bhttp::empty_body> Head;
    Head.version(11);
    Head.method_string(Message.Method_);
    Head.target(Message.Target_);
    for (const Header &Field : Message.Headers_.all())
      Head.set(Field.Name_, Field.Value_);
    if (Length > 0 || Message.Method_ != "GET")
      Head.content_length(Length);
    return sendHead(Head, Message.Body_, Deadline);
  }

  absl::Status write(std::string_view Part,
                     clock::TimePoint Deadline) override {
    Stream_.expires_at(toSteady(Deadline));
    const IoOutcome Outcome = await([&](auto Done) {
      boost::asio::async_write(
          Stream_, boost::asio::const_buffer(Part.data(), Part.size()), Done);
    });
    if (Outcome.Error_)
      return toStatus(Outcome.Error_, "send body");
    return absl::OkStatus();
  }

  absl::StatusOr<Response> readHead(clock::TimePoint Deadline) override {
    Buffer_.reserve(HeadBufferBytes);
    Stream_.expires_at(toSteady(Deadline));
    const IoOutcome Outcome = await([&](auto Done) {
      bhttp::async_read_header(Stream_, Buffer_, *Parser_, Done);
    });
    if (Outcome.Error_)
      return toStatus(Outcome.Error_, "read response head");
    noteReceived();
    Response Answer;
    Answer.Status_ = static_cast<int>(Parser_->get().result_int());
    for (const auto &Field : Parser_->get())
      Answer.Headers_.add(
          std::string_view(Field.name_string().data(),
                           Field.name_string().size()),
          std::string_view(Field.value().data(), Field.value().size()));
    Finished_ = Parser_->is_done();
    return Answer;
  }

  absl::StatusOr<bool> readSome(std::string &Into, std::size_t Max,
                                clock::TimePoint Deadline) override {
    if (Parser_->is_done())
      return false;
    const std::size_t Before = Into.size();
    const std::size_t Part = static_cast<std::size_t>(std::min<std::uint64_t>(
        Max, Parser_->content_length_remaining().value_or(Max)));
    Into.resize(Before + Part);
    auto &Body = Parser_->get().body();
    Body.data = Into.data() + Before;
    Body.size = Part;
    Body.more = true;
    IoOutcome Outcome;
    if (!parseBuffered(Outcome.Error_)) {
      // A read takes no more than the buffer has room for, 512 bytes at first,
      // and each read waits for all fibers that are ready.
      Buffer_.reserve(Part);
      Stream_.expires_at(toSteady(Deadline));
      Outcome = await([&](auto Done) {
        bhttp::async_read_some(Stream_, Buffer_, *Parser_, Done);
      });
    }
    Into.resize(Before + Part - Body.size);
    if (Outcome.Error_ && Outcome.Error_ != bhttp::error::need_buffer)
      return toStatus(Outcome.Error_, "read response body");
    noteReceived();
    Finished_ = Parser_->is_done();
    if (Finished_)
      releaseLargeBuffer();
    return !Finished_;
  }

  std::optional<std::uint64_t> contentLength() const override {
    if (auto Length = Parser_->content_length())
      return *Length;
    return std::nullopt;
  }

  bool bytesSent() const override { return BytesSent_; }

  bool reusable() const override {
    return Finished_ && Stream_.socket().is_open() && Parser_->keep_alive() &&
           Buffer_.size() == 0;
  }

  bool stale() override {
    char Byte;
    beast::error_code Error;
    Stream_.socket().receive(boost::asio::buffer(&Byte, 1),
                             tcp::socket::message_peek, Error);
    // Unsolicited bytes would be read as the response to the next request.
    return Error != boost::asio::error::would_block;
  }

  clock::TimePoint lastReceivedAt() const override { return LastReceivedAt_; }

  void close() override {
    beast::error_code Ignored;
    Stream_.socket().cancel(Ignored);
    Stream_.socket().shutdown(tcp::socket::shutdown_both, Ignored);
    Finished_ = false;
  }

private:
  absl::Status sendHead(bhttp::request<bhttp::empty_body> &Head,
                        std::string_view Body, clock::TimePoint Deadline) {
    bhttp::request_serializer<bhttp::empty_body> Serializer(Head);
    Serializer.split(true);
    std::string Bytes;
    beast::error_code Error;
    Serializer.next(Error, [&](beast::error_code &, const auto &Buffers) {
      Bytes = beast::buffers_to_string(Buffers);
    });
    // Send head and body together: one system call, and the body does not wait
    // for the acknowledgement of the head.
    Bytes += Body;
    // The socket nearly always takes a small request at once. Only what it does
    // not take needs a timer and a change of fibers.
    const std::size_t Taken =
        Stream_.socket().write_some(boost::asio::buffer(Bytes), Error);
    BytesSent_ = Taken > 0;
    if (Error && Error != boost::asio::error::would_block)
      return toStatus(Error, "send request");
    if (Taken == Bytes.size())
      return absl::OkStatus();
    Stream_.expires_at(toSteady(Deadline));
    const IoOutcome Outcome = await([&](auto Done) {
      boost::asio::async_write(Stream_, boost::asio::buffer(Bytes) + Taken,
                               Done);
    });
    BytesSent_ = BytesSent_ || Outcome.Bytes_ > 0;
    if (Outcome.Error_)
      return toStatus(Outcome.Error_, "send request");
    return absl::OkStatus();
  }

  /// Parses body bytes that arrived with earlier ones. Returns whether there
  /// were any.
  bool parseBuffered(beast::error_code &Error) {
    if (Buffer_.size() == 0)
      return false;
    const std::size_t Parsed = Parser_->put(Buffer_.data(), Error);
    Buffer_.consume(Parsed);
    if (Error == bhttp::error::need_more)
      Error = {};
    return Parsed > 0 || Error;
  }

  /// A leader has thousands of connections, most of them with small responses.
  void releaseLargeBuffer() {
    if (Buffer_.size() == 0 && Buffer_.capacity() > HeadBufferBytes)
      Buffer_.shrink_to_fit();
  }

  void setOptions() {
    beast::error_code Ignored;
    Stream_.socket().non_blocking(true, Ignored);
    Stream_.socket().set_option(tcp::no_delay(true), Ignored);
    const boost::asio::detail::socket_option::integer<IPPROTO_TCP,
                                                      TCP_USER_TIMEOUT>
        UserTimeout(TcpUserTimeoutMs);
    Stream_.socket().set_option(UserTimeout, Ignored);
  }

  void noteReceived() { LastReceivedAt_ = clock::SystemClock().now(); }

  beast::tcp_stream Stream_;
  beast::flat_buffer Buffer_;
  std::optional<bhttp::response_parser<bhttp::buffer_body>> Parser_;
  clock::TimePoint LastReceivedAt_{};
  bool BytesSent_ = false;
  bool Finished_ = false;
};

} // namespace

std::shared_ptr<Connection> Connection::make(boost::asio::io_context &Io) {
  return std::make_shared<TcpConnection>(Io);
}

bool wasNotSent(const absl::Status &Error) {
  const absl::string_view Text = Error.message();
  return std::string_view(Text.data(), Text.size()).starts_with(NotSent);
}

/// The right to use one connection of a client, which is given back at the end.
class Client::Lease {
public:
  Lease(Client &From, std::shared_ptr<Connection> Conn)
      : From_(&From), Connection_(std::move(Conn)),
        IsNew_(Connection_ == nullptr) {
    if (IsNew_)
      Connection_ = Connection::make(From.Io_);
  }
  Lease(Lease &&Other) noexcept
      : From_(std::exchange(Other.From_, nullptr)),
        Connection_(std::move(Other.Connection_)), IsNew_(Other.IsNew_) {}
  Lease(const Lease &) = delete;
  Lease &operator=(const Lease &) = delete;
  Lease &operator=(Lease &&) = delete;
  ~Lease() {
    if (!From_)
      return;
    if (Answered_ && Connection_->reusable()) {
      From_->release(std::move(Connection_));
      return;
    }
    Connection_.reset();
    From_->releaseClosed();
  }

  Connection &connection() { return *Connection_; }
  /// Whether it has not been connected yet.
  bool isNew() const { return IsNew_; }
  /// Allows the connection to be used again.
  void setAnswered() { Answered_ = true; }

private:
  Client *From_;
  std::shared_ptr<Connection> Connection_;
  bool IsNew_;
  bool Answered_ = false;
};

Client::Client(boost::asio::io_context &Io, Address To, ClientBounds Bounds)
    : Io_(Io), To_(std::move(To)), Bounds_(Bounds) {
  if (Bounds.Connections_)
    Limit_.emplace(*Bounds.Connections_);
}

Client::~Client() = default;

std::shared_ptr<Connection> Client::takeIdle() {
  while (!Idle_.empty()) {
    auto Candidate = std::move(Idle_.back().Connection_);
    Idle_.pop_back();
    const clock::Duration Idle =
        clock::SystemClock().now() - Candidate->lastReceivedAt();
    // The clock may have been set back meanwhile.
    const bool ProvenAlive =
        Idle >= clock::Duration::zero() && Idle < ProvenAliveFor;
    if (ProvenAlive || !Candidate->stale())
      return Candidate;
    --Open_;
  }
  return nullptr;
}

absl::StatusOr<Client::Lease> Client::lease() {
  if (auto Conn = takeIdle())
    return Lease(*this, std::move(Conn));
  if (!mayHaveOpen(Open_ + 1))
    return absl::UnavailableError(std::string(NotSent) +
                                  ": no connection is free");
  ++Open_;
  return Lease(*this, nullptr);
}

bool Client::awaitFree(clock::TimePoint Deadline) {
  while (!hasFree()) {
    const auto Ready = std::make_shared<fibers::Waiter>();
    Waiting_.push_back(Ready);
    if (!Ready->waitUntil(Deadline)) {
      std::erase(Waiting_, Ready);
      return hasFree();
    }
  }
  return true;
}

void Client::release(std::shared_ptr<Connection> Conn) {
  Idle_.push_back({std::move(Conn), clock::SteadyClock().now()});
  wakeWaiting();
}

void Client::releaseClosed() {
  --Open_;
  wakeWaiting();
}

// A woken caller may have nothing to send any more, so all are woken: those
// that come too late wait again, in their order.
void Client::wakeWaiting() {
  for (const fibers::WaiterPtr &Item : std::exchange(Waiting_, {}))
    Item->signal();
}

void Client::closeIdle() {
  const clock::TimePoint Until = clock::SteadyClock().now() - Bounds_.MaxIdle_;
  Open_ -= std::erase_if(Idle_, [Until](const IdleConnection &Item) {
    return Item.Since_ <= Until;
  });
}

bool Client::mayHaveOpen(std::size_t Connections) const {
  return !Limit_ || Connections <= Limit_->at(clock::SteadyClock().now());
}

void Client::recordFailure(const Lease &On, const absl::Status &Error) {
  if (Limit_ && On.isNew() && absl::IsUnavailable(Error))
    Limit_->recordReset(Open_ - 1, clock::SteadyClock().now());
}

absl::Status Client::connect(Lease &On, clock::TimePoint Deadline) {
  if (!On.isNew())
    return absl::OkStatus();
  absl::Status Status = On.connection().connect(To_, Deadline);
  if (Status.ok())
    return Status;
  recordFailure(On, Status);
  return absl::UnavailableError(std::string(NotSent) + ": " +
                                std::string(Status.message()));
}

absl::StatusOr<Response>
Client::call(Lease &On, const Request &Message, clock::TimePoint HeadDeadline,
             const std::function<clock::TimePoint()> &PartDeadline,
             std::size_t MaxBody) {
  Connection &Conn = On.connection();
  if (absl::Status Sent =
          Conn.send(Message, Message.Body_.size(), HeadDeadline);
      !Sent.ok())
    return Sent;
  return receive(Conn, HeadDeadline, PartDeadline, MaxBody);
}

absl::StatusOr<Response> Client::exchange(const Request &Message,
                                          clock::TimePoint Deadline,
                                          std::size_t MaxBody) {
  return exchange(
      Message, Deadline, [Deadline] { return Deadline; }, MaxBody);
}

absl::StatusOr<Response>
Client::exchange(const Request &Message, clock::TimePoint HeadDeadline,
                 const std::function<clock::TimePoint()> &PartDeadline,
                 std::size_t MaxBody) {
  return exchangeOnLease(
      Message, HeadDeadline, [HeadDeadline] { return HeadDeadline; },
      PartDeadline, MaxBody);
}

absl::StatusOr<Response>
Client::exchange(const Request &Message, clock::TimePoint ConnectBy,
                 const std::function<clock::TimePoint()> &ReplyDeadline) {
  clock::TimePoint ReplyBy{};
  return exchangeOnLease(
      Message, ConnectBy, [&] { return ReplyBy = ReplyDeadline(); },
      [&] { return ReplyBy; }, DefaultMaxBody);
}

absl::StatusOr<Response>
Client::exchangeOnLease(const Request &Message, clock::TimePoint ConnectBy,
                        const std::function<clock::TimePoint()> &HeadDeadline,
                        const std::function<clock::TimePoint()> &PartDeadline,
                        std::size_t MaxBody) {
  absl::StatusOr<Lease> On = lease();
  if (!On.ok())
    return On.status();
  if (!isSendable(Message))
    return absl::UnavailableError(std::string(NotSent) +
                                  ": the target or a header field holds a "
                                  "character that HTTP does not allow");
  if (absl::Status Status = connect(*On, ConnectBy); !Status.ok())
    return Status;
  absl::StatusOr<Response> Answer =
      call(*On, Message, HeadDeadline(), PartDeadline, MaxBody);
  if (Answer.ok())
    On->setAnswered();
  else if (!wasNotSent(Answer.status()))
    recordFailure(*On, Answer.status());
  return Answer;
}

absl::StatusOr<Response>
Client::receive(Connection &Conn, clock::TimePoint HeadDeadline,
                const std::function<clock::TimePoint()> &PartDeadline,
                std::size_t MaxBody) {
  absl::StatusOr<Response> Answer = Conn.readHead(HeadDeadline);
  if (!Answer.ok())
    return Answer.status();
  if (Conn.contentLength().value_or(0) > MaxBody)
    return absl::ResourceExhaustedError("response is too large");
  for (bool More = true; More;) {
    if (Answer->Body_.size() > MaxBody)
      return absl::ResourceExhaustedError("response is too large");
    absl::StatusOr<bool> Next =
        Conn.readSome(Answer->Body_, BodyPartBytes, PartDeadline());
    if (!Next.ok())
      return bodyReadError(Next.status(), Answer->Body_.size());
    More = *Next;
  }
  return Answer;
}

absl::Status
Client::stream(const Request &Message, clock::TimePoint ConnectBy,
               const std::function<clock::TimePoint()> &PartDeadline,
               const std::function<bool(const Response &)> &OnHead,
               const std::function<bool(std::string_view)> &OnPart) {
  auto Conn = Connection::make(Io_);
  if (absl::Status Status = Conn->connect(To_, ConnectBy); !Status.ok())
    return Status;
  if (absl::Status Status =
          Conn->send(Message, Message.Body_.size(), ConnectBy);
      !Status.ok())
    return Status;
  absl::StatusOr<Response> Head = Conn->readHead(ConnectBy);
  if (!Head.ok())
    return Head.status();
  if (!OnHead(*Head))
    return absl::OkStatus();
  std::string Part;
  for (bool More = true; More;) {
    Part.clear();
    absl::StatusOr<bool> Next =
        Conn->readSome(Part, StreamPartBytes, PartDeadline());
    if (!Next.ok())
      return Next.status();
    if (!Part.empty() && !OnPart(Part))
      break;
    More = *Next;
  }
  return absl::OkStatus();
}

} // namespace laburnumspread::framework::http
