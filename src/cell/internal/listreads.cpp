#include "cell/listreads.h"

#include "framework/log/log.h"

namespace laburnumspread::cell {

namespace {

std::int64_t millisBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(To - From)
      .count();
}

} // namespace

void ListReads::recordRead(TimePoint Now) {
  if (ReportedLost_)
    framework::log::info("list.read_again")
        .field("list", Name_)
        .field("lost_ms", millisBetween(ReadAt_, Now));
  ReportedLost_ = false;
  ReadAt_ = Now;
  ReportAt_ = Now + Longest_;
}

void ListReads::recordFailure(const absl::Status &Reason, TimePoint Now) {
  Metrics_.counter("list_reads_failed_total{list=\"" + Name_ + "\"}").add();
  if (Now < ReportAt_)
    return;
  framework::log::warning("list.lost")
      .field("list", Name_)
      .field("not_read_ms", millisBetween(ReadAt_, Now))
      .field("reason", std::string(Reason.message()));
  ReportedLost_ = true;
  ReportAt_ = Now + ReportInterval;
}

} // namespace laburnumspread::cell
