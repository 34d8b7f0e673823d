#pragma once

#include "cell/celltypes.h"
#include "framework/log/log.h"
#include "peers/peermesh.h"

#include <optional>

#include <absl/status/statusor.h>

namespace laburnumspread::cell {

/// Settings of one entry that serves jobs, as its file gives them.
struct CellSettings {
  fleet::EntryName Name_;
  ZoneName Zone_;
  /// Where callers connect.
  Address CallerAddress_;
  /// Where the platform asks whether the entry takes callers.
  Address ReadinessAddress_;
  /// Where other entries connect.
  Address PeerAddress_;
  /// The address that they are told, if it is another: something between passes
  /// connections on.
  std::optional<Address> AdvertisedPeerAddress_;
  Address MetricsAddress_;
  Address StoreAddress_;
  /// The platform's API for machines; no port when there is none.
  Address MachineApiAddress_;
  /// The service that says which workers may run a step; no port for none.
  Address AdvisorAddress_;
  std::string StorePrefix_;
  /// Processor time of the entry, in cores, and the width of its link.
  double Cores_ = 1;
  double LinkMbps_ = 1000;
  peers::PeerKeys PeerKeys_;
  CellBounds Bounds_;
  framework::log::Format LogFormat_ = framework::log::Format::KeyValue;
  framework::log::Level LogLevel_ = framework::log::Level::Info;
};

/// Reads and checks a settings file. The error has one line for each fault:
/// file, line where it is known, field, reason.
absl::StatusOr<CellSettings> loadCellSettings(const std::string &File);
absl::StatusOr<CellSettings> readCellSettings(std::string_view Text,
                                              const std::string &File);

/// Groups of fields in which \p Fresh differs and that an entry takes up only
/// when it starts; empty for none.
std::string settingsNeedingRestart(const CellSettings &InForce,
                                   const CellSettings &Fresh);

} // namespace laburnumspread::cell
