#pragma once

#include "api/apicontext.h"

namespace laburnumspread::api {

/// Handles `POST` and `DELETE` on `/v1/pools/{pool}/requests`.
class CallerApi {
public:
  explicit CallerApi(ApiContext &Context) : Context_(Context) {}

  void submit(framework::http::Exchange &Call, const std::string &Pool);
  /// Cancels the request with an idempotency key on this entry; if it is not
  /// here, asks all other entries to cancel it.
  void cancel(framework::http::Exchange &Call, const std::string &Key);

private:
  /// Returns the team that owns the caller's key. Refuses the request and
  /// returns nullopt if the key is missing or unknown.
  std::optional<fleet::TeamName>
  authenticateTeam(framework::http::Exchange &Call);

  ApiContext &Context_;
};

/// Parses the value of `Request-Size`, for example
/// "slots=1,cpus=2,memory_mb=512,accelerators=1". InvalidArgument names the
/// part that is wrong.
absl::StatusOr<fleet::Size> parseSize(std::string_view Text);

} // namespace laburnumspread::api
