#include "bench/policy/policytypes.h"

#include "sharing/poolqueue.h"

#include <cmath>
#include <deque>
#include <optional>
#include <queue>
#include <random>

namespace laburnumspread::bench {

namespace {

using namespace std::chrono_literals;
using fleet::TeamName;
using framework::clock::Duration;
using framework::clock::TimePoint;

constexpr std::uint32_t PoolSlots = 96;
constexpr Duration RunTime = 50ms;
constexpr Duration SimulatedTime = 60s;
constexpr TimePoint Start{std::chrono::hours(1)};
const fleet::PoolName Pool("orders");

struct TeamWorkload {
  TeamName Name_;
  std::uint32_t Share_;
  /// Requests per second.
  double Rate_;
};

/// The slots serve 1,920 requests per second. The teams send 2.3 times as many:
/// one team sends the most of them, and some send less than their share.
const std::vector<TeamWorkload> &workloads() {
  static const std::vector<TeamWorkload> All = {
      {TeamName("flood"), 1, 2400}, {TeamName("large"), 4, 1000},
      {TeamName("middle"), 2, 500}, {TeamName("other"), 2, 400},
      {TeamName("small"), 1, 60},   {TeamName("tiny"), 1, 40}};
  return All;
}

struct Arrival {
  TimePoint At_;
  std::size_t Team_;
};

std::vector<Arrival> generateArrivals() {
  std::vector<Arrival> All;
  std::mt19937_64 Random(7);
  for (std::size_t T = 0; T < workloads().size(); ++T) {
    std::exponential_distribution<double> Gap(workloads()[T].Rate_);
    double Seconds = Gap(Random);
    while (Seconds < std::chrono::duration<double>(SimulatedTime).count()) {
      All.push_back(
          {Start + Duration(static_cast<std::int64_t>(Seconds * 1e6)), T});
      Seconds += Gap(Random);
    }
  }
  std::sort(All.begin(), All.end(),
            [](const Arrival &A, const Arrival &B) { return A.At_ < B.At_; });
  return All;
}

/// Records throughput by team and the waits of the small team.
struct Outcome {
  std::vector<std::map<std::int64_t, double>> ServedBySecond_{
      workloads().size()};
  std::vector<double> SmallWaits_;

  void recordServed(std::size_t Team, TimePoint ArrivedAt, TimePoint Now) {
    ++ServedBySecond_[Team][(Now - Start) / 1s];
    if (workloads()[Team].Name_ == TeamName("small"))
      SmallWaits_.push_back(
          std::chrono::duration<double>(Now - ArrivedAt).count());
  }

  /// Fair rate of each team, in requests per second: its demand if that is
  /// below its share of the remaining capacity, otherwise that share.
  static std::vector<double> fairRates() {
    std::vector<double> Fair(workloads().size(), 0);
    std::vector<bool> Capped(workloads().size(), false);
    const double Total =
        PoolSlots / std::chrono::duration<double>(RunTime).count();
    for (std::size_t Round = 0; Round < workloads().size(); ++Round) {
      double Left = Total, Weight = 0;
      for (std::size_t T = 0; T < workloads().size(); ++T) {
        if (Capped[T])
          Left -= workloads()[T].Rate_;
        else
          Weight += workloads()[T].Share_;
      }
      for (std::size_t T = 0; T < workloads().size(); ++T) {
        Fair[T] = Capped[T] ? workloads()[T].Rate_
                            : Left * workloads()[T].Share_ / Weight;
        if (Fair[T] > workloads()[T].Rate_)
          Capped[T] = true;
      }
    }
    return Fair;
  }

