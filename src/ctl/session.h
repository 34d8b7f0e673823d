#pragma once

#include "ctl/ctltypes.h"
#include "framework/http/httpclient.h"

#include <functional>
#include <memory>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

namespace laburnumspread::ctl {

/// Speaks to the first of the given entries that answers.
class Session {
public:
  Session(boost::asio::io_context &Io, const Command &Cmd);

  absl::StatusOr<Reply> call(const std::string &Method,
                             const std::string &Target, std::string Body,
                             const framework::http::Headers &ExtraHeaders = {});

  /// Hands out the JSON lines of a stream until \p OnLine returns false.
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
