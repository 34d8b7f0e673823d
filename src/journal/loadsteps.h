#pragma once

#include "framework/fibers/timeslice.h"

#include <functional>

#include <absl/status/status.h>

namespace laburnumspread::journal {

/// The steps of one load of a journal. The lease would expire in the middle of
/// a long load if its renewals waited for the end, and an entry that no longer
/// leads would read on with processor time that its next term needs.
class LoadSteps {
public:
  /// \p GivenUp returns whether the load is not needed any more; null if it
  /// always is. Must outlive this object.
  explicit LoadSteps(const std::function<bool()> &GivenUp)
      : GivenUp_(GivenUp) {}

  /// To be called before each step. Lets other fibers run, and returns Aborted
  /// if the load was given up.
  absl::Status next() {
    Slice_.yieldIfUsed();
    return GivenUp_ && GivenUp_() ? absl::AbortedError("the load was given up")
                                  : absl::OkStatus();
  }

private:
  const std::function<bool()> &GivenUp_;
  framework::fibers::TimeSlice Slice_;
};

} // namespace laburnumspread::journal
