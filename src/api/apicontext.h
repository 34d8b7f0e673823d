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

/// What the HTTP interface works on.
struct ApiContext {
  entry::EntryState &State_;
  Writer &Writer_;
  entry::ConfigService &Config_;
  entry::MembershipService &Membership_;
  entry::PlacementService &Placements_;
  entry::RequestRunner &Runner_;
  /// State that only the app knows, for the dump.
  std::function<void(boost::json::object &)> AddToDump_;
};

/// Answers with a JSON document.
void replyJson(framework::http::Exchange &Call, int Status,
               const boost::json::value &Body);

/// Answers an operator with a problem document. Unlike a caller's refusal it
/// is no placement decision and is not listed as one.
void replyProblem(framework::http::Exchange &Call, entry::ProblemCode Code,
                  const std::string &Detail);

} // namespace laburnumspread::api
