#include "ctl/internal/following.h"

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

ExitCode drain(Session &Server, const Command &Given) {
  if (Given.Words_.empty())
    return complain(ExitCode::Usage, "drain needs a VM's name");
  const std::string Target = "/v1/vms/" + Given.Words_[0];
  const auto Now = Server.call("GET", Target, "");
  if (!Now.ok())
    return reportUnreachable(Now.status());
  if (!succeeded(*Now))
    return reportRefusal(*Now);
  json::object Object{{"kind", "vms"},
                      {"metadata", Now->Json_.at("metadata")},
                      {"spec", Now->Json_.at("spec")}};
  const bool On = Given.Words_.size() < 2 || Given.Words_[1] != "off";
  Object["spec"].as_object()["drain"] = On;
  framework::http::Headers More;
  More.add("If-Match", textAt(Now->Json_, "metadata.resourceVersion"));
  const auto Put = Server.call("PUT", Target, json::serialize(Object), More);
  if (!Put.ok())
    return reportUnreachable(Put.status());
  if (!succeeded(*Put))
    return reportRefusal(*Put);
  if (!On) {
    std::cout << "vms/" << Given.Words_[0] << " takes work again\n";
    return ExitCode::Ok;
  }
  const TimePoint Deadline =
      SystemClock().now() + std::chrono::milliseconds(Given.TimeoutMs_);
  std::string Shown;
  while (SystemClock().now() < Deadline) {
    const auto Answer = Server.call("GET", Target + "?drain=true", "");
    if (Answer.ok() && succeeded(*Answer)) {
      const std::string Busy = textAt(Answer->Json_, "drain.busy");
      const std::string Awaited = textAt(Answer->Json_, "drain.awaited");
      if (Busy == "0" && Awaited == "[]") {
        std::cout << "vms/" << Given.Words_[0] << " is drained\n";
        return ExitCode::Ok;
      }
      const std::string Line =
          "draining: " + Busy + " slots busy, entries awaited " + Awaited;
      if (Line != Shown)
        std::cout << Line << std::endl;
      Shown = Line;
    }
    framework::fibers::sleepFor(PollEvery);
  }
  return complain(ExitCode::TimedOut, "not drained yet");
}

ExitCode followWave(Session &Server, const Command &Given) {
  if (Given.Words_.empty())
    return complain(ExitCode::Usage, "follow needs a wave's name");
  const TimePoint Deadline =
      SystemClock().now() + std::chrono::milliseconds(Given.TimeoutMs_);
  std::string Shown;
  while (SystemClock().now() < Deadline) {
    const auto Answer = Server.call("GET", "/v1/waves/" + Given.Words_[0], "");
    if (!Answer.ok())
      return reportUnreachable(Answer.status());
    if (!succeeded(*Answer))
      return reportRefusal(*Answer);
    const json::value &Wave = Answer->Json_;
    const std::string Phase = textAt(Wave, "status.phase");
    const std::string Line = "wave " + Given.Words_[0] + ": " + Phase + ", " +
                             textAt(Wave, "status.done") + " of " +
                             textAt(Wave, "status.total") + " done, " +
                             textAt(Wave, "status.failed") + " failed";
    if (Line != Shown)
      std::cout << Line << std::endl;
    Shown = Line;
    if (Phase == "complete")
      return ExitCode::Ok;
    if (Phase == "halted" || Phase == "cancelled")
      return ExitCode::Refused;
    framework::fibers::sleepFor(PollEvery);
  }
  return complain(ExitCode::TimedOut, "the wave goes on");
}

} // namespace laburnumspread::ctl
