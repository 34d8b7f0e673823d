#include "soak/configprobes.h"

#include "framework/clock/steadyclock.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"

namespace laburnumspread::soak {

using framework::clock::SteadyClock;
using framework::fibers::sleepFor;
using namespace std::chrono_literals;

namespace {

constexpr auto RequestTimeout = 3000ms;
constexpr auto MinPause = 20ms;
constexpr auto MaxPause = 200ms;
/// Of the requests that choose among declared items, so many take one of the
/// last changes.
constexpr std::size_t RecentItems = 4;

/// The queue and the key of the callers' jobs, which always exist.
DeclaredItem permanent(const char *Name) {
  DeclaredItem Result;
  Result.Name_ = Name;
  Result.AddedAt_ = TimePoint();
  return Result;
}

bool removedInTime(const DeclaredItem &Item, TimePoint SentAt) {
  return !Item.AddedAt_ ||
         (Item.RemovedAt_ && *Item.RemovedAt_ + ConfigBound < SentAt);
}

bool declaredInTime(const DeclaredItem &Item, const ConfigProbe &Probe) {
  return Item.AddedAt_ && *Item.AddedAt_ + ConfigBound < Probe.SentAt_ &&
         (!Item.RemovedAt_ || *Item.RemovedAt_ > Probe.AnsweredAt_);
}

std::string describe(const ConfigProbe &Probe, const std::string &What) {
  return "entry " + std::to_string(Probe.Entry_) + " answered " +
         std::to_string(Probe.Status_) + " for queue " + Probe.Queue_.Name_ +
         " with key " + Probe.Key_.Name_ + ": " + What;
}

} // namespace

std::optional<std::string> findConfigViolation(const ConfigProbe &Probe) {
  const bool Served = Probe.Status_ >= 200 && Probe.Status_ < 300;
  if (Served && removedInTime(Probe.Queue_, Probe.SentAt_))
    return describe(Probe, "the queue was removed before the bound");
  if (Served && removedInTime(Probe.Key_, Probe.SentAt_))
    return describe(Probe, "the key was withdrawn before the bound");
  if (Probe.Status_ == 404 && declaredInTime(Probe.Queue_, Probe))
    return describe(Probe, "the queue was added before the bound");
  if (Probe.Status_ == 401 && declaredInTime(Probe.Key_, Probe))
    return describe(Probe, "the key was added before the bound");
  return std::nullopt;
}

ConfigProbes::ConfigProbes(boost::asio::io_context &Io,
                           const EntryProcesses &Entries,
                           const ConfigChanges &Changes, FindingLog &Findings)
    : Entries_(Entries), Changes_(Changes), FindingLog_(Findings) {
  for (std::size_t I = 0; I < Entries.count(); ++I)
    Clients_.push_back(std::make_unique<framework::http::Client>(
        Io, Entries.callerAddress(I)));
}

void ConfigProbes::start(std::uint64_t Seed) {
  Random Seeds(Seed);
  for (std::size_t I = 0; I < Entries_.count(); ++I)
    framework::fibers::spawn(
        [this, I, Own = Seeds.split()] { askLoop(I, Own); });
}

void ConfigProbes::askLoop(std::size_t Entry, std::uint64_t Seed) {
  Random Choices(Seed);
  while (true) {
    sleepFor(Choices.between(MinPause, MaxPause));
    ConfigProbe Probe;
    Probe.Entry_ = Entry;
    Probe.Queue_ = permanent(platform::standin::PermanentQueue);
    Probe.Key_ = permanent(platform::standin::PermanentKey);
    if (Choices.oneIn(3))
      Probe.Key_ = choose(Changes_.keys(), Choices, "nokey");
    else
      Probe.Queue_ = choose(Changes_.queues(), Choices, "none");
    ask(Probe);
    if (const auto Violation = findConfigViolation(Probe))
      FindingLog_.report(*Violation);
  }
}

DeclaredItem ConfigProbes::choose(const std::deque<DeclaredItem> &From,
                                  Random &Choices,
                                  const std::string &NeverName) {
  DeclaredItem Never;
  Never.Name_ = NeverName;
  if (From.empty() || Choices.oneIn(8))
    return Never;
  const std::size_t Span =
      Choices.oneIn(3) ? From.size() : std::min(From.size(), RecentItems);
  return From[From.size() - 1 - Choices.below(Span)];
}

void ConfigProbes::ask(ConfigProbe &Probe) {
  Probe.SentAt_ = SteadyClock().now();
  const auto Response = Clients_[Probe.Entry_]->exchange(
      platform::standin::makeCountRequest(Probe.Queue_.Name_, Probe.Key_.Name_),
      framework::clock::wallDeadline(RequestTimeout));
  Probe.AnsweredAt_ = SteadyClock().now();
  Probe.Status_ = Response.ok() ? Response->Status_ : 0;
  Answered_ += Response.ok();
}

std::vector<std::string> ConfigProbes::findEntriesBehind() {
  std::vector<std::string> Result;
  ConfigProbe Probe;
  Probe.Queue_ = permanent(platform::standin::PermanentQueue);
  for (const DeclaredItem &Queue : Changes_.queues())
    if (Queue.declared())
      Probe.Queue_ = Queue;
  Probe.Key_ = permanent(platform::standin::PermanentKey);
  for (Probe.Entry_ = 0; Probe.Entry_ < Entries_.count(); ++Probe.Entry_) {
    ask(Probe);
    if (Probe.Status_ != 200)
      Result.push_back("entry " + std::to_string(Probe.Entry_) +
                       " does not serve the newest queue " +
                       Probe.Queue_.Name_);
  }
  return Result;
}

} // namespace laburnumspread::soak
