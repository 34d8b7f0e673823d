#include "cell/pacereporter.h"

#include <ctime>

namespace laburnumspread::cell {

namespace {

std::int64_t toMs(framework::clock::Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

std::string_view nameOf(scheduling::WaitReason Reason) {
  using scheduling::WaitReason;
  switch (Reason) {
  case WaitReason::UnknownQueue:
    return "unknown_queue";
  case WaitReason::WorkspaceLimit:
    return "workspace_limit";
  case WaitReason::NoWorkers:
    return "no_workers";
  case WaitReason::NoRoom:
    return "no_room";
  case WaitReason::NotAllowed:
    return "not_allowed";
  case WaitReason::StartLimit:
    return "start_limit";
  }
  return "unknown";
}

} // namespace

void PaceReporter::report(const PaceSample &Sample, TimePoint Now) {
  reportPace(Sample, Now);
  reportWorkers(Sample.Workers_);
  if (Reasons_.total() > 0)
    reportWaiting();
  NextReportAt_ = Now + ReportInterval;
  ReportedAt_ = Now;
  ProcessorTimeBefore_ = Sample.ProcessorTime_;
  Passes_ = 0;
  Planning_ = Duration::zero();
  Starts_ = 0;
}

framework::log::Level PaceReporter::level() const {
  // Tasks that wait are worth lines that are not left out under load.
  return Waiting_ > 0 ? framework::log::Level::Warning
                      : framework::log::Level::Info;
}

void PaceReporter::reportPace(const PaceSample &Sample, TimePoint Now) const {
  const bool First = ReportedAt_ == TimePoint();
  framework::log::Event Line(level(), "leader.pace");
  Line.field("interval_ms", First ? 0 : toMs(Now - ReportedAt_))
      .field("processor_ms",
             First ? 0 : toMs(Sample.ProcessorTime_ - ProcessorTimeBefore_))
      .field("passes", Passes_)
      .field("planning_ms", toMs(Planning_))
      .field("starts", Starts_)
      .field("waiting", static_cast<std::uint64_t>(Waiting_))
      .field("unplaced", static_cast<std::uint64_t>(Unplaced_))
      .field("unanswered_starts",
             static_cast<std::uint64_t>(Sample.UnansweredStarts_))
      .field("fiber_delay_ms", toMs(Sample.FiberDelay_))
      .field("start_delay_ms", toMs(Sample.StartDelay_))
      .field("workers_age_ms", toMs(Sample.WorkersAge_))
      .field("machines_age_ms", toMs(Sample.MachinesAge_))
      .field("machines_ordered",
             static_cast<std::uint64_t>(Sample.MachinesOrdered_))
      .field("may_start", Sample.MaySendStarts_ ? "yes" : "no");
}

void PaceReporter::reportWorkers(const WorkerCounts &Workers) const {
  framework::log::Event Line(level(), "leader.workers");
  Workers.forEach([&](WorkerRestriction Reason, std::size_t Count) {
    Line.field(nameOf(Reason), static_cast<std::uint64_t>(Count));
  });
}

void PaceReporter::reportWaiting() const {
  framework::log::Event Line(framework::log::Level::Warning, "leader.waiting");
  Reasons_.forEach([&](scheduling::WaitReason Reason, std::size_t Count) {
    Line.field(nameOf(Reason), static_cast<std::uint64_t>(Count));
  });
}

framework::clock::Duration processorTime() {
  return std::chrono::duration_cast<framework::clock::Duration>(
      std::chrono::duration<double>(static_cast<double>(std::clock()) /
                                    CLOCKS_PER_SEC));
}

} // namespace laburnumspread::cell
