#include "record.h"

#include <thread>

namespace review3 {

namespace {
const auto StartedAt = std::chrono::steady_clock::now();
} // namespace

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - StartedAt)
      .count();
}

std::int64_t unixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void sleepMs(std::int64_t Time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Time));
}

void Record::line(const std::string &Text) {
  const std::lock_guard Lock(Mutex_);
  Out_ << nowMs() << " ms  " << Text << std::endl;
}

} // namespace review3