  boost::json::object report() {
    const auto Fair = fairRates();
    const double Total =
        PoolSlots / std::chrono::duration<double>(RunTime).count();
    double Sum = 0, Worst = 0;
    std::size_t Count = 0;
    for (std::int64_t Second = 2; Second < SimulatedTime / 1s; ++Second)
      for (std::size_t T = 0; T < workloads().size(); ++T) {
        const double Distance =
            100 * std::abs(ServedBySecond_[T][Second] - Fair[T]) / Total;
        Sum += Distance;
        Worst = std::max(Worst, Distance);
        ++Count;
      }
    std::sort(SmallWaits_.begin(), SmallWaits_.end());
    const double P99 =
        SmallWaits_.empty()
            ? 0
            : SmallWaits_[static_cast<std::size_t>(
                  0.99 * static_cast<double>(SmallWaits_.size() - 1))];
    return {{"meanPercent", Sum / static_cast<double>(Count)},
            {"worstPercent", Worst},
            {"smallTeamWaitP99Ms", 1000 * P99}};
  }
};

/// Simulates one policy: its next() returns the next arrival to serve, or
/// nothing.
template <typename Policy> boost::json::object serve(Policy &&Chosen) {
  const auto All = generateArrivals();
  Outcome Result;
  std::priority_queue<std::pair<TimePoint, std::size_t>,
                      std::vector<std::pair<TimePoint, std::size_t>>,
                      std::greater<>>
      Ends;
  std::size_t Next = 0;
  while (Next < All.size()) {
    const bool EndFirst = !Ends.empty() && Ends.top().first <= All[Next].At_;
    const TimePoint Now = EndFirst ? Ends.top().first : All[Next].At_;
    if (EndFirst) {
      Chosen.ended(Ends.top().second);
      Ends.pop();
    } else {
      Chosen.arrived(All[Next++]);
    }
    while (Ends.size() < PoolSlots) {
      const std::optional<Arrival> Item = Chosen.next(Now);
      if (!Item)
        break;
      Result.recordServed(Item->Team_, Item->At_, Now);
      Ends.push({Now + RunTime, Item->Team_});
    }
  }
  return Result.report();
}

/// Limit of a queue, in requests. Both policies have the same, so that both
/// drop what cannot be served.
constexpr std::size_t QueueLimit = 2000;

struct FirstComeFirstServed {
  std::deque<Arrival> Queue_;
  void arrived(const Arrival &Item) {
    if (Queue_.size() < QueueLimit)
      Queue_.push_back(Item);
  }
  void ended(std::size_t) {}
  std::optional<Arrival> next(TimePoint) {
    if (Queue_.empty())
      return std::nullopt;
    const Arrival Item = Queue_.front();
    Queue_.pop_front();
    return Item;
  }
};

struct ShareScheduling {
  sharing::FleetUsage Usage_;
  // The limit applies to each team's queue here: the overloading team would
  // fill one shared queue before the others could enter.
  sharing::PoolQueue Queue_{QueueLimit * 6};
  std::map<sharing::TicketId, Arrival> Waiting_;
  std::uint64_t Id_ = 0;

  static std::size_t teamIndex(const TeamName &Name) {
    for (std::size_t T = 0; T < workloads().size(); ++T)
      if (workloads()[T].Name_ == Name)
        return T;
    return 0;
  }
  void arrived(const Arrival &Item) {
    const TeamName &Team = workloads()[Item.Team_].Name_;
    if (Queue_.waiting(Team) >= QueueLimit)
      return;
    const sharing::TicketId Id(++Id_);
    Queue_
        .push(
            {Id, Team, fleet::RequestClass::Normal, TimePoint::max(), Item.At_})
        .IgnoreError();
    Waiting_[Id] = Item;
    Usage_.addWaiting(Pool, Team, 1);
  }
  void ended(std::size_t Team) {
    Usage_.addRunning(Pool, workloads()[Team].Name_, -1);
  }
  std::optional<Arrival> next(TimePoint Now) {
    const auto Chosen =
        Queue_.selectNext({Usage_, Pool, PoolSlots,
                           [](const TeamName &Name) {
                             return workloads()[teamIndex(Name)].Share_;
                           },
                           [](const TeamName &) { return true; }, Now});
    const auto *Ticket = std::get_if<sharing::Ticket>(&Chosen);
    if (!Ticket)
      return std::nullopt;
    const sharing::Ticket Item = *Ticket;
    Queue_.cancel(Item.Id_);
    Usage_.addWaiting(Pool, Item.Team_, -1);
    Usage_.addRunning(Pool, Item.Team_, 1);
    const Arrival Found = Waiting_.at(Item.Id_);
    Waiting_.erase(Item.Id_);
    return Found;
  }
};

} // namespace

boost::json::object simulateShares() {
  return {{"ours", serve(ShareScheduling())},
          {"firstCome", serve(FirstComeFirstServed())}};
}

} // namespace laburnumspread::bench
