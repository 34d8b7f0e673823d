#pragma once

#include "entry/configservice.h"
#include "entry/membershipservice.h"
#include "entry/requestrunner.h"

#include <functional>
#include <memory>
#include <vector>

#include <boost/json/object.hpp>

namespace laburnumspread::api {

using Writer = config::ObjectWriter<store::EtcdStore>;

/// The services that the HTTP interface uses.
struct ApiContext {
  entry::EntryState &State_;
  Writer &Writer_;
  entry::ConfigService &Config_;
  entry::MembershipService &Membership_;
  entry::PlacementService &Placements_;
  entry::RequestRunner &Runner_;
  /// Adds the state that only the app can access to the state dump.
  std::function<void(boost::json::object &)> AddToDump_;
};

/// Sends a response with a JSON body.
void replyJson(framework::http::Exchange &Call, int Status,
               const boost::json::value &Body);

/// Sends a problem document. Unlike RequestRunner::refuse(), this does not add
/// a placement decision to the decision log.
void replyProblem(framework::http::Exchange &Call, entry::ProblemCode Code,
                  const std::string &Detail);
/// The same with the outcome of the request.
void replyProblem(framework::http::Exchange &Call,
                  const entry::Problem &Reason);

} // namespace laburnumspread::api
