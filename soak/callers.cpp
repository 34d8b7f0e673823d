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
constexpr auto Patience = 3000ms;
/// After so many refusals at the most, and nothing but refusals, a caller gives
/// up.
constexpr std::uint64_t MostAttempts = 6;
constexpr std::uint64_t MostTasks = 4;
/// Standing jobs at once, so that the workers have room for all.
constexpr int MostStanding = 12;

bool refusal(int Status) {
  return Status == 429 || Status == 503 || Status == NotSent;
}

} // namespace

Callers::CallerPtr Callers::make(std::uint64_t Seed) const {
  const auto Result = std::make_shared<Caller>(Seed);
  for (std::size_t I = 0; I < Served_.count(); ++I)
    Result->Clients_.push_back(
        std::make_unique<framework::http::Client>(Io_, Served_.callers(I)));
  return Result;
}

void Callers::start(std::size_t Count, std::uint64_t Seed) {
  Random Draws(Seed);
  for (std::size_t I = 0; I < Count; ++I)
    framework::fibers::spawn([this, Self = make(Draws.split())] { run(Self); });
}

void Callers::run(const CallerPtr &Self) {
  while (!Finishing_) {
    JobRecord &Job = describe(*Self);
    framework::fibers::spawn([this, Self, &Job] {
      submit(*Self, Job);
      follow(*Self, Job);
    });
    sleepFor(Self->Draws_.between(100ms, 700ms));
  }
}

JobRecord &Callers::describe(Caller &Self) {
  char Id[17];
  std::snprintf(Id, sizeof(Id), "%016llx",
                static_cast<unsigned long long>(NextJob_++));
  JobRecord Job;
  Job.Id_ = jobs::JobId(Id);
  const auto Standing = std::ranges::count_if(Book_, [](const JobRecord &Each) {
    return Each.Standing_ && !Each.CancelHeard_ && !Each.Refused_;
  });
  Job.Standing_ = Standing < MostStanding && Self.Draws_.onceIn(4);
  const bool TwoSteps = !Job.Standing_ && Self.Draws_.onceIn(3);
  for (int Step = 0; Step < (TwoSteps ? 2 : 1); ++Step)
    Job.Tasks_.push_back(
        static_cast<std::uint32_t>(1 + Self.Draws_.below(MostTasks)));
  Book_.push_back(Job);
  return Book_.back();
}

int Callers::call(Caller &Self, const std::string &Method,
                  const std::string &Id, const std::string &Body,
                  std::string &Answer) {
  const std::size_t Entry = Self.Draws_.below(Served_.count());
  const auto Heard =
      Self.Clients_[Entry]->exchange(makeJobRequest(Method, Id, Body),
                                     framework::clock::wallDeadline(Patience));
  const bool Sent = Heard.ok() || Heard.status().message().find("not sent") ==
                                      absl::string_view::npos;
  const int Status = Heard.ok() ? Heard->Status_ : Sent ? NoAnswer : NotSent;
  if (Method != "GET")
    framework::log::info("soak.called")
        .field("method", Method)
        .field("job", Id)
        .field("entry", static_cast<std::uint64_t>(Entry))
        .field("status", Status);
  if (Heard.ok())
    Answer = Heard->Body_;
  return Status;
}

void Callers::submit(Caller &Self, JobRecord &Job) {
  const std::string Body =
      makeJobBody(Job.Tasks_, Job.Standing_, Self.Draws_.between(20ms, 1500ms));
  std::string Answer;
  const std::uint64_t Attempts = 1 + Self.Draws_.below(MostAttempts);
  bool OnlyRefused = true;
  for (std::uint64_t Try = 1; !Job.Accepted_; ++Try) {
    const int Status = call(Self, "POST", Job.Id_.str(), Body, Answer);
    Job.Accepted_ = Status == 200;
    if (Status >= 400 && Status < 500 && Status != 429)
      Found_.find("submit of a good job answered " + std::to_string(Status));
    OnlyRefused = OnlyRefused && refusal(Status);
    if (OnlyRefused && Try == Attempts) {
      Job.Refused_ = true;
      return;
    }
    sleepFor(Self.Draws_.between(20ms, 400ms));
  }
}

void Callers::follow(Caller &Self, JobRecord &Job) {
  const bool Cancels = Self.Draws_.onceIn(Job.Standing_ ? 2 : 5);
  const auto CancelAt =
      framework::clock::SteadyClock().now() + Self.Draws_.between(0ms, 5000ms);
  while (!Job.Refused_ && !Job.CancelHeard_ && !Job.DoneHeard_) {
    const bool Due = framework::clock::SteadyClock().now() >= CancelAt;
    if (Job.CancelAsked_ || (Cancels && Due))
      cancel(Self, Job);
    else
      read(Self, Job);
    sleepFor(Self.Draws_.between(50ms, Job.CancelAsked_ ? 200ms : 600ms));
  }
}

void Callers::expectKnown(const JobRecord &Job, int Status,
                          const std::string &Call) {
  if (Status >= 400 && Status < 500 && Status != 429)
    Found_.find(Call + " of an accepted job answered " +
                std::to_string(Status) + ": " + Job.Id_.str());
}

void Callers::read(Caller &Self, JobRecord &Job) {
  std::string Answer;
  const int Status = call(Self, "GET", Job.Id_.str(), "", Answer);
  expectKnown(Job, Status, "read");
  if (Status != 200)
    return;
  const std::string State = parseJobState(Answer);
  Job.DoneHeard_ = State == "done";
  if (State == "failed" || State == "cancelled")
    Found_.find("job that nobody cancelled is " + State + ": " + Job.Id_.str());
  if (Job.DoneHeard_ && Job.Standing_)
    Found_.find("standing job is done: " + Job.Id_.str());
}

void Callers::cancel(Caller &Self, JobRecord &Job) {
  std::string Answer;
  Job.CancelAsked_ = true;
  const int Status = call(Self, "DELETE", Job.Id_.str(), "", Answer);
  expectKnown(Job, Status, "cancel");
  Job.CancelHeard_ = Status == 200;
  Cancels_ += Job.CancelHeard_;
}

bool Callers::served() {
  const CallerPtr Self = make(0);
  for (const auto &Client : Self->Clients_) {
    const auto Heard = Client->exchange(
        makeJobRequest("GET", ""), framework::clock::wallDeadline(Patience));
    if (!Heard.ok() || Heard->Status_ != 200)
      return false;
  }
  return true;
}

std::vector<std::string> Callers::readAll() {
  const CallerPtr Self = make(0);
  std::vector<std::string> Result;
  for (const JobRecord &Job : Book_) {
    if (!Job.Accepted_)
      continue;
    std::string Answer;
    const int Status = call(*Self, "GET", Job.Id_.str(), "", Answer);
    expectKnown(Job, Status, "read at the end");
    const std::string State = Status == 200 ? parseJobState(Answer) : "";
    const bool Right = Job.CancelHeard_
                           ? State == "cancelled" || State == "done"
                       : Job.Standing_ ? State == "running"
                                       : State == "done";
    if (!Right)
      Result.push_back("at the end job " + Job.Id_.str() + " is answered " +
                       std::to_string(Status) + " " + State);
  }
  return Result;
}

} // namespace laburnumspread::soak
