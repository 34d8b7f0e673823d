#pragma once

#include "api/apicontext.h"

namespace laburnumspread::api {

/// `POST` and `DELETE` on `/v1/pools/{pool}/requests`.
class CallerApi {
public:
  explicit CallerApi(ApiContext &Context) : Context_(Context) {}

  void submit(framework::http::Exchange &Call, const std::string &Pool);
  void cancel(framework::http::Exchange &Call, const std::string &Key);

private:
  std::optional<fleet::TeamName>
  authenticateTeam(framework::http::Exchange &Call);

  ApiContext &Context_;
};

/// Reads `Request-Size`, "slots=1,cpus=2,memory_mb=512,accelerators=1".
/// InvalidArgument names the part that is wrong.
absl::StatusOr<fleet::Size> parseSize(std::string_view Text);

} // namespace laburnumspread::api
