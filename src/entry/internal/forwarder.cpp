#include "entry/forwarder.h"

namespace laburnumspread::entry {

namespace http = framework::http;
using namespace std::chrono_literals;

namespace {

/// A request that may run only once goes out on a connection whose other end
/// was heard within this time, or on a new one: a path that has silently
/// forgotten the connection would take the request and leave its outcome open.
constexpr Duration MaxIdleForNonRepeatable = 1s;
/// Repeatable work can be sent again, so older proof will do.
constexpr Duration MaxIdleForRepeatable = 10s;
constexpr Duration ConnectTimeout = 1s;
constexpr std::size_t ReadChunkBytes = 16 * 1024;
/// Connections that an endpoint takes in all; the entries share them evenly.
constexpr std::size_t ConnectionsPerEndpoint = 64;

} // namespace

Forwarder::ConnectionPtr
Forwarder::takeIdleConnection(const std::string &Address, bool Repeatable) {
  auto &Conns = Idle_[Address];
  const TimePoint Oldest =
      State_.now() -
      (Repeatable ? MaxIdleForRepeatable : MaxIdleForNonRepeatable);
  while (!Conns.empty()) {
    ConnectionPtr Conn = std::move(Conns.back());
    Conns.pop_back();
    if (Conn->lastReceivedAt() >= Oldest && !Conn->stale())
      return Conn;
  }
  return nullptr;
}

absl::StatusOr<Forwarder::ConnectionPtr>
Forwarder::connect(const std::string &Address, TimePoint Deadline) {
  const auto To = http::parseAddress(Address);
  if (!To)
    return absl::InvalidArgumentError("bad address " + Address);
  ConnectionPtr Conn = http::Connection::make(Io_);
  absl::Status Status =
      Conn->connect(*To, std::min(Deadline, State_.now() + ConnectTimeout));
  if (!Status.ok())
    return Status;
  return Conn;
}

http::Request Forwarder::buildRequest(const WorkRequest &Request,
                                      const RequestBody &Body) const {
  http::Request Head;
  Head.Method_ = "POST";
  Head.Target_ = "/requests";
  if (!Request.ContentType_.empty())
    Head.Headers_.add("Content-Type", Request.ContentType_);
  if (Request.Key_)
    Head.Headers_.add("Idempotency-Key", Request.Key_->Text_);
  Head.Headers_.add("Request-Team", Request.Team_.str());
  // The endpoint must not start, and must stop, work after this time: the
  // permits that stand behind it are others' then.
  Head.Headers_.add(
      "Task-Lease-Until",
      std::to_string(framework::clock::toMillis(Request.Deadline_)));
  Head.Body_ = Body.Prefix_;
  return Head;
}

absl::Status Forwarder::sendRemainingBody(http::Connection &Conn,
                                          RequestBody &Body, TimePoint Deadline,
                                          bool &CallerFailed) {
  std::string Part;
  for (bool More = Body.Rest_ != nullptr; More;) {
    Part.clear();
    const absl::StatusOr<bool> Next =
        Body.Rest_->readSome(Part, ReadChunkBytes);
    if (!Next.ok()) {
      CallerFailed = true;
      return Next.status();
    }
    More = *Next;
    if (absl::Status Sent = Conn.write(Part, Deadline); !Sent.ok())
      return Sent;
  }
  return absl::OkStatus();
}

void Forwarder::readAnswer(ForwardResult &Result, TimePoint Deadline) {
  auto Head = Result.Connection_->readHead(Deadline);
  if (!Head.ok()) {
    Result.Reason_ = std::string(Head.status().message());
    return;
  }
  Result.Answer_ = std::move(*Head);
  Result.More_ = true;
  while (Result.More_ && Result.Answer_.Body_.size() < MaxBufferedBodyBytes) {
    const auto Next = Result.Connection_->readSome(Result.Answer_.Body_,
                                                   ReadChunkBytes, Deadline);
    if (!Next.ok()) {
      Result.Reason_ = std::string(Next.status().message());
      return;
    }
    Result.More_ = *Next;
  }
  const bool Refusal = Result.Answer_.Status_ == 503 &&
                       Result.Answer_.Headers_.find("Endpoint-Refusal");
  Result.Kind_ = Refusal ? ForwardStatus::Refused : ForwardStatus::Answered;
  if (Refusal)
    Result.Reason_ =
        std::string(*Result.Answer_.Headers_.find("Endpoint-Refusal"));
}

ForwardResult Forwarder::forward(const WorkRequest &Request,
                                 const Placement &At, RequestBody &Body,
                                 CancelToken &Cancel) {
  ForwardResult Result;
  const std::string Address = State_.Endpoints_.at(At.Endpoint_).Address_;
  Result.Connection_ = takeIdleConnection(Address, Request.Repeatable_);
  if (!Result.Connection_) {
    auto Fresh = connect(Address, Request.Deadline_);
    if (!Fresh.ok()) {
      Result.Reason_ = std::string(Fresh.status().message());
      return Result;
    }
    Result.Connection_ = std::move(*Fresh);
  }
  // A process that was paused between the permit and here finds the deadline
  // over; its permits may be others' by now.
  if (State_.now() >= Request.Deadline_ || Cancel.cancelled() ||
      Cancel.preempted()) {
    Result.Reason_ = "too late to send";
    return Result;
  }
  if (Request.Repeatable_)
    Cancel.setListener([Conn = Result.Connection_] { Conn->close(); });
  const absl::Status Sent = Result.Connection_->send(
      buildRequest(Request, Body), Body.Length_, Request.Deadline_);
  if (!Sent.ok()) {
    Cancel.setListener(nullptr);
    Result.Kind_ = Result.Connection_->bytesSent() ? ForwardStatus::Unanswered
                                                   : ForwardStatus::NotSent;
    Result.Reason_ = std::string(Sent.message());
    return Result;
  }
  Result.Kind_ = ForwardStatus::Unanswered;
  bool CallerFailed = false;
  const absl::Status Rest = sendRemainingBody(*Result.Connection_, Body,
                                              Request.Deadline_, CallerFailed);
  if (Rest.ok())
    readAnswer(Result, Request.Deadline_);
  else
    Result.Reason_ = std::string(Rest.message());
  if (CallerFailed)
    Result.Kind_ = ForwardStatus::CallerFailed;
  Cancel.setListener(nullptr);
  return Result;
}

void Forwarder::releaseConnection(const std::string &Address,
                                  ConnectionPtr Conn) {
  if (!Conn || !Conn->reusable())
    return;
  auto &Conns = Idle_[Address];
  const std::size_t Entries =
      std::max<std::size_t>(1, State_.View_.Members_.size());
  if (Conns.size() < std::max<std::size_t>(1, ConnectionsPerEndpoint / Entries))
    Conns.push_back(std::move(Conn));
}

std::size_t Forwarder::idleConnections() const {
  std::size_t Count = 0;
  for (const auto &[Address, Conns] : Idle_)
    Count += Conns.size();
  return Count;
}

} // namespace laburnumspread::entry
