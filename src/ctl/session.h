#pragma once

#include "ctl/ctltypes.h"
#include "framework/http/httpclient.h"

#include <functional>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

namespace laburnumspread::ctl {

/// Sends requests to the first of the given servers that can be reached.
class Session {
public:
  Session(boost::asio::io_context &Io, const Command &Cmd);

  /// Returns the response, whatever its status. Otherwise returns the last
  /// error, whose message contains "not sent" if no server got the request.
  absl::StatusOr<Reply> call(const std::string &Method,
                             const std::string &Target, std::string Body,
                             const framework::http::Headers &ExtraHeaders = {});

  /// Calls \p OnLine for each JSON line of a streamed response until it returns
  /// false. FailedPrecondition if the status is not 200.
  absl::Status
  stream(const std::string &Target,
         const std::function<bool(const boost::json::value &)> &OnLine);

private:
  framework::http::Request request(const std::string &Method,
                                   const std::string &Target,
                                   std::string Body) const;

  const Command &Cmd_;
  std::vector<std::unique_ptr<framework::http::Client>> Clients_;
};

} // namespace laburnumspread::ctl
