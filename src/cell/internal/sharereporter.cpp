#include "cell/sharereporter.h"

#include "framework/log/log.h"

#include <algorithm>

namespace laburnumspread::cell {

namespace {

std::int64_t perMille(double Level) {
  return static_cast<std::int64_t>(1000 * Level);
}

} // namespace

void ShareReporter::report(
    const std::vector<scheduling::PoolDivision> &Divisions, TimePoint Now) {
  if (Now < NextReportAt_)
    return;
  NextReportAt_ = Now + ReportInterval;
  std::set<std::string> Published;
  for (const scheduling::PoolDivision &Item : Divisions) {
    log(Item);
    publish(Item, Published);
  }
  for (const std::string &Name : Gauges_)
    if (!Published.contains(Name))
      Metrics_.gauge(Name).set(0);
  Gauges_ = std::move(Published);
}

void ShareReporter::log(const scheduling::PoolDivision &Division) {
  // One workspace alone has nothing to share.
  if (Division.WeightedUsages_.size() < 2)
    return;
  const auto ByLevel = [](const auto &A, const auto &B) {
    return A.second < B.second;
  };
  const auto [Lowest, Highest] =
      std::minmax_element(Division.WeightedUsages_.begin(),
                          Division.WeightedUsages_.end(), ByLevel);
  framework::log::info("shares.divided")
      .field("pool", Division.Pool_.str())
      .field("workspaces",
             static_cast<std::uint64_t>(Division.WeightedUsages_.size()))
      .field("lowest", Lowest->first.str())
      .field("lowest_permille", perMille(Lowest->second))
      .field("highest", Highest->first.str())
      .field("highest_permille", perMille(Highest->second));
}

void ShareReporter::publish(const scheduling::PoolDivision &Division,
                            std::set<std::string> &Published) {
  auto Levels = Division.WeightedUsages_;
  const auto Last =
      Levels.begin() +
      static_cast<std::ptrdiff_t>(std::min(Levels.size(), MaxGaugesPerPool));
  std::partial_sort(
      Levels.begin(), Last, Levels.end(),
      [](const auto &A, const auto &B) { return A.second > B.second; });
  for (auto Row = Levels.begin(); Row != Last; ++Row) {
    const std::string Name = "workspace_level{pool=\"" + Division.Pool_.str() +
                             "\",workspace=\"" + Row->first.str() + "\"}";
    Metrics_.gauge(Name).set(Row->second);
    Published.insert(Name);
  }
}

} // namespace laburnumspread::cell
