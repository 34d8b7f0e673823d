#include "ctl/session.h"

#include <boost/json/parse.hpp>

namespace laburnumspread::ctl {

namespace http = framework::http;
using framework::clock::SystemClock;
using namespace std::chrono_literals;

namespace {

constexpr auto ConnectTimeout = 3s;
/// The server sends bookmarks every 5 s, so a longer silence means that the
/// connection is broken.
constexpr auto StreamIdleTimeout = 20s;

Reply toReply(const http::Response &Answer) {
  Reply Result;
  Result.Status_ = Answer.Status_;
  Result.Text_ = Answer.Body_;
  boost::system::error_code Ignored;
  Result.Json_ = boost::json::parse(Answer.Body_, Ignored);
  Result.Outcome_ =
      std::string(Answer.Headers_.find("Request-Outcome").value_or(""));
  Result.Replayed_ =
      Answer.Headers_.find("Idempotent-Replay").value_or("") == "true";
  return Result;
}

} // namespace

Session::Session(boost::asio::io_context &Io, const Command &Cmd) : Cmd_(Cmd) {
  for (const http::Address &Server : Cmd.Servers_)
    Clients_.push_back(std::make_unique<http::Client>(Io, Server));
}

http::Request Session::request(const std::string &Method,
                               const std::string &Target,
                               std::string Body) const {
  http::Request Message;
  Message.Method_ = Method;
  Message.Target_ = Target;
  Message.Headers_.add("Host", "laburnumspread");
  if (!Cmd_.Key_.empty())
    Message.Headers_.add("Authorization", "Bearer " + Cmd_.Key_);
  if (!Body.empty())
    Message.Headers_.add("Content-Type", "application/json");
  Message.Body_ = std::move(Body);
  return Message;
}

absl::StatusOr<Reply> Session::call(const std::string &Method,
                                    const std::string &Target, std::string Body,
                                    const http::Headers &ExtraHeaders) {
  http::Request Message = request(Method, Target, std::move(Body));
  for (const http::Header &Field : ExtraHeaders.all())
    Message.Headers_.add(Field.Name_, Field.Value_);
  absl::Status Last = absl::UnavailableError("no server given");
  for (const auto &Client : Clients_) {
    const auto Answer = Client->exchange(
        Message, SystemClock().now() +
                     std::chrono::milliseconds(Cmd_.TimeoutMs_) +
                     ConnectTimeout);
    if (Answer.ok())
      return toReply(*Answer);
    Last = Answer.status();
    // Try the next server only if nothing was sent: otherwise the request may
    // already have run.
    if (Last.message().find("not sent") == absl::string_view::npos)
      break;
  }
  return Last;
}

absl::Status
Session::stream(const std::string &Target,
                const std::function<bool(const boost::json::value &)> &OnLine) {
  std::string Pending;
  absl::Status Refused;
  const absl::Status Ended = Clients_.front()->stream(
      request("GET", Target, ""), SystemClock().now() + ConnectTimeout,
      [] { return SystemClock().now() + StreamIdleTimeout; },
      [&](const http::Response &Head) {
        if (Head.Status_ != 200)
          Refused = absl::FailedPreconditionError("refused with status " +
                                                  std::to_string(Head.Status_));
        return Head.Status_ == 200;
      },
      [&](std::string_view Part) {
        Pending += Part;
        for (std::size_t End = Pending.find('\n'); End != std::string::npos;
             End = Pending.find('\n')) {
          boost::system::error_code Error;
          const auto Line = boost::json::parse(Pending.substr(0, End), Error);
          Pending.erase(0, End + 1);
          if (!Error && !OnLine(Line))
            return false;
        }
        return true;
      });
  return Refused.ok() ? Ended : Refused;
}

} // namespace laburnumspread::ctl
