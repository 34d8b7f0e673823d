#include "soak/callers.h"

#include "framework/clock/steadyclock.h"
#include "framework/fibers/spawn.h"
#include "framework/fibers/waiter.h"
#include "framework/log/log.h"
#include "platform/standin/testrequests.h"

#include <cstdio>

namespace laburnumspread::soak {

using framework::fibers::sleepFor;
using platform::standin::makeJobBody;
using platform::standin::makeJobRequest;
using platform::standin::parseJobState;
using namespace std::chrono_literals;

namespace {

constexpr int NotSent = 0;
constexpr int NoAnswer = -1;
constexpr auto RequestTimeout = 3000ms;
/// Limit of concurrent standing jobs, so that the workers have capacity for
/// all.
constexpr int MaxStandingJobs = 12;

bool isRefusal(int Status) {
  return Status == 429 || Status == 503 || Status == NotSent;
}

} // namespace

const Callers::Workload Callers::Usual = {
    .MinInterval_ = 100ms,
    .MaxInterval_ = 700ms,
    .MinRunTime_ = 20ms,
    .MaxRunTime_ = 1500ms,
    .MinTasks_ = 1,
    .MaxTasks_ = 4,
    .MaxRefusals_ = 6,
    .MayStand_ = true,
};

// Callers give up early: an attempt after an untrue refusal finds the job
// accepted, which hides the fault.
const Callers::Workload Callers::Crowd = {
    .MinInterval_ = 20ms,
    .MaxInterval_ = 200ms,
    .MinRunTime_ = 100ms,
    .MaxRunTime_ = 400ms,
    .MinTasks_ = 8,
    .MaxTasks_ = 16,
    .MaxRefusals_ = 2,
    .MayStand_ = false,
};

Callers::CallerPtr Callers::makeCaller(std::uint64_t Seed,
                                       const Workload &Load) const {
  const auto Result = std::make_shared<Caller>(Seed, Load);
  for (std::size_t I = 0; I < Entries_.count(); ++I)
    Result->Clients_.push_back(std::make_unique<framework::http::Client>(
        Io_, Entries_.callerAddress(I)));
  return Result;
}

void Callers::start(std::size_t Count, std::uint64_t Seed) {
  startCallers(Count, Seed, Usual);
}

std::function<void()> Callers::startCrowd(std::size_t Count,
                                          std::uint64_t Seed) {
  return [Started = startCallers(Count, Seed, Crowd)] {
    for (const CallerPtr &Each : Started)
      Each->Stopped_ = true;
  };
}

std::vector<Callers::CallerPtr> Callers::startCallers(std::size_t Count,
                                                      std::uint64_t Seed,
                                                      const Workload &Load) {
  Random Generator(Seed);
  std::vector<CallerPtr> Started;
  for (std::size_t I = 0; I < Count; ++I) {
    Started.push_back(makeCaller(Generator.split(), Load));
    framework::fibers::spawn(
        [this, Self = Started.back()] { submitLoop(Self); });
  }
  return Started;
}

void Callers::submitLoop(const CallerPtr &Self) {
  while (!Stopping_ && !Self->Stopped_) {
    JobRecord &Job = createJob(*Self);
    framework::fibers::spawn([this, Self, &Job] {
      submit(*Self, Job);
      pollUntilDone(*Self, Job);
    });
    sleepFor(Self->Random_.between(Self->Load_.MinInterval_,
                                   Self->Load_.MaxInterval_));
  }
}

JobRecord &Callers::createJob(Caller &Self) {
  char Id[17];
  std::snprintf(Id, sizeof(Id), "%016llx",
                static_cast<unsigned long long>(NextJob_++));
  JobRecord Job;
  Job.Id_ = jobs::JobId(Id);
  const auto Standing = std::ranges::count_if(Jobs_, [](const JobRecord &Each) {
    return Each.Standing_ && !Each.CancelAcknowledged_ && !Each.Refused_;
  });
  Job.Standing_ = Self.Load_.MayStand_ && Standing < MaxStandingJobs &&
                  Self.Random_.oneIn(4);
  const bool TwoSteps = !Job.Standing_ && Self.Random_.oneIn(3);
  for (int Step = 0; Step < (TwoSteps ? 2 : 1); ++Step)
    Job.Tasks_.push_back(static_cast<std::uint32_t>(
        Self.Load_.MinTasks_ +
        Self.Random_.below(Self.Load_.MaxTasks_ - Self.Load_.MinTasks_ + 1)));
  Jobs_.push_back(Job);
  return Jobs_.back();
}

int Callers::call(Caller &Self, const std::string &Method,
                  const std::string &Id, const std::string &Body,
                  std::string &ResponseBody) {
  const std::size_t Entry = Self.Random_.below(Entries_.count());
  const auto Response = Self.Clients_[Entry]->exchange(
      makeJobRequest(Method, Id, Body),
      framework::clock::wallDeadline(RequestTimeout));
  const bool Sent = Response.ok() || Response.status().message().find(
                                         "not sent") == absl::string_view::npos;
  const int Status = Response.ok() ? Response->Status_
                     : Sent        ? NoAnswer
                                   : NotSent;
  if (Method != "GET")
    framework::log::info("soak.called")
        .field("method", Method)
        .field("job", Id)
        .field("entry", static_cast<std::uint64_t>(Entry))
        .field("status", Status);
  if (Response.ok())
    ResponseBody = Response->Body_;
  return Status;
}

void Callers::submit(Caller &Self, JobRecord &Job) {
  const std::string Body = makeJobBody(
      Job.Tasks_, Job.Standing_,
      Self.Random_.between(Self.Load_.MinRunTime_, Self.Load_.MaxRunTime_));
  std::string ResponseBody;
  const std::uint64_t RefusalLimit =
      1 + Self.Random_.below(Self.Load_.MaxRefusals_);
  bool OnlyRefused = true;
  for (std::uint64_t Attempt = 1; !Job.Accepted_; ++Attempt) {
    const int Status = call(Self, "POST", Job.Id_.str(), Body, ResponseBody);
    Job.Accepted_ = Status == 200;
    if (Status >= 400 && Status < 500 && Status != 429)
      FindingLog_.report("submit of a valid job was answered with status " +
                         std::to_string(Status));
    OnlyRefused = OnlyRefused && isRefusal(Status);
    if (OnlyRefused && Attempt == RefusalLimit) {
      Job.Refused_ = true;
      return;
    }
    sleepFor(Self.Random_.between(20ms, 400ms));
  }
}

void Callers::pollUntilDone(Caller &Self, JobRecord &Job) {
  const bool WillCancel = Self.Random_.oneIn(Job.Standing_ ? 2 : 5);
  const auto CancelAt =
      framework::clock::SteadyClock().now() + Self.Random_.between(0ms, 5000ms);
  while (!Job.Refused_ && !Job.CancelAcknowledged_ && !Job.DoneObserved_) {
    const bool Due = framework::clock::SteadyClock().now() >= CancelAt;
    if (Job.CancelRequested_ || (WillCancel && Due))
      cancel(Self, Job);
    else
      readState(Self, Job);
    sleepFor(Self.Random_.between(50ms, Job.CancelRequested_ ? 200ms : 600ms));
  }
}

void Callers::reportClientError(const JobRecord &Job, int Status,
                                const std::string &Call) {
  if (Status >= 400 && Status < 500 && Status != 429)
    FindingLog_.report(Call + " of an accepted job was answered with status " +
                       std::to_string(Status) + ": " + Job.Id_.str());
}

void Callers::readState(Caller &Self, JobRecord &Job) {
  std::string ResponseBody;
  const int Status = call(Self, "GET", Job.Id_.str(), "", ResponseBody);
  reportClientError(Job, Status, "read");
  if (Status != 200)
    return;
  const std::string State = parseJobState(ResponseBody);
  Job.DoneObserved_ = State == "done";
  if (State == "failed" || State == "cancelled")
    FindingLog_.report("job without a cancel request is " + State + ": " +
                       Job.Id_.str());
  if (Job.DoneObserved_ && Job.Standing_)
    FindingLog_.report("standing job is done: " + Job.Id_.str());
}

void Callers::cancel(Caller &Self, JobRecord &Job) {
  std::string ResponseBody;
  Job.CancelRequested_ = true;
  const int Status = call(Self, "DELETE", Job.Id_.str(), "", ResponseBody);
  reportClientError(Job, Status, "cancel");
  Job.CancelAcknowledged_ = Status == 200;
  AcknowledgedCancels_ += Job.CancelAcknowledged_;
}

bool Callers::allEntriesServe() {
  const CallerPtr Self = makeCaller(0, Usual);
  for (const auto &Client : Self->Clients_) {
    const auto Response =
        Client->exchange(makeJobRequest("GET", ""),
                         framework::clock::wallDeadline(RequestTimeout));
    if (!Response.ok() || Response->Status_ != 200)
      return false;
  }
  return true;
}

std::vector<std::string> Callers::checkFinalStates() {
  const CallerPtr Self = makeCaller(0, Usual);
  std::vector<std::string> Result;
  for (const JobRecord &Job : Jobs_) {
    if (!Job.Accepted_)
      continue;
    std::string ResponseBody;
    const int Status = call(*Self, "GET", Job.Id_.str(), "", ResponseBody);
    reportClientError(Job, Status, "read at the end");
    const std::string State = Status == 200 ? parseJobState(ResponseBody) : "";
    const bool Expected = Job.CancelAcknowledged_
                              ? State == "cancelled" || State == "done"
                          : Job.Standing_ ? State == "running"
                                          : State == "done";
    if (!Expected)
      Result.push_back("final state of job " + Job.Id_.str() +
                       " is wrong: status " + std::to_string(Status) + " " +
                       State);
  }
  return Result;
}

} // namespace laburnumspread::soak
