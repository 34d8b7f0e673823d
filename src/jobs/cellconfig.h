#pragma once

#include "jobs/jobtypes.h"

#include <functional>
#include <map>
#include <string_view>

#include <absl/container/flat_hash_set.h>

namespace laburnumspread::jobs {

using fleet::PoolName;

using ConfigVersion = framework::ids::StrongNumber<struct ConfigVersionTag>;

/// Response times of a queue's advisor, and the lifetime of its answers.
struct AdviceTerms {
  /// Time that the advisor takes per request.
  Duration DecisionTime_{};
  /// Time that it takes in addition for each worker named in the request.
  Duration TimePerWorker_{};
  /// Lifetime of an answer.
  Duration ValidFor_{};

  bool operator==(const AdviceTerms &) const = default;
};

/// Configuration of a queue.
struct QueueConfig {
  QueueName Name_;
  std::string Host_;
  std::string PathPrefix_;
  PoolName Pool_;
  /// 0 is the highest priority.
  std::int64_t Priority_ = 0;
  std::uint32_t MaxAttempts_ = 3;
  /// A job's deadline is Stretch_ times its critical path plus TargetLatency_
  /// after its acceptance.
  double Stretch_ = 1;
  Duration TargetLatency_{};
  bool Public_ = false;
  std::optional<AdviceTerms> Advice_;

  bool operator==(const QueueConfig &) const = default;
};

/// Configuration of a pool.
struct PoolConfig {
  PoolName Name_;
  /// The pool's machines are off and cost nothing.
  bool Standby_ = false;
  /// Its workers refuse tasks that exceed their free resources.
  bool AdmissionCheck_ = false;
};

/// Configuration of a workspace.
struct WorkspaceConfig {
  WorkspaceName Name_;
  std::vector<std::string> Keys_;
  double Weight_ = 1;
  /// Upper limit on the resources of its runs over all workers; 0 for no limit.
  Resources MaxAllowed_;
};

/// The part of the operator's configuration that concerns jobs.
struct CellConfig {
  ConfigVersion Version_;
  std::vector<QueueConfig> Queues_;
  std::map<PoolName, PoolConfig> Pools_;
  std::map<WorkspaceName, WorkspaceConfig> Workspaces_;
  std::map<std::string, WorkspaceName, std::less<>> KeyOwners_;
  std::uint64_t MaxBodyBytes_ = 1024 * 1024;
  std::size_t MaxHeaderBytes_ = 16 * 1024;

  /// Returns the queue, or nullptr if it does not exist.
  const QueueConfig *find(const QueueName &Name) const;
  absl::flat_hash_set<QueueName> queueNames() const;
  /// Returns the queue of the host with the longest matching path prefix, or
  /// nullptr if none matches.
  const QueueConfig *route(std::string_view Host, std::string_view Path) const;
  /// Returns the workspace that owns the key, an empty name if the key is
  /// unknown and the queue is public, or nullopt if access is denied.
  std::optional<WorkspaceName> workspaceOf(std::string_view Key,
                                           const QueueConfig &Queue) const;
};

} // namespace laburnumspread::jobs
