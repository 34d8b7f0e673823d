#include "bench/load/loadrun.h"

#include "ctl/commands.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/http/httpclient.h"
#include "framework/settings/jsonreader.h"

#include <memory>
#include <random>

#include <boost/json/object.hpp>

namespace laburnumspread::bench {

namespace http = framework::http;
using framework::clock::SystemClock;
using framework::fibers::sleepUntil;

namespace {

constexpr int MaxAttempts = 8;
constexpr double PeakFactor = 5;
constexpr double TroughFactor = 0.05;

class Caller {
public:
  Caller(boost::asio::io_context &Io, const LoadPlan &Plan, std::size_t Index,
         LoadResult &Result)
      : Plan_(Plan), Result_(Result),
        Team_(Plan.Teams_[Index % Plan.Teams_.size()]),
        Random_(Plan.Seed_ * 1'000'003 + Index) {
    for (const http::Address &Server : Plan.Servers_)
      Clients_.push_back(std::make_unique<http::Client>(Io, Server));
    Interval_ = Plan.Rate_ > 0
                    ? std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(
                              static_cast<double>(Plan.Callers_) / Plan.Rate_))
                    : Duration(0);
  }

  void run(TimePoint End) {
    TimePoint Next = SystemClock().now() + jitter(Interval_);
    while (SystemClock().now() < End) {
      if (Interval_ > Duration(0)) {
        sleepUntil(Next);
        Next += jitter(2 * Interval_);
      }
      const std::string Pool = pickPool();
      if (!Pool.empty())
        sendRequest(Pool);
    }
  }

private:
  double randomFraction() {
    return std::uniform_real_distribution<double>(0, 1)(Random_);
  }
  Duration jitter(Duration Max) {
    return Max.count() > 0 ? Duration(Random_() % Max.count()) : Max;
  }

  /// Picks a random pool; with rotation, the pool at its peak in most cases.
  std::string pickPool() {
    const std::size_t Any = Random_() % Plan_.Pools_.size();
    if (Plan_.RotationPeriod_ == Duration(0))
      return Plan_.Pools_[Any];
    const auto Turn =
        (SystemClock().now() - Result_.Start_) / Plan_.RotationPeriod_;
    const std::size_t Peak = Turn % Plan_.Pools_.size();
    const double Others =
        TroughFactor * static_cast<double>(Plan_.Pools_.size() - 1);
    if (randomFraction() < PeakFactor / (PeakFactor + Others))
      return Plan_.Pools_[Peak];
    return Plan_.Pools_[Any];
  }

  http::Request makeRequest(const Sample &Item) {
    http::Request Message;
    Message.Method_ = "POST";
    Message.Target_ =
        Plan_.Direct_ ? "/requests" : "/v1/pools/" + Item.Pool_ + "/requests";
    auto &Headers = Message.Headers_;
    Headers.add("Host", "laburnumspread");
    Headers.add("Content-Type", "application/json");
    if (!Plan_.Direct_) {
      Headers.add("Authorization", "Bearer trial-key-of-" + Item.Team_);
      Headers.add("Request-Deadline",
                  std::to_string(framework::clock::toMillis(Item.SentAt_) +
                                 Plan_.TimeoutMs_));
      Headers.add("Request-Class", Item.Class_);
    }
    if (!Item.Key_.empty()) {
      Headers.add("Idempotency-Key", Item.Key_);
      Headers.add("Repeatable", "?0");
    }
    Message.Body_ = "{\"workMs\": " + std::to_string(Plan_.WorkMs_) + "}";
    return Message;
  }

  void sendRequest(const std::string &Pool) {
    Sample Item;
    Item.Pool_ = Pool;
    Item.Team_ = Team_;
    const double Class = randomFraction();
    Item.Class_ = Class < Plan_.UrgentFraction_ ? "urgent"
                  : Class < Plan_.UrgentFraction_ + Plan_.BatchFraction_
                      ? "batch"
                      : "normal";
    if (randomFraction() < Plan_.OnceFraction_)
      Item.Key_ = ctl::newIdempotencyKey();
    const bool Resend =
        !Item.Key_.empty() && randomFraction() < Plan_.ResendFraction_;
    exchange(Item);
    if (Resend)
      exchange(Item);
  }

  void exchange(Sample Item) {
    Item.SentAt_ = SystemClock().now();
    for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt)
      if (!tryExchange(Item))
        break;
    Item.Took_ = SystemClock().now() - Item.SentAt_;
    Result_.Samples_.push_back(std::move(Item));
  }

  /// Returns whether to retry at another entry, as the platform's load balancer
  /// would: the request was not sent, or the entry is starting or leaving.
  bool tryExchange(Sample &Item) {
    http::Client &Server = *Clients_[Random_() % Clients_.size()];
    const auto Response = Server.exchange(
        makeRequest(Item),
        Item.SentAt_ + std::chrono::milliseconds(Plan_.TimeoutMs_ + 2000));
    Item.Outcome_ = "no-answer";
    if (!Response.ok())
      return Response.status().message().find("not sent") !=
             absl::string_view::npos;
    Item.Status_ = Response->Status_;
    Item.Outcome_ = std::string(
        Response->Headers_.find("Request-Outcome")
            .value_or(Plan_.Direct_ && Response->Status_ == 200 ? "ran" : ""));
    Item.Replayed_ =
        Response->Headers_.find("Idempotent-Replay").value_or("") == "true";
    Item.Code_ =
        Item.Outcome_ == "ran" ? std::string() : codeOf(Response->Body_);
    return Item.Code_ == "leaving" || Item.Code_ == "starting";
  }

  static std::string codeOf(const std::string &Body) {
    const auto Document = framework::settings::parseJson(Body);
    if (!Document.ok() || !Document->is_object())
      return "";
    const auto *Code = Document->get_object().if_contains("code");
    return Code && Code->is_string() ? std::string(Code->get_string()) : "";
  }

  const LoadPlan &Plan_;
  LoadResult &Result_;
  /// A caller belongs to one team, so that one that is held up does not hold
  /// up another's work.
  std::string Team_;
  std::mt19937_64 Random_;
  std::vector<std::unique_ptr<http::Client>> Clients_;
  Duration Interval_{0};
};

} // namespace

LoadResult runLoad(boost::asio::io_context &Io, const LoadPlan &Plan) {
  LoadResult Result;
  Result.Start_ = SystemClock().now();
  const TimePoint End = Result.Start_ + Plan.RunTime_;
  std::size_t Active = Plan.Callers_;
  framework::fibers::Waiter Done;
  for (std::size_t I = 0; I < Plan.Callers_; ++I)
    framework::fibers::spawn([&, I] {
      Caller(Io, Plan, I, Result).run(End);
      if (--Active == 0)
        Done.signal();
    });
  const Duration Slack =
      std::chrono::milliseconds(2 * Plan.TimeoutMs_ + 10'000);
  Done.waitUntil(End + Slack);
  Result.End_ = SystemClock().now();
  return Result;
}

} // namespace laburnumspread::bench
