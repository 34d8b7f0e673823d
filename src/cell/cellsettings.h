#pragma once

#include "cell/celltypes.h"
#include "framework/log/log.h"
#include "framework/settings/fieldoverride.h"
#include "peers/peermesh.h"

#include <optional>

#include <absl/status/statusor.h>

namespace laburnumspread::cell {

/// Settings of one entry that serves jobs, as read from its settings file.
struct CellSettings {
  fleet::EntryName Name_;
  ZoneName Zone_;
  /// Address for callers.
  Address CallerAddress_;
  /// Address at which the platform checks whether the entry accepts callers.
  Address ReadinessAddress_;
  /// Address for peers, the other entries.
  Address PeerAddress_;
  /// Address announced to peers if it differs from PeerAddress_, because a
  /// proxy forwards the connections.
  std::optional<Address> AdvertisedPeerAddress_;
  Address MetricsAddress_;
  Address StoreAddress_;
  /// The platform's machine service; port 0 if there is none.
  Address MachineApiAddress_;
  /// The service that advises which workers may run a step; port 0 if there is
  /// none.
  Address AdvisorAddress_;
  std::string StorePrefix_;
  /// CPU time of the entry in cores, and its network bandwidth in Mbit/s.
  double Cores_ = 1;
  double LinkMbps_ = 1000;
  peers::PeerKeys PeerKeys_;
  CellBounds Bounds_;
  framework::log::Format LogFormat_ = framework::log::Format::KeyValue;
  framework::log::Level LogLevel_ = framework::log::Level::Info;
};

/// Reads and validates a settings file, with \p Overrides in place of its own
/// fields. The error message has one line per fault, with file, line if known,
/// field and reason.
absl::StatusOr<CellSettings>
loadCellSettings(const std::string &File,
                 const framework::settings::FieldOverrides &Overrides = {});
absl::StatusOr<CellSettings>
readCellSettings(std::string_view Text, const std::string &File,
                 const framework::settings::FieldOverrides &Overrides = {});

/// Returns the comma-separated names of the settings groups in which \p Updated
/// differs and that take effect only after a restart; empty if there are none.
std::string settingsNeedingRestart(const CellSettings &InForce,
                                   const CellSettings &Updated);

} // namespace laburnumspread::cell
