#pragma once

#include "framework/http/httpclient.h"
#include "soak/entryprocesses.h"
#include "soak/random.h"

namespace laburnumspread::soak {

/// Workload generator: simulated callers that submit jobs, poll their states
/// and cancel some of them. Each caller keeps its connections open until the
/// entry's process exits.
class Callers {
public:
  Callers(boost::asio::io_context &Io, const EntryProcesses &Entries,
          JobRecords &Jobs, FindingLog &Findings)
      : Io_(Io), Entries_(Entries), Jobs_(Jobs), FindingLog_(Findings) {}

  /// Starts \p Count callers, whose random choices derive from \p Seed.
  void start(std::size_t Count, std::uint64_t Seed);
  /// Starts \p Count more callers, which together submit more than the pool
  /// can do. Returns what makes them stop submitting.
  std::function<void()> startCrowd(std::size_t Count, std::uint64_t Seed);
  /// Stops submitting jobs; jobs already submitted are still polled.
  void stopSubmitting() { Stopping_ = true; }
  /// Whether every entry answers a request with status 200.
  bool allEntriesServe();
  /// Reads the state of every accepted job once and returns a message for each
  /// state that does not match what its caller was told.
  std::vector<std::string> checkFinalStates();

  /// Number of cancels answered with status 200.
  std::size_t acknowledgedCancels() const { return AcknowledgedCancels_; }

private:
  /// What a caller submits; all bounds are included.
  struct Workload {
    milliseconds MinInterval_, MaxInterval_;
    milliseconds MinRunTime_, MaxRunTime_;
    std::uint64_t MinTasks_, MaxTasks_;
    /// Upper limit of the random number of attempts after which a caller gives
    /// up, if all of them were refused.
    std::uint64_t MaxRefusals_;
    bool MayStand_;
  };
  static const Workload Usual;
  static const Workload Crowd;

  /// One caller: its random numbers and a client for each entry.
  struct Caller {
    Caller(std::uint64_t Seed, const Workload &Load)
        : Random_(Seed), Load_(Load) {}

    Random Random_;
    const Workload &Load_;
    /// Whether the caller's own crowd has stopped submitting.
    bool Stopped_ = false;
    std::vector<std::unique_ptr<framework::http::Client>> Clients_;
  };
  using CallerPtr = std::shared_ptr<Caller>;

  CallerPtr makeCaller(std::uint64_t Seed, const Workload &Load) const;
  std::vector<CallerPtr> startCallers(std::size_t Count, std::uint64_t Seed,
                                      const Workload &Load);
  void submitLoop(const CallerPtr &Self);
  /// Adds a record of a random job that has not been submitted yet.
  JobRecord &createJob(Caller &Self);
  /// Retries until the job is accepted, or gives up after a random number of
  /// attempts that were all refused.
  void submit(Caller &Self, JobRecord &Job);
  /// Polls the job until it is done or its cancel is acknowledged, and cancels
  /// some jobs after a random time.
  void pollUntilDone(Caller &Self, JobRecord &Job);
  void readState(Caller &Self, JobRecord &Job);
  void cancel(Caller &Self, JobRecord &Job);
  /// Sends a request to a random entry. Returns the status of the response,
  /// NotSent or NoAnswer.
  int call(Caller &Self, const std::string &Method, const std::string &Id,
           const std::string &Body, std::string &ResponseBody);
  /// Reports a 4xx status other than 429 on a call about an accepted job.
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
