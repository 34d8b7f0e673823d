#include "entry/forwarder.h"

namespace laburnumspread::entry {

namespace http = framework::http;
using namespace std::chrono_literals;

namespace {

/// A non-repeatable request reuses a connection only if data was received on it
/// within this time; otherwise a new one is opened. A network path that has
/// silently dropped the connection would accept the request and leave its
/// outcome unknown.
constexpr Duration MaxIdleForNonRepeatable = 1s;
/// Repeatable requests can be sent again, so a longer idle time is acceptable.
constexpr Duration MaxIdleForRepeatable = 10s;
constexpr Duration ConnectTimeout = 1s;
constexpr std::size_t ReadChunkBytes = 16 * 1024;
/// Total number of pooled connections to one endpoint, divided evenly among the
/// entries.
constexpr std::size_t ConnectionsPerEndpoint = 64;

} // namespace

Forwarder::ConnectionPtr
Forwarder::takeIdleConnection(const std::string &Address, bool Repeatable) {
  auto &Conns = Idle_[Address];
  const TimePoint MinProvenAt =
      State_.now() -
      (Repeatable ? MaxIdleForRepeatable : MaxIdleForNonRepeatable);
  while (!Conns.empty()) {
    ConnectionPtr Conn = std::move(Conns.back());
    Conns.pop_back();
    if (Conn->lastReceivedAt() >= MinProvenAt && !Conn->stale())
      return Conn;
  }
  return nullptr;
}

absl::StatusOr<Forwarder::ConnectionPtr>
Forwarder::connect(const std::string &Address, TimePoint Deadline) {
  const auto To = http::parseAddress(Address);
  if (!To)
    return absl::InvalidArgumentError("invalid endpoint address " + Address);
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
  // The endpoint must not start work after this time and must stop running
  // work: the permits behind it may then be held by other requests.
  Head.Headers_.add(
      "Task-Lease-Until",
      std::to_string(framework::clock::toMillis(Request.Deadline_)));
  Head.Body_ = Body.Prefix_;
  return Head;
}

absl::Status Forwarder::sendRemainingBody(http::Connection &Conn,
                                          RequestBody &Body, TimePoint Deadline,
                                          bool &CallerFailed) {
  std::string Chunk;
  for (bool More = Body.Rest_ != nullptr; More;) {
    Chunk.clear();
    const absl::StatusOr<bool> Next =
        Body.Rest_->readSome(Chunk, ReadChunkBytes);
    if (!Next.ok()) {
      CallerFailed = true;
      return Next.status();
    }
    More = *Next;
    if (absl::Status Sent = Conn.write(Chunk, Deadline); !Sent.ok())
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
                                 const Placement &Assigned, RequestBody &Body,
                                 CancelToken &Cancel) {
  ForwardResult Result;
  const std::string Address = State_.Endpoints_.at(Assigned.Endpoint_).Address_;
  Result.Connection_ = takeIdleConnection(Address, Request.Repeatable_);
  if (!Result.Connection_) {
    auto NewConn = connect(Address, Request.Deadline_);
    if (!NewConn.ok()) {
      Result.Reason_ = std::string(NewConn.status().message());
      return Result;
    }
    Result.Connection_ = std::move(*NewConn);
  }
  // If this process was paused after it acquired the permits, the deadline may
  // have passed, and other requests may hold the permits by now.
  if (State_.now() >= Request.Deadline_ || Cancel.cancelled() ||
      Cancel.preempted()) {
    Result.Reason_ = "not sent: deadline passed or request cancelled";
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
