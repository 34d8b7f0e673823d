#pragma once

#include "cell/cellsettings.h"

#include <functional>
#include <memory>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>

namespace laburnumspread::app {

/// An entry that serves jobs on the platform: accepts callers' requests and
/// campaigns for leadership of the cell. Not thread-safe; all work runs on the
/// thread of the io_context.
class CellApp {
public:
  CellApp(boost::asio::io_context &Io, cell::CellSettings Settings);
  ~CellApp();

  /// Binds the ports and starts all services. Returns the error of a port that
  /// cannot be bound.
  absl::Status start();

  /// Graceful shutdown: hands leadership over and continues to serve requests
  /// until the platform no longer routes callers here. Blocks the fiber until
  /// the requests in flight are answered or the grace period is almost over.
  void stop();

  std::uint16_t callerPort() const;
  std::uint16_t metricsPort() const;
  /// Whether this entry leads the cell.
  bool leads() const;

  /// Applies the settings that can change at run time. Logs the names of
  /// changed settings that need a restart.
  void reload(const cell::CellSettings &Settings);

  /// Returns the state of the process as JSON text.
  std::string dump() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace laburnumspread::app
