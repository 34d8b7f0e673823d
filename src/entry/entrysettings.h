#pragma once

#include "framework/http/httpserver.h"
#include "framework/log/log.h"
#include "framework/settings/fielderror.h"
#include "framework/settings/fieldoverride.h"
#include "membership/membershiptypes.h"
#include "peers/peermesh.h"

#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace laburnumspread::entry {

struct OperatorKey {
  std::string Name_;
  std::string Sha256_;
};

/// Settings of one entry, read from its settings file.
struct EntrySettings {
  fleet::EntryName Name_;
  fleet::VmName Vm_;
  fleet::ZoneName Zone_;
  framework::http::Address HttpListen_;
  framework::http::Address PeerListen_;
  /// Peer addresses of other entries, used to start while the store is down.
  std::vector<std::string> Seeds_;
  std::vector<framework::http::Address> StoreEndpoints_;
  std::string StorePrefix_;
  framework::http::Address Platform_;
  peers::PeerKeys PeerKeys_;
  std::vector<OperatorKey> OperatorKeys_;
  framework::http::ServerLimits HttpLimits_;
  /// Maximum size in bytes of an endpoint's answer that is forwarded.
  std::uint64_t AnswerBytes_ = 64ULL * 1024 * 1024;
  framework::log::Format LogFormat_ = framework::log::Format::KeyValue;
  framework::log::Level LogLevel_ = framework::log::Level::Info;
  /// Delay in milliseconds added to each message to another zone, for
  /// measurements on a single machine.
  std::int64_t InjectedPeerDelayMs_ = 0;
  /// Whether this entry may acquire the planner lease.
  bool Planner_ = true;
  /// Weights of the score that ranks VM moves between pools.
  double WeightCloseness_ = 1;
  double WeightMoves_ = 1;
  double WeightBuffer_ = 1;
};

/// Reads and validates a settings file, with \p Overrides in place of its own
/// fields. The error has one line for each fault: file, line number if known,
/// field, reason.
absl::StatusOr<EntrySettings>
loadSettings(const std::string &File,
             const framework::settings::FieldOverrides &Overrides = {});
absl::StatusOr<EntrySettings>
readSettings(std::string_view Text, const std::string &File,
             const framework::settings::FieldOverrides &Overrides = {});

} // namespace laburnumspread::entry
