#pragma once

#include "jobs/jobtypes.h"

namespace laburnumspread::scheduling {

/// Upper limit on what a workspace holds. A resource of which the limit is 0 is
/// unlimited.
///
/// Tasks have any size, also above the limit or above what is left of it. So
/// that each can start, the platform lets a start exceed the limit by up to one
/// task, and expects it as long as the workspace holds under half of its limit.
/// The limit is exceeded in this case alone: otherwise a workspace would hold
/// one task more than its limit all the time.
class WorkspaceLimit {
public:
  explicit WorkspaceLimit(const jobs::Resources &MaxAllowed)
      : MaxAllowed_(MaxAllowed) {}

  /// Whether a workspace may hold \p Amount without exceeding the limit.
  bool contains(const jobs::Resources &Amount) const;

  /// Whether a workspace that holds \p Held may start tasks at once, of which
  /// each holds \p Each and all hold \p Together: one task, or a gang.
  bool admits(const jobs::Resources &Held, const jobs::Resources &Together,
              const jobs::Resources &Each) const;

private:
  /// Whether \p Held is under half of the limit, in each limited resource.
  bool underHalf(const jobs::Resources &Held) const;

  jobs::Resources MaxAllowed_;
};

} // namespace laburnumspread::scheduling
