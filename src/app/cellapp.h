#pragma once

#include "cell/cellsettings.h"

#include <functional>
#include <memory>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>

namespace laburnumspread::app {

/// One entry that serves jobs on the platform: takes callers, and leads the
/// cell when no other entry does. Lives on one thread.
class CellApp {
public:
  CellApp(boost::asio::io_context &Io, cell::CellSettings Settings);
  ~CellApp();

  /// Binds the ports and starts all parts.
  absl::Status start();

  /// Graceful shutdown: hands the cell over, answers what is in flight and
  /// what still comes until the platform has noticed.
  void stop();

  std::uint16_t callerPort() const;
  std::uint16_t metricsPort() const;
  /// Whether this entry leads the cell.
  bool leads() const;

  /// Takes up settings that may change while the process runs. Others are
  /// named in the log and wait for a restart.
  void reload(const cell::CellSettings &Settings);

  /// The state of the process as JSON text.
  std::string dump() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace laburnumspread::app
