#pragma once

#include "entry/entrysettings.h"

#include <functional>
#include <memory>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>

namespace laburnumspread::app {

/// An entry that serves requests: creates and connects all services. Not
/// thread-safe; all work runs on the thread of the io_context.
class EntryApp {
public:
  EntryApp(boost::asio::io_context &Io, entry::EntrySettings Settings);
  ~EntryApp();

  /// Binds the ports and starts all services. Returns the error of a port that
  /// cannot be bound.
  absl::Status start();

  std::uint16_t httpPort() const;
  std::uint16_t peerPort() const;

  /// Graceful shutdown: refuses new requests, completes those in flight and
  /// hands over what this entry owns. Returns whether all requests completed.
  bool stop();

  /// Returns whether messages may be exchanged with an entry. Tests simulate
  /// network partitions with it.
  using PeerFilter = std::function<bool(const fleet::EntryName &)>;
  void setPeerFilter(PeerFilter IsAllowed);

  /// Returns the state of the process as JSON text.
  std::string dump() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace laburnumspread::app
