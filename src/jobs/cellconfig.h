#pragma once

#include "jobs/jobtypes.h"

#include <functional>
#include <map>
#include <string_view>

namespace laburnumspread::jobs {

using fleet::PoolName;

using ConfigVersion = framework::ids::StrongNumber<struct ConfigVersionTag>;

/// What the advisor of a queue costs, and how long its word holds.
struct AdviceTerms {
  Duration DecisionTime_{};
  Duration TimePerWorker_{};
  Duration ValidFor_{};
};

struct QueueConfig {
  QueueName Name_;
  std::string Host_;
  std::string PathPrefix_;
  PoolName Pool_;
  /// 0 comes first.
  std::int64_t Priority_ = 0;
  std::uint32_t MaxAttempts_ = 3;
  /// A job is in time within this many times its longest chain of work and
  /// TargetLatency_ more.
  double Stretch_ = 1;
  Duration TargetLatency_{};
  bool Public_ = false;
  std::optional<AdviceTerms> Advice_;
};

struct PoolConfig {
  PoolName Name_;
  /// The pool's machines are off and cost nothing.
  bool Standby_ = false;
  /// Its workers refuse what they have no room for.
  bool AdmissionCheck_ = false;
};

struct WorkspaceConfig {
  WorkspaceName Name_;
  std::vector<std::string> Keys_;
  double Weight_ = 1;
  /// Bound on what runs over all workers; 0 for none.
  Resources MaxAllowed_;
};

/// The operator's configuration, as far as jobs need it.
struct CellConfig {
  ConfigVersion Version_;
  std::vector<QueueConfig> Queues_;
  std::map<PoolName, PoolConfig> Pools_;
  std::map<WorkspaceName, WorkspaceConfig> Workspaces_;
  std::map<std::string, WorkspaceName, std::less<>> KeyOwners_;
  std::uint64_t MaxBodyBytes_ = 1024 * 1024;
  std::size_t MaxHeaderBytes_ = 16 * 1024;

  const QueueConfig *find(const QueueName &Name) const;
  /// The queue of a host with the longest prefix that the path begins with.
  const QueueConfig *route(std::string_view Host, std::string_view Path) const;
  /// Returns the workspace that owns the key, an empty name if the key is
  /// unknown and the queue is public, or nullopt if access is denied.
  std::optional<WorkspaceName> workspaceOf(std::string_view Key,
                                           const QueueConfig &Queue) const;
};

} // namespace laburnumspread::jobs
