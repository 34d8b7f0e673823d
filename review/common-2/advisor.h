#pragma once

#include "sim.h"

#include <tuple>

namespace review {

/// The service that knows which workers a queue's policy allows. Answers one
/// call of a machine at a time, as PROTOCOL.md tells; only the leader calls.
class Advisor {
public:
  struct Times {
    std::int64_t DecideMs_ = 20;
    std::int64_t EachMs_ = 1;
    std::int64_t ValidMs_ = 2000;
  };
  /// Whether the policy lets a worker run a step, ID.K.STEP.
  using Policy =
      std::function<bool(const std::string &Step, const std::string &Worker)>;

  Advisor(Times Takes, Policy Allows);

  std::string address() const { return Server_.address(); }
  /// The value of "recommendation" of the queue.
  boost::json::object terms() const;
  /// Whether a ticket lets a worker run a step now.
  bool valid(const std::string &Step, const std::string &Worker,
             const std::string &Ticket);

private:
  HttpAnswer handle(const HttpRequest &Call);

  Times Takes_;
  Policy Allows_;
  std::mutex Turns_;
  std::mutex Mutex_;
  std::map<std::tuple<std::string, std::string, std::string>,
           Steady::time_point>
      Issued_;
  int Next_ = 0;
  HttpServer Server_;
};

} // namespace review
