#pragma once

#include "api/apicontext.h"

#include <memory>
#include <optional>
#include <vector>

namespace laburnumspread::api {

/// Returns what an operator is told about a change that failed with an error of
/// config::ObjectWriter.
entry::Problem problemOf(const absl::Status &Error);

/// Handles the resource interface: `/v1/{kind}` and `/v1/{kind}/{name}`.
class OperatorApi {
public:
  explicit OperatorApi(ApiContext &Context);

  /// Handles the request if its path belongs to this interface; returns false
  /// otherwise.
  bool handle(framework::http::Exchange &Call,
              const framework::http::Target &Path);

  /// Returns whether the request has a valid operator key; sends an error
  /// response if not.
  bool authorizeOperator(framework::http::Exchange &Call);

  /// Wakes all watches, so that they send new changes.
  void notifyWatchers();

private:
  template <typename T> void list(framework::http::Exchange &Call);
  template <typename T>
  void get(framework::http::Exchange &Call, const std::string &Name);
  template <typename T>
  void put(framework::http::Exchange &Call, const std::string &Name,
           const framework::http::Target &Path);
  template <typename T>
  void remove(framework::http::Exchange &Call, const std::string &Name,
              const framework::http::Target &Path);
  template <typename T>
  void replyWritten(framework::http::Exchange &Call,
                    const config::WriteResult<T> &Done, bool DryRun);
  template <typename T>
  boost::json::object withStatus(const T &Object, fleet::Revision InForce);

  void addDrain(boost::json::object &Body, const fleet::Vm &Object) const;
  void watch(framework::http::Exchange &Call, fleet::Kind Of,
             const framework::http::Target &Path);
  void handleEntries(framework::http::Exchange &Call,
                     const framework::http::Target &Path);
  void handleDecisions(framework::http::Exchange &Call,
                       const framework::http::Target &Path);
  void watchDecisions(framework::http::Exchange &Call, std::uint64_t Since);
  /// Reads If-Match into \p Into, which stays empty if there is none. Returns
  /// false, and has sent an error response, if it cannot be read: a condition
  /// that is not understood must not be passed over.
  bool readCondition(framework::http::Exchange &Call,
                     std::optional<fleet::Revision> &Into);
  /// Returns whether this entry may change the configuration; sends an error
  /// response if not.
  bool acceptsWrites(framework::http::Exchange &Call);

  /// A response of JSON lines that ends when the caller disconnects or the
  /// entry stops.
  class JsonLineStream;

  ApiContext &Context_;
  std::vector<std::weak_ptr<framework::fibers::Waiter>> Watchers_;
};

} // namespace laburnumspread::api
