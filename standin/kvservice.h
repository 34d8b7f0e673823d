#pragma once

#include "framework/http/httpserver.h"
#include "standin/faults.h"
#include "standin/kvstate.h"

#include <map>
#include <memory>
#include <string>

#include <boost/fiber/condition_variable.hpp>
#include <boost/json/fwd.hpp>

namespace laburnumspread::standin {

/// Number of calls to the key-value service since the start, by path below
/// `/v3`.
using CallCounts = std::map<std::string, std::uint64_t>;

/// Simulates the subset of the etcd v3 JSON gateway that the project uses.
class KvService {
public:
  explicit KvService(Faults &Faults) : Faults_(Faults) {}

  /// Serves a request to `/v3/...`.
  void handle(framework::http::Exchange &Call);

  KvState &state() { return State_; }
  const CallCounts &calls() const { return Calls_; }
  /// Wakes all watches. Call after changing state() or the faults directly.
  void notifyWatchers() { Changed_.notify_all(); }

private:
  boost::json::object range(const boost::json::object &Request);
  boost::json::object txn(const boost::json::object &Request);
  boost::json::object lease(std::string_view Operation,
                            const boost::json::object &Request);
  void watch(framework::http::Exchange &Call,
             const boost::json::object &Request);
  bool compareSucceeds(const boost::json::object &Compare) const;
  boost::json::object apply(const boost::json::object &Operation);
  bool sendEvents(framework::http::Exchange &Call, const std::string &From,
                  const std::string &To, std::int64_t &Next);

  Faults &Faults_;
  KvState State_;
  CallCounts Calls_;
  boost::fibers::mutex Mutex_;
  boost::fibers::condition_variable Changed_;
};

} // namespace laburnumspread::standin
