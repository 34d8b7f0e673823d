#include "store/etcdstore.h"

#include "store/bodydeadlines.h"
#include "store/internal/gatewayjson.h"

namespace laburnumspread::store {

namespace http = framework::http;

namespace {

/// The gateway keeps an idle watch open. A watch without data for this time is
/// ended, which bounds the delay caused by a dead connection. The caller's
/// periodic range reads bound staleness more tightly.
constexpr framework::clock::Duration WatchIdleTimeout =
    std::chrono::seconds(60);
constexpr framework::clock::Duration WatchStartTimeout =
    std::chrono::seconds(3);

http::Request makePost(std::string_view Path, std::string Body) {
  http::Request Message;
  Message.Method_ = "POST";
  Message.Target_ = std::string(Path);
  Message.Headers_.add("Content-Type", "application/json");
  Message.Body_ = std::move(Body);
  return Message;
}

} // namespace

EtcdStore::EtcdStore(boost::asio::io_context &Io,
                     std::vector<http::Address> Endpoints) {
  for (http::Address &Endpoint : Endpoints)
    Clients_.push_back(std::make_unique<http::Client>(Io, std::move(Endpoint)));
}

absl::StatusOr<std::string>
EtcdStore::post(std::string_view Path, std::string Body, TimePoint Deadline) {
  ++Calls_;
  return bodyOf(current().exchange(makePost(Path, std::move(Body)), Deadline,
                                   MaxWatchLineBytes));
}

absl::StatusOr<std::string>
EtcdStore::postForLargeAnswer(std::string_view Path, std::string Body,
                              TimePoint HeadDeadline) {
  ++Calls_;
  return bodyOf(current().exchange(makePost(Path, std::move(Body)),
                                   HeadDeadline, bodyDeadlines(HeadDeadline),
                                   MaxWatchLineBytes));
}

absl::StatusOr<std::string>
EtcdStore::bodyOf(absl::StatusOr<http::Response> Answer) {
  if (!Answer.ok()) {
    useNextServer();
    return Answer.status();
  }
  if (Answer->Status_ != 200)
    return absl::UnknownError("store answered " +
                              std::to_string(Answer->Status_) + ": " +
                              Answer->Body_.substr(0, 200));
  return std::move(Answer->Body_);
}

absl::StatusOr<RangeResult> EtcdStore::range(const std::string &Prefix,
                                             Revision Since,
                                             TimePoint Deadline) {
  const auto Body =
      postForLargeAnswer("/v3/kv/range", rangeRequest(Prefix, Since), Deadline);
  if (!Body.ok())
    return Body.status();
  return readRangeAnswer(*Body);
}

absl::StatusOr<TransactionResult> EtcdStore::commit(const Transaction &Txn,
                                                    TimePoint Deadline) {
  const auto Body = post("/v3/kv/txn", transactionRequest(Txn), Deadline);
  if (!Body.ok())
    return Body.status();
  return readTransactionAnswer(*Body);
}

absl::Status
EtcdStore::watch(const std::string &Prefix, Revision Since,
                 const std::function<bool(const WatchBatch &)> &OnBatch) {
  ++Calls_;
  const framework::clock::SystemClock Clock;
  WatchReader Reader(OnBatch);
  const absl::Status Status = current().stream(
      makePost("/v3/watch", watchRequest(Prefix, Since)),
      Clock.now() + WatchStartTimeout,
      [&] { return Clock.now() + WatchIdleTimeout; },
      [](const http::Response &Head) { return Head.Status_ == 200; },
      [&](std::string_view Part) { return Reader.feed(Part); });
  if (!Status.ok())
    useNextServer();
  return Reader.status().ok() ? Status : Reader.status();
}

absl::StatusOr<std::int64_t> EtcdStore::grantLease(std::int64_t Seconds,
                                                   TimePoint Deadline) {
  const auto Body =
      post("/v3/lease/grant", leaseRequest("TTL", Seconds), Deadline);
  if (!Body.ok())
    return Body.status();
  return readLeaseId(*Body);
}

absl::StatusOr<bool> EtcdStore::keepLease(std::int64_t Lease,
                                          TimePoint Deadline) {
  const auto Body =
      post("/v3/lease/keepalive", leaseRequest("ID", Lease), Deadline);
  if (!Body.ok())
    return Body.status();
  return readKeepAlive(*Body);
}

} // namespace laburnumspread::store
