#pragma once

#include "api/callerapi.h"
#include "api/operatorapi.h"

namespace laburnumspread::api {

/// Routes the requests of the entry's HTTP port to their handlers.
class HttpApi {
public:
  explicit HttpApi(ApiContext &Context)
      : Context_(Context), Callers_(Context), Operators_(Context) {}

  void handle(framework::http::Exchange &Call);
  /// Wakes the watches of the resource interface.
  void notifyWatchers() { Operators_.notifyWatchers(); }

  /// Returns the state of this process as JSON text.
  std::string dump() const;

private:
  /// Handles the health, readiness, metrics and debug paths. Returns false for
  /// any other path.
  bool handleDiagnostics(framework::http::Exchange &Call,
                         const framework::http::Target &Path);
  void replyReadiness(framework::http::Exchange &Call);
  void setLogLevel(framework::http::Exchange &Call,
                   const framework::http::Target &Path);

  ApiContext &Context_;
  CallerApi Callers_;
  OperatorApi Operators_;
};

/// Returns a problem document for a request that could not be read. \p Status
/// is the HTTP status determined by the server.
framework::http::Response errorResponse(int Status, const std::string &Reason);

} // namespace laburnumspread::api
