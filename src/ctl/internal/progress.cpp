#include "ctl/internal/progress.h"

#include "ctl/internal/reporting.h"
#include "ctl/table.h"
#include "framework/clock/clock.h"
#include "framework/fibers/waiter.h"

#include <iostream>

#include <boost/json.hpp>

namespace laburnumspread::ctl {

namespace json = boost::json;
using framework::clock::SystemClock;
using framework::clock::TimePoint;
using namespace std::chrono_literals;

ExitCode drain(Session &Server, const Command &Cmd) {
  if (Cmd.Arguments_.empty())
    return reportError(ExitCode::Usage, "drain needs the name of a VM");
  const std::string Target = "/v1/vms/" + Cmd.Arguments_[0];
  const auto Now = Server.call("GET", Target, "");
  if (!Now.ok())
    return reportUnreachable(Now.status());
  if (!succeeded(*Now))
    return reportRefusal(*Now);
  json::object Object{{"kind", "vms"},
                      {"metadata", Now->Json_.at("metadata")},
                      {"spec", Now->Json_.at("spec")}};
  const bool Enable = Cmd.Arguments_.size() < 2 || Cmd.Arguments_[1] != "off";
  Object["spec"].as_object()["drain"] = Enable;
  framework::http::Headers ExtraHeaders;
  ExtraHeaders.add("If-Match", textAt(Now->Json_, "metadata.resourceVersion"));
  const auto Put =
      Server.call("PUT", Target, json::serialize(Object), ExtraHeaders);
  if (!Put.ok())
    return reportUnreachable(Put.status());
  if (!succeeded(*Put))
    return reportRefusal(*Put);
  if (!Enable) {
    std::cout << "vms/" << Cmd.Arguments_[0] << " accepts work again\n";
    return ExitCode::Ok;
  }
  const TimePoint Deadline =
      SystemClock().now() + std::chrono::milliseconds(Cmd.TimeoutMs_);
  std::string LastLine;
  while (SystemClock().now() < Deadline) {
    const auto Answer = Server.call("GET", Target + "?drain=true", "");
    if (Answer.ok() && succeeded(*Answer)) {
      const std::string Busy = textAt(Answer->Json_, "drain.busy");
      const std::string Awaited = textAt(Answer->Json_, "drain.awaited");
      if (Busy == "0" && Awaited == "[]") {
        std::cout << "vms/" << Cmd.Arguments_[0] << " is drained\n";
        return ExitCode::Ok;
      }
      const std::string Line =
          "draining: " + Busy + " slots busy, waiting for entries " + Awaited;
      if (Line != LastLine)
        std::cout << Line << std::endl;
      LastLine = Line;
    }
    framework::fibers::sleepFor(PollInterval);
  }
  return reportError(ExitCode::TimedOut, "timed out before the VM was drained");
}

ExitCode followWave(Session &Server, const Command &Cmd) {
  if (Cmd.Arguments_.empty())
    return reportError(ExitCode::Usage, "follow needs the name of a wave");
  const TimePoint Deadline =
      SystemClock().now() + std::chrono::milliseconds(Cmd.TimeoutMs_);
  std::string LastLine;
  while (SystemClock().now() < Deadline) {
    const auto Answer =
        Server.call("GET", "/v1/waves/" + Cmd.Arguments_[0], "");
    if (!Answer.ok())
      return reportUnreachable(Answer.status());
    if (!succeeded(*Answer))
      return reportRefusal(*Answer);
    const json::value &Wave = Answer->Json_;
    const std::string Phase = textAt(Wave, "status.phase");
    const std::string Line = "wave " + Cmd.Arguments_[0] + ": " + Phase + ", " +
                             textAt(Wave, "status.done") + " of " +
                             textAt(Wave, "status.total") + " done, " +
                             textAt(Wave, "status.failed") + " failed";
    if (Line != LastLine)
      std::cout << Line << std::endl;
    LastLine = Line;
    if (Phase == "complete")
      return ExitCode::Ok;
    if (Phase == "halted" || Phase == "cancelled")
      return ExitCode::Refused;
    framework::fibers::sleepFor(PollInterval);
  }
  return reportError(ExitCode::TimedOut, "timed out; the wave continues");
}

} // namespace laburnumspread::ctl
