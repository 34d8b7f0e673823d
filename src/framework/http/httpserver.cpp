#include "framework/http/httpserver.h"

#include "framework/fibers/await.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"

#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/version.hpp>

namespace laburnumspread::framework::http {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using boost::asio::ip::tcp;
using fibers::await;
using fibers::IoOutcome;

namespace {

constexpr std::size_t ReadBufferBytes = 8 * 1024;

/// Pause after a failed accept, for example when out of file descriptors, so
/// that the accept loop does not spin.
constexpr clock::Duration AcceptRetryPause = std::chrono::milliseconds(100);

absl::Status bodyError(const beast::error_code &Error) {
  if (Error == bhttp::error::body_limit)
    return absl::ResourceExhaustedError("body is larger than the limit");
  if (Error == beast::error::timeout)
    return absl::DeadlineExceededError("body was not sent in time");
  if (Error == bhttp::error::end_of_stream ||
      Error == bhttp::error::partial_message ||
      Error == boost::asio::error::connection_reset)
    return absl::UnavailableError("connection lost while reading the body");
  return absl::InvalidArgumentError("malformed body: " + Error.message());
}

} // namespace

/// An accepted connection. Its fiber and its pending operations keep it alive.
class ServerSession final : public Exchange,
                            public std::enable_shared_from_this<ServerSession> {
public:
  ServerSession(tcp::socket Socket, const ServerLimits &Limits)
      : Stream_(std::move(Socket)), Timer_(Stream_.get_executor()),
        Limits_(Limits), Buffer_(Limits.HeaderBytes_ + ReadBufferBytes) {}

  /// Serves requests until the connection ends or \p Stopping is set.
  void run(const Server::Handler &Handle, const Server::ErrorReply &OnError,
           const bool &Stopping) {
    while (!Broken_ && !Stopping) {
      if (!readHeader(OnError))
        break;
      Handle(*this);
      if (!Answered_)
        abort();
      finishExchange();
    }
    beast::error_code Ignored;
    Stream_.shutdown(tcp::socket::shutdown_send, Ignored);
    Stream_.close();
  }

  void closeIfIdle() {
    if (Idle_)
      Stream_.cancel();
  }

  const Request &head() const override { return Head_; }

  std::optional<std::uint64_t> contentLength() const override {
    if (auto Length = Parser_->content_length())
      return *Length;
    if (Parser_->chunked())
      return std::nullopt;
    return 0;
  }

  absl::StatusOr<bool> readSome(std::string &Into, std::size_t Max) override {
    if (Parser_->is_done())
      return false;
    if (ExpectsContinue_ && !sendContinue())
      return absl::UnavailableError("connection lost");
    const std::size_t Before = Into.size();
    Into.resize(Before + Max);
    auto &Body = Parser_->get().body();
    Body.data = Into.data() + Before;
    Body.size = Max;
    IoOutcome Outcome = timed(Limits_.IoTimeout_, [&](auto Done) {
      bhttp::async_read_some(Stream_, Buffer_, *Parser_, Done);
    });
    Into.resize(Before + Max - Body.size);
    if (Outcome.Error_ == bhttp::error::need_buffer)
      Outcome.Error_ = {};
    if (Outcome.Error_) {
      Broken_ = Outcome.Error_ != bhttp::error::body_limit;
      KeepAlive_ = false;
      return bodyError(Outcome.Error_);
    }
    return !Parser_->is_done();
  }

  void reply(const Response &Answer) override {
    bhttp::response<bhttp::string_body> Message;
    fillHead(Message, Answer);
    Message.body() = Answer.Body_;
    Message.prepare_payload();
    Answered_ = true;
    const IoOutcome Outcome = timed(Limits_.IoTimeout_, [&](auto Done) {
      bhttp::async_write(Stream_, Message, Done);
    });
    recordWriteResult(Outcome.Error_);
  }

  void beginReply(const Response &Head,
                  std::optional<std::uint64_t> Length) override {
    Streaming_.emplace();
    fillHead(*Streaming_, Head);
    Chunked_ = !Length.has_value();
    if (Length)
      Streaming_->content_length(*Length);
    else
      Streaming_->chunked(true);
    Answered_ = true;
    bhttp::response_serializer<bhttp::empty_body> Serializer(*Streaming_);
    const IoOutcome Outcome = timed(Limits_.IoTimeout_, [&](auto Done) {
      bhttp::async_write_header(Stream_, Serializer, Done);
    });
    recordWriteResult(Outcome.Error_);
  }

  absl::Status write(std::string_view Part) override {
    if (Broken_)
      return absl::UnavailableError("connection lost");
    if (Part.empty())
      return absl::OkStatus();
    const boost::asio::const_buffer Data(Part.data(), Part.size());
    const IoOutcome Outcome = timed(Limits_.IoTimeout_, [&](auto Done) {
      if (Chunked_)
        boost::asio::async_write(Stream_, bhttp::make_chunk(Data), Done);
      else
        boost::asio::async_write(Stream_, Data, Done);
    });
    recordWriteResult(Outcome.Error_);
    return Broken_ ? absl::UnavailableError("connection lost")
                   : absl::OkStatus();
  }

  void endReply() override {
    if (!Chunked_ || Broken_)
      return;
    const IoOutcome Outcome = timed(Limits_.IoTimeout_, [&](auto Done) {
      boost::asio::async_write(Stream_, bhttp::make_chunk_last(), Done);
    });
    recordWriteResult(Outcome.Error_);
  }

  void closeAfterReply() override { KeepAlive_ = false; }

  void abort() override {
    Broken_ = true;
    Answered_ = true;
    Stream_.close();
  }

  void onCallerDisconnected(std::function<void()> Callback) override {
    OnCallerDisconnected_ = std::move(Callback);
    if (OnCallerDisconnected_)
      watchForClose();
  }

private:
  /// Runs an operation with a timeout of \p Time. After the timeout the
  /// operation is cancelled, but the connection stays open so that an error
  /// response can still be sent.
  template <typename StartFn>
  IoOutcome timed(clock::Duration Time, StartFn &&Start) {
    const std::uint64_t OperationId = ++CurrentOperation_;
    TimedOut_ = false;
    Timer_.expires_after(Time);
    Timer_.async_wait([Self = shared_from_this(),
                       OperationId](const beast::error_code &Error) {
      if (Error || OperationId != Self->CurrentOperation_)
        return;
      Self->TimedOut_ = true;
      beast::error_code Ignored;
      Self->Stream_.cancel(Ignored);
    });
    IoOutcome Outcome = await(std::forward<StartFn>(Start));
    ++CurrentOperation_;
    Timer_.cancel();
    if (TimedOut_ && Outcome.Error_)
      Outcome.Error_ = beast::error::timeout;
    return Outcome;
  }

  bool readHeader(const Server::ErrorReply &OnError) {
    Parser_.emplace();
    Parser_->header_limit(Limits_.HeaderBytes_);
    Parser_->body_limit(Limits_.BodyBytes_);
    Answered_ = false;
    ++CurrentExchange_;
    if (!waitForFirstByte())
      return false;
    const IoOutcome Outcome = timed(Limits_.IoTimeout_, [&](auto Done) {
      bhttp::async_read_header(Stream_, Buffer_, *Parser_, Done);
    });
    if (Outcome.Error_)
      return replyToBadHeader(Outcome.Error_, OnError);
    captureHead();
    return true;
  }

  /// Waits for the next request with the buffer shrunk, so that an idle
  /// connection uses little memory besides its fiber.
  bool waitForFirstByte() {
    if (Buffer_.size() > 0)
      return true;
    Buffer_.shrink_to_fit();
    Idle_ = true;
    // A read of zero bytes would complete at once, so read a small part.
    const IoOutcome Outcome = timed(Limits_.IdleTimeout_, [&](auto Done) {
      Stream_.async_read_some(Buffer_.prepare(FirstReadBytes), Done);
    });
    Idle_ = false;
    Buffer_.commit(Outcome.Bytes_);
    return !Outcome.Error_;
  }

  bool replyToBadHeader(const beast::error_code &Error,
                        const Server::ErrorReply &OnError) {
    KeepAlive_ = false;
    if (Error == bhttp::error::header_limit ||
        Error == bhttp::error::buffer_overflow)
      reply(OnError(431, "header is larger than the limit of " +
                             std::to_string(Limits_.HeaderBytes_) + " bytes"));
    else if (Error == beast::error::timeout)
      reply(OnError(408, "header was not sent in time"));
    else if (Error == bhttp::error::body_limit)
      reply(OnError(413, "body is larger than the limit of " +
                             std::to_string(Limits_.BodyBytes_) + " bytes"));
    else if (Error != bhttp::error::end_of_stream &&
             Error.category() ==
                 bhttp::make_error_code(bhttp::error::bad_method).category())
      reply(OnError(400, "malformed header: " + Error.message()));
    drainInput();
    return false;
  }

  void captureHead() {
    const auto &Message = Parser_->get();
    Head_ = Request();
    Head_.Method_ = std::string(Message.method_string());
    Head_.Target_ = std::string(Message.target());
    for (const auto &Field : Message)
      Head_.Headers_.add(
          std::string_view(Field.name_string().data(),
                           Field.name_string().size()),
          std::string_view(Field.value().data(), Field.value().size()));
    KeepAlive_ = Message.keep_alive();
    ExpectsContinue_ =
        beast::iequals(Message[bhttp::field::expect], "100-continue");
  }

  bool sendContinue() {
    ExpectsContinue_ = false;
    bhttp::response<bhttp::empty_body> Interim(bhttp::status::continue_, 11);
    const IoOutcome Outcome = timed(Limits_.IoTimeout_, [&](auto Done) {
      bhttp::async_write(Stream_, Interim, Done);
    });
    recordWriteResult(Outcome.Error_);
    return !Broken_;
  }

  template <typename Message>
  void fillHead(Message &Into, const Response &From) {
    Into.version(11);
    Into.result(static_cast<unsigned>(From.Status_));
    for (const Header &Field : From.Headers_.all())
      Into.set(Field.Name_, Field.Value_);
    // On a kept connection, an unread body would be parsed as the next request.
    if (!Parser_->is_done())
      KeepAlive_ = false;
    Into.keep_alive(KeepAlive_);
  }

  void recordWriteResult(const beast::error_code &Error) {
    if (Error)
      Broken_ = true;
  }

  void finishExchange() {
    OnCallerDisconnected_ = nullptr;
    if (!Broken_ && !KeepAlive_) {
      drainInput();
      Broken_ = true;
    }
  }

  /// Reads and discards further input, up to MaxDrainBytes and with at most
  /// DrainTime for each read. Closing a socket with unread input makes the
  /// kernel reset the connection, and the caller would lose the response that
  /// was just sent.
  void drainInput() {
    if (Broken_)
      return;
    beast::error_code Ignored;
    Stream_.shutdown(tcp::socket::shutdown_send, Ignored);
    std::size_t Drained = 0;
    std::array<char, 4096> Discarded;
    while (Drained < MaxDrainBytes) {
      const IoOutcome Outcome = timed(DrainTime, [&](auto Done) {
        Stream_.async_read_some(boost::asio::buffer(Discarded), Done);
      });
      if (Outcome.Error_)
        return;
      Drained += Outcome.Bytes_;
    }
  }

  void watchForClose() {
    auto Self = shared_from_this();
    const std::uint64_t ExchangeId = CurrentExchange_;
    Stream_.async_wait(
        tcp::socket::wait_read,
        [Self, ExchangeId](const beast::error_code &Error) {
          if (Error || ExchangeId != Self->CurrentExchange_ ||
              !Self->OnCallerDisconnected_)
            return;
          char Byte;
          beast::error_code PeekError;
          Self->Stream_.non_blocking(true, PeekError);
          Self->Stream_.receive(boost::asio::buffer(&Byte, 1),
                                tcp::socket::message_peek, PeekError);
          // Input is a pipelined request and not a disconnect: stop watching.
          if (!PeekError || PeekError == boost::asio::error::would_block)
            return;
          auto Callback = std::move(Self->OnCallerDisconnected_);
          Self->OnCallerDisconnected_ = nullptr;
          Callback();
        });
  }

  static constexpr std::size_t FirstReadBytes = 2048;
  static constexpr std::size_t MaxDrainBytes = 1024 * 1024;
  static constexpr clock::Duration DrainTime = std::chrono::milliseconds(500);

  tcp::socket Stream_;
  boost::asio::steady_timer Timer_;
  std::uint64_t CurrentOperation_ = 0;
  bool TimedOut_ = false;
  const ServerLimits &Limits_;
  beast::flat_buffer Buffer_;
  std::optional<bhttp::request_parser<bhttp::buffer_body>> Parser_;
  std::optional<bhttp::response<bhttp::empty_body>> Streaming_;
  Request Head_;
  std::function<void()> OnCallerDisconnected_;
  std::uint64_t CurrentExchange_ = 0;
  bool KeepAlive_ = false;
  bool ExpectsContinue_ = false;
  bool Answered_ = false;
  bool Broken_ = false;
  bool Chunked_ = false;
  bool Idle_ = false;
};

struct Server::State : std::enable_shared_from_this<Server::State> {
  State(boost::asio::io_context &Io, ServerLimits Limits, Handler Handle,
        ErrorReply OnError)
      : Acceptor_(Io), Limits_(Limits), Handle_(std::move(Handle)),
        OnError_(std::move(OnError)) {}

