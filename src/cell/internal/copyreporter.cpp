#include "cell/copyreporter.h"

#include "framework/log/log.h"

namespace laburnumspread::cell {

namespace {

std::int64_t toMs(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time).count();
}

} // namespace

void CopyReporter::started(const scheduling::Copy &Item) {
  framework::log::info("run.speculated")
      .field("task", Item.Start_.Run_.Task_.str())
      .field("run", Item.Start_.Run_.Run_.value())
      .field("worker", Item.Start_.Worker_.Id_.str())
      .field("beside", Item.Beside_.Run_.value())
      .field("expected_ms", toMs(Item.Expected_))
      .field("running_ms", toMs(Item.Running_));
  Started_.add();
}

void CopyReporter::ended(Duration Time, std::int64_t MilliCpus, bool Won) {
  if (Won)
    Won_.add();
  Remainder_ += std::chrono::duration<double>(Time).count() *
                static_cast<double>(MilliCpus) / 1000;
  const auto Whole = static_cast<std::uint64_t>(Remainder_);
  CoreSeconds_.add(Whole);
  Remainder_ -= static_cast<double>(Whole);
}

} // namespace laburnumspread::cell
