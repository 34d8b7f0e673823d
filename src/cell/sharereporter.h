#pragma once

#include "cell/celltypes.h"
#include "framework/metrics/metrics.h"
#include "scheduling/scheduler.h"

namespace laburnumspread::cell {

/// Shows operators how short pools are divided: a log line for each pool, and
/// gauges.
class ShareReporter {
public:
  /// Passes run many times a second.
  static constexpr Duration ReportInterval = std::chrono::seconds(1);
  /// Workspaces of a pool that have a gauge: those furthest above their shares.
  static constexpr std::size_t MaxGaugesPerPool = 20;

  explicit ShareReporter(framework::metrics::Registry &Metrics)
      : Metrics_(Metrics) {}

  /// Publishes the divisions of the latest pass, unless ReportInterval has not
  /// passed. Gauges of workspaces that are not named any more are set to zero.
  void report(const std::vector<scheduling::PoolDivision> &Divisions,
              TimePoint Now);

private:
  static void log(const scheduling::PoolDivision &Division);
  void publish(const scheduling::PoolDivision &Division,
               std::set<std::string> &Published);

  framework::metrics::Registry &Metrics_;
  TimePoint NextReportAt_{};
  std::set<std::string> Gauges_;
};

} // namespace laburnumspread::cell
