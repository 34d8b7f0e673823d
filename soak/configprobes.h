#pragma once

#include "framework/http/httpclient.h"
#include "soak/configchanges.h"
#include "soak/entryprocesses.h"

namespace laburnumspread::soak {

/// Time within which a change of the configuration must be in force at every
/// entry, as the entries' settings say.
constexpr milliseconds ConfigBound{2000};

/// A count that one entry was asked for.
struct ConfigProbe {
  std::size_t Entry_ = 0;
  DeclaredItem Queue_;
  DeclaredItem Key_;
  TimePoint SentAt_{};
  TimePoint AnsweredAt_{};
  /// HTTP status; 0 if there was no answer.
  int Status_ = 0;
};

/// Returns a finding if the answer is one that only an older configuration
/// allows than those that had been acknowledged ConfigBound before the request.
/// Faults of entries are no excuse: an entry that is not current may say 503.
std::optional<std::string> findConfigViolation(const ConfigProbe &Probe);

/// Asks every entry directly for the counts of queues that were just added,
/// just removed, or never existed, with keys that were added and withdrawn, and
/// keeps its connections open until the entry's process exits.
class ConfigProbes {
public:
  ConfigProbes(boost::asio::io_context &Io, const EntryProcesses &Entries,
               const ConfigChanges &Changes, FindingLog &Findings);

  /// Starts asking each entry again and again.
  void start(std::uint64_t Seed);
  /// Returns a message for each entry that does not serve the newest queue.
  std::vector<std::string> findEntriesBehind();

  std::size_t answered() const { return Answered_; }

private:
  void askLoop(std::size_t Entry, std::uint64_t Seed);
  /// Returns one of the last changes or a random item, or one that was never
  /// declared.
  static const DeclaredItem &choose(const std::deque<DeclaredItem> &From,
                                    Random &Choices);
  /// Asks an entry. The items are those as of the answer: they may be removed
  /// while it is under way.
  ConfigProbe ask(std::size_t Entry, const DeclaredItem &Queue,
                  const DeclaredItem &Key);

  const EntryProcesses &Entries_;
  const ConfigChanges &Changes_;
  FindingLog &FindingLog_;
  std::vector<std::unique_ptr<framework::http::Client>> Clients_;
  std::size_t Answered_ = 0;
};

} // namespace laburnumspread::soak
