#pragma once

#include "api/callerapi.h"
#include "api/operatorapi.h"

namespace laburnumspread::api {

/// Sends each request of the one HTTP port to the part that serves it.
class HttpApi {
public:
  explicit HttpApi(ApiContext &Context)
      : Context_(Context), Callers_(Context), Operators_(Context) {}

  void handle(framework::http::Exchange &Call);
  void notifyWatchers() { Operators_.notifyWatchers(); }

  /// The state of this process as JSON text.
  std::string dump() const;

private:
  bool handleDiagnostics(framework::http::Exchange &Call,
                         const framework::http::Target &Path);
  void replyReadiness(framework::http::Exchange &Call);
  void setLogLevel(framework::http::Exchange &Call,
                   const framework::http::Target &Path);

  ApiContext &Context_;
  CallerApi Callers_;
  OperatorApi Operators_;
};

/// The answer to a request whose header could not be read.
framework::http::Response errorResponse(int Status, const std::string &Reason);

} // namespace laburnumspread::api