  void acceptLoop() {
    while (!Stopping_) {
      tcp::socket Socket(Acceptor_.get_executor());
      const IoOutcome Outcome =
          await([&](auto Done) { Acceptor_.async_accept(Socket, Done); });
      if (Stopping_)
        return;
      if (Outcome.Error_)
        fibers::sleepFor(AcceptRetryPause);
      else
        serve(std::move(Socket));
    }
  }

  void serve(tcp::socket Socket) {
    beast::error_code Ignored;
    Socket.set_option(tcp::no_delay(true), Ignored);
    auto Session = std::make_shared<ServerSession>(std::move(Socket), Limits_);
    if (Sessions_.size() >= Limits_.Connections_)
      return;
    Sessions_.insert(Session);
    fibers::spawn([Self = shared_from_this(), Session] {
      Session->run(Self->Handle_, Self->OnError_, Self->Stopping_);
      Self->Sessions_.erase(Session);
    });
  }

  tcp::acceptor Acceptor_;
  ServerLimits Limits_;
  Handler Handle_;
  ErrorReply OnError_;
  std::set<std::shared_ptr<ServerSession>> Sessions_;
  bool Stopping_ = false;
};

Server::Server(boost::asio::io_context &Io, ServerLimits Limits, Handler Handle,
               ErrorReply OnError)
    : State_(std::make_shared<State>(Io, Limits, std::move(Handle),
                                     std::move(OnError))) {}

Server::~Server() { stopAccepting(); }

absl::Status Server::listen(const Address &At) {
  beast::error_code Error;
  const tcp::endpoint Endpoint(boost::asio::ip::make_address(At.Ip_, Error),
                               At.Port_);
  if (!Error)
    State_->Acceptor_.open(Endpoint.protocol(), Error);
  if (!Error)
    State_->Acceptor_.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    State_->Acceptor_.bind(Endpoint, Error);
  if (!Error)
    State_->Acceptor_.listen(boost::asio::socket_base::max_listen_connections,
                             Error);
  if (Error)
    return absl::UnavailableError("cannot listen on " + At.str() + ": " +
                                  Error.message());
  fibers::spawn([State = State_] { State->acceptLoop(); });
  return absl::OkStatus();
}

std::uint16_t Server::port() const {
  beast::error_code Ignored;
  return State_->Acceptor_.local_endpoint(Ignored).port();
}

void Server::stopAccepting() {
  State_->Stopping_ = true;
  beast::error_code Ignored;
  State_->Acceptor_.close(Ignored);
  for (const auto &Session : State_->Sessions_)
    Session->closeIfIdle();
}

std::size_t Server::openConnections() const { return State_->Sessions_.size(); }

void Server::limitConnections(std::size_t Most) {
  State_->Limits_.Connections_ = Most;
}

} // namespace laburnumspread::framework::http
