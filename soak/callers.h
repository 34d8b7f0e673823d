#pragma once

#include "framework/http/httpclient.h"
#include "soak/entries.h"
#include "soak/random.h"

namespace laburnumspread::soak {

/// Callers who hand jobs in, ask for their states and cancel some. Each keeps
/// its connections until the entry's process is gone.
class Callers {
public:
  Callers(boost::asio::io_context &Io, const Entries &Served, JobBook &Book,
          Verdict &Found)
      : Io_(Io), Served_(Served), Book_(Book), Found_(Found) {}

  void start(std::size_t Count, std::uint64_t Seed);
  /// No more jobs are handed in; those that are there are followed further.
  void finish() { Finishing_ = true; }
  /// All entries answer.
  bool served();
  /// Asks for the state of each accepted job once more; returns what is wrong.
  std::vector<std::string> readAll();

  std::size_t cancels() const { return Cancels_; }

private:
  /// One caller: its draws and its connections.
  struct Caller {
    explicit Caller(std::uint64_t Seed) : Draws_(Seed) {}

    Random Draws_;
    std::vector<std::unique_ptr<framework::http::Client>> Clients_;
  };
  using CallerPtr = std::shared_ptr<Caller>;

  CallerPtr make(std::uint64_t Seed) const;
  void run(const CallerPtr &Self);
  JobRecord &describe(Caller &Self);
  void submit(Caller &Self, JobRecord &Job);
  void follow(Caller &Self, JobRecord &Job);
  void read(Caller &Self, JobRecord &Job);
  void cancel(Caller &Self, JobRecord &Job);
  /// Status of the answer, NotSent or NoAnswer.
  int call(Caller &Self, const std::string &Method, const std::string &Id,
           const std::string &Body, std::string &Answer);
  void expectKnown(const JobRecord &Job, int Status, const std::string &Call);

  boost::asio::io_context &Io_;
  const Entries &Served_;
  JobBook &Book_;
  Verdict &Found_;
  bool Finishing_ = false;
  std::uint64_t NextJob_ = 1;
  std::size_t Cancels_ = 0;
};

} // namespace laburnumspread::soak
