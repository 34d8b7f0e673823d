#include "bench/load/report.h"

#include <algorithm>
#include <cmath>
#include <set>

#include <boost/json/array.hpp>

namespace laburnumspread::bench {

namespace json = boost::json;

namespace {

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

double percentile(std::vector<double> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;
  const auto At = static_cast<std::size_t>(
      Fraction * static_cast<double>(Sorted.size() - 1));
  return Sorted[At];
}

json::object latencies(std::vector<double> Millis) {
  std::sort(Millis.begin(), Millis.end());
  return {{"count", Millis.size()},
          {"p50Ms", percentile(Millis, 0.5)},
          {"p99Ms", percentile(Millis, 0.99)},
          {"p999Ms", percentile(Millis, 0.999)},
          {"maxMs", Millis.empty() ? 0 : Millis.back()}};
}

template <typename Predicate>
json::object latenciesOf(const LoadResult &Result, Predicate &&Matches) {
  std::vector<double> Millis;
  for (const Sample &Item : Result.Samples_)
    if (Matches(Item))
      Millis.push_back(1000 * seconds(Item.Took_));
  return latencies(std::move(Millis));
}

json::array toArray(const std::set<std::string> &Keys) {
  json::array Result;
  for (const std::string &Key : Keys)
    Result.emplace_back(Key);
  return Result;
}

/// Distance of each team's fraction of the work from its share, in percent of
/// all work, in windows of one second: the mean over teams and windows, and the
/// worst.
json::object closeness(const LoadPlan &Plan, const LoadResult &Result) {
  if (Plan.Shares_.size() != Plan.Teams_.size())
    return {};
  double SharesSum = 0;
  for (double Share : Plan.Shares_)
    SharesSum += Share;
  std::map<std::int64_t, std::map<std::string, double>> Windows;
  const std::int64_t Last = Plan.RunTime_ / std::chrono::seconds(1) - 1;
  for (const Sample &Item : Result.Samples_) {
    const auto At =
        (Item.SentAt_ + Item.Took_ - Result.Start_) / std::chrono::seconds(1);
    // Skip warm-up and the end: the queues fill in the first second and drain
    // in the last.
    if (Item.Outcome_ == "ran" && At >= 1 && At <= Last)
      ++Windows[At][Item.Team_];
  }
  double Sum = 0, Worst = 0;
  std::size_t Count = 0;
  for (auto &[At, Teams] : Windows) {
    double Total = 0;
    for (const auto &[Team, Work] : Teams)
      Total += Work;
    for (std::size_t I = 0; I < Plan.Teams_.size(); ++I) {
      const double Distance = 100 * std::abs(Teams[Plan.Teams_[I]] / Total -
                                             Plan.Shares_[I] / SharesSum);
      Sum += Distance;
      Worst = std::max(Worst, Distance);
      ++Count;
    }
  }
  return {{"meanPercent", Count ? Sum / static_cast<double>(Count) : 0},
          {"worstPercent", Worst},
          {"windows", Windows.size()}};
}

} // namespace

json::object summarize(const LoadPlan &Plan, const LoadResult &Result) {
  std::map<std::string, std::uint64_t> Outcomes, Codes;
  std::map<std::string, std::map<std::string, std::uint64_t>> Teams;
  for (const Sample &Item : Result.Samples_) {
    ++Outcomes[Item.Outcome_];
    ++Teams[Item.Team_][Item.Outcome_];
    if (!Item.Code_.empty())
      ++Codes[Item.Code_];
  }
  json::object OutcomeJson, CodeJson, TeamJson;
  for (const auto &[Name, Count] : Outcomes)
    OutcomeJson[Name] = Count;
  for (const auto &[Name, Count] : Codes)
    CodeJson[Name] = Count;
  for (const auto &[Team, Counts] : Teams) {
    json::object Row;
    for (const auto &[Name, Count] : Counts)
      Row[Name] = Count;
    TeamJson[Team] = std::move(Row);
  }
  auto Ran = [](const Sample &S) { return S.Outcome_ == "ran"; };
  json::object Report{
      {"requests", Result.Samples_.size()},
      {"seconds", seconds(Result.End_ - Result.Start_)},
      {"ranPerSecond",
       static_cast<double>(Outcomes["ran"]) / seconds(Plan.RunTime_)},
      {"outcomes", std::move(OutcomeJson)},
      {"codes", std::move(CodeJson)},
      {"teams", std::move(TeamJson)},
      {"closeness", closeness(Plan, Result)},
      {"ran", latenciesOf(Result, Ran)},
      {"once", latenciesOf(Result,
                           [&](const Sample &S) {
                             return Ran(S) && !S.Key_.empty() && !S.Replayed_;
                           })},
      {"repeatable",
       latenciesOf(Result,
                   [&](const Sample &S) { return Ran(S) && S.Key_.empty(); })},
      {"urgent", latenciesOf(Result,
                             [&](const Sample &S) {
                               return Ran(S) && S.Class_ == "urgent";
                             })},
      {"refused", latenciesOf(Result, [](const Sample &S) {
         return S.Outcome_ == "not-run";
       })}};
  return Report;
}

json::object
compareWithEndpoints(const LoadResult &Result,
                     const std::map<std::string, std::uint64_t> &Started) {
  std::map<std::string, std::set<std::string>> OutcomesByKey;
  for (const Sample &Item : Result.Samples_)
    if (!Item.Key_.empty())
      OutcomesByKey[Item.Team_ + "/" + Item.Key_].insert(Item.Outcome_);
  std::set<std::string> Twice, NotRunButRan, RanButNot;
  for (const auto &[Key, Outcomes] : OutcomesByKey) {
    const auto Row = Started.find(Key);
    const std::uint64_t Starts = Row == Started.end() ? 0 : Row->second;
    if (Starts > 1)
      Twice.insert(Key);
    if (Starts > 0 && Outcomes == std::set<std::string>{"not-run"})
      NotRunButRan.insert(Key);
    if (Starts == 0 && Outcomes.contains("ran"))
      RanButNot.insert(Key);
  }
  return {{"keys", OutcomesByKey.size()},
          {"ranTwice", toArray(Twice)},
          {"notRunButRan", toArray(NotRunButRan)},
          {"ranButNot", toArray(RanButNot)}};
}

} // namespace laburnumspread::bench
