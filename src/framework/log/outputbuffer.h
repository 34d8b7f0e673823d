#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumspread::framework::log {

/// Lines on their way to a descriptor. Never waits for the reader: what does
/// not fit while the reader stands still is dropped and counted.
class OutputBuffer {
public:
  static constexpr std::size_t MaxBytes = 256 * 1024;
  /// A pipe takes this many bytes without waiting when it is writable at all.
  static constexpr std::size_t MaxWriteBytes = 4096;

  explicit OutputBuffer(int Descriptor) : Descriptor_(Descriptor) {}

  void add(std::string_view Line);
  /// Hands on as much as the reader takes.
  void flush();

  std::size_t size() const { return Pending_.size(); }
  /// Lines dropped since the last call.
  std::uint64_t takeDropped();

private:
  int Descriptor_;
  std::string Pending_;
  std::uint64_t Dropped_ = 0;
};

} // namespace laburnumspread::framework::log
