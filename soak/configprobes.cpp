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
const DeclaredItem &permanentQueue() {
  static const DeclaredItem Result{platform::standin::PermanentQueue,
                                   TimePoint(), std::nullopt};
  return Result;
}
const DeclaredItem &permanentKey() {
  static const DeclaredItem Result{platform::standin::PermanentKey, TimePoint(),
                                   std::nullopt};
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
    const bool AskKey = Choices.oneIn(3);
    const DeclaredItem &Queue =
        AskKey ? permanentQueue() : choose(Changes_.queues(), Choices);
    const DeclaredItem &Key =
        AskKey ? choose(Changes_.keys(), Choices) : permanentKey();
    if (const auto Violation = findConfigViolation(ask(Entry, Queue, Key)))
      FindingLog_.report(*Violation);
  }
}

const DeclaredItem &ConfigProbes::choose(const std::deque<DeclaredItem> &From,
                                         Random &Choices) {
  static const DeclaredItem Never{"none", std::nullopt, std::nullopt};
  if (From.empty() || Choices.oneIn(8))
    return Never;
  const std::size_t Span =
      Choices.oneIn(3) ? From.size() : std::min(From.size(), RecentItems);
  return From[From.size() - 1 - Choices.below(Span)];
}

ConfigProbe ConfigProbes::ask(std::size_t Entry, const DeclaredItem &Queue,
                              const DeclaredItem &Key) {
  ConfigProbe Result;
  Result.Entry_ = Entry;
  Result.SentAt_ = SteadyClock().now();
  const auto Response = Clients_[Entry]->exchange(
      platform::standin::makeCountRequest(Queue.Name_, Key.Name_),
      framework::clock::wallDeadline(RequestTimeout));
  Result.AnsweredAt_ = SteadyClock().now();
  Result.Status_ = Response.ok() ? Response->Status_ : 0;
  Result.Queue_ = Queue;
  Result.Key_ = Key;
  Answered_ += Response.ok();
  return Result;
}

std::vector<std::string> ConfigProbes::findEntriesBehind() {
  const DeclaredItem *Newest = &permanentQueue();
  for (const DeclaredItem &Queue : Changes_.queues())
    if (Queue.declared())
      Newest = &Queue;
  std::vector<std::string> Result;
  for (std::size_t I = 0; I < Entries_.count(); ++I)
    if (ask(I, *Newest, permanentKey()).Status_ != 200)
      Result.push_back("entry " + std::to_string(I) +
                       " does not serve the newest queue " + Newest->Name_);
  return Result;
}

} // namespace laburnumspread::soak
