#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review3 {

/// Milliseconds since the start of the program, on the steady clock.
std::int64_t nowMs();

/// Milliseconds since 1970, on the time of day.
std::int64_t unixMs();

void sleepMs(std::int64_t Time);

/// Writes what was sent, answered and run, with the time of each.
class Record {
public:
  explicit Record(const std::string &File) : Out_(File) {}

  void line(const std::string &Text);

private:
  std::mutex Mutex_;
  std::ofstream Out_;
};

} // namespace review3
