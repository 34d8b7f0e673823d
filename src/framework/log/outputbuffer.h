#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumspread::framework::log {

/// Bounded output buffer for a file descriptor. Never blocks on a slow reader:
/// lines that do not fit are dropped and counted.
class OutputBuffer {
public:
  static constexpr std::size_t MaxBytes = 256 * 1024;
  /// A writable pipe accepts this many bytes without blocking.
  static constexpr std::size_t MaxWriteBytes = 4096;

  explicit OutputBuffer(int Descriptor) : Descriptor_(Descriptor) {}

  /// Buffers \p Line, or drops it if it does not fit. Flushes once
  /// MaxWriteBytes are pending.
  void add(std::string_view Line);
  /// Writes as much as the descriptor accepts without blocking.
  void flush();

  /// Number of buffered bytes.
  std::size_t size() const { return Pending_.size(); }
  /// Returns and resets the number of dropped lines.
  std::uint64_t takeDropped();

private:
  int Descriptor_;
  std::string Pending_;
  std::uint64_t Dropped_ = 0;
};

} // namespace laburnumspread::framework::log
