#pragma once

#include "framework/http/httpclient.h"
#include "store/kvstore.h"

#include <memory>

namespace laburnumspread::store {

/// Client of a store with the etcd v3 JSON gateway API over HTTP/1.1. For
/// errors see KeyValueStore.
class EtcdStore {
public:
  EtcdStore(boost::asio::io_context &Io,
            std::vector<framework::http::Address> Endpoints);

  absl::StatusOr<RangeResult> range(const std::string &Prefix, Revision Since,
                                    TimePoint Deadline);
  absl::StatusOr<TransactionResult> commit(const Transaction &Txn,
                                           TimePoint Deadline);
  absl::Status watch(const std::string &Prefix, Revision Since,
                     const std::function<bool(const WatchBatch &)> &OnBatch);
  absl::StatusOr<std::int64_t> grantLease(std::int64_t Seconds,
                                          TimePoint Deadline);
  absl::StatusOr<bool> keepLease(std::int64_t Lease, TimePoint Deadline);

  /// Number of calls made since the start. A watch counts as one.
  std::uint64_t calls() const { return Calls_; }

private:
  absl::StatusOr<std::string> post(std::string_view Path, std::string Body,
                                   TimePoint Deadline);
  /// Like post(), for answers that grow with the stored state: the body is read
  /// within the limits of bodyDeadlines().
  absl::StatusOr<std::string> postForLargeAnswer(std::string_view Path,
                                                 std::string Body,
                                                 TimePoint HeadDeadline);
  /// Returns the body of a 200 answer, or Unknown for other statuses. Switches
  /// to the next server if the exchange failed.
  absl::StatusOr<std::string>
  bodyOf(absl::StatusOr<framework::http::Response> Answer);
  framework::http::Client &current() { return *Clients_[Current_]; }
  void useNextServer() { Current_ = (Current_ + 1) % Clients_.size(); }

  std::vector<std::unique_ptr<framework::http::Client>> Clients_;
  std::size_t Current_ = 0;
  std::uint64_t Calls_ = 0;
};

static_assert(KeyValueStore<EtcdStore>);

} // namespace laburnumspread::store
