#include "framework/log/outputbuffer.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace laburnumspread::framework::log {

void OutputBuffer::add(std::string_view Line) {
  if (Pending_.size() + Line.size() > MaxBytes) {
    ++Dropped_;
    return;
  }
  Pending_ += Line;
  if (Pending_.size() >= MaxWriteBytes)
    flush();
}

void OutputBuffer::flush() {
  std::size_t Written = 0;
  while (Written < Pending_.size()) {
    pollfd Ready{Descriptor_, POLLOUT, 0};
    if (poll(&Ready, 1, 0) <= 0 || !(Ready.revents & POLLOUT))
      break;
    const ssize_t Done =
        write(Descriptor_, Pending_.data() + Written,
              std::min(MaxWriteBytes, Pending_.size() - Written));
    if (Done <= 0)
      break;
    Written += static_cast<std::size_t>(Done);
  }
  Pending_.erase(0, Written);
}

std::uint64_t OutputBuffer::takeDropped() {
  const std::uint64_t Taken = Dropped_;
  Dropped_ = 0;
  return Taken;
}

} // namespace laburnumspread::framework::log
