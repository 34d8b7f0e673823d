#pragma once

#include "framework/http/httpclient.h"
#include "soak/entryprocesses.h"
#include "soak/random.h"

namespace laburnumspread::soak {

/// Callers who hand jobs in, ask for their states and cancel some. Each keeps
/// its connections until the entry's process is gone.
class Callers {
public:
  Callers(boost::asio::io_context &Io, const EntryProcesses &Entries,
          JobRecords &Jobs, FindingLog &Findings)
      : Io_(Io), Entries_(Entries), Jobs_(Jobs), FindingLog_(Findings) {}

  void start(std::size_t Count, std::uint64_t Seed);
  /// No more jobs are handed in; those that are there are followed further.
  void stopSubmitting() { Stopping_ = true; }
  /// All entries answer.
  bool allEntriesServe();
  /// Asks for the state of each accepted job once more; returns what is wrong.
  std::vector<std::string> checkFinalStates();

  std::size_t acknowledgedCancels() const { return AcknowledgedCancels_; }

private:
  /// One caller: its draws and its connections.
  struct Caller {
    explicit Caller(std::uint64_t Seed) : Random_(Seed) {}

    Random Random_;
    std::vector<std::unique_ptr<framework::http::Client>> Clients_;
  };
  using CallerPtr = std::shared_ptr<Caller>;

  CallerPtr makeCaller(std::uint64_t Seed) const;
  void submitLoop(const CallerPtr &Self);
  JobRecord &createJob(Caller &Self);
  void submit(Caller &Self, JobRecord &Job);
  void pollUntilDone(Caller &Self, JobRecord &Job);
  void readState(Caller &Self, JobRecord &Job);
  void cancel(Caller &Self, JobRecord &Job);
  /// Status of the answer, NotSent or NoAnswer.
  int call(Caller &Self, const std::string &Method, const std::string &Id,
           const std::string &Body, std::string &ResponseBody);
  void reportClientError(const JobRecord &Job, int Status,
                         const std::string &Call);

  boost::asio::io_context &Io_;
  const EntryProcesses &Entries_;
  JobRecords &Jobs_;
  FindingLog &FindingLog_;
  bool Stopping_ = false;
  std::uint64_t NextJob_ = 1;
  std::size_t AcknowledgedCancels_ = 0;
};

} // namespace laburnumspread::soak
