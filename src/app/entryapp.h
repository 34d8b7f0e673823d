#pragma once

#include "entry/entrysettings.h"

#include <functional>
#include <memory>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>

namespace laburnumspread::app {

/// One entry: all parts, wired together. Lives on one thread.
class EntryApp {
public:
  EntryApp(boost::asio::io_context &Io, entry::EntrySettings Settings);
  ~EntryApp();

  /// Binds the ports and starts all parts.
  absl::Status start();

  std::uint16_t httpPort() const;
  std::uint16_t peerPort() const;

  /// Graceful shutdown: no new work, everything in flight answered, what this
  /// entry owns handed over. Returns whether nothing was left in flight.
  bool stop();

  /// Whether a letter may be exchanged with an entry. Tests cut paths with it.
  using PeerFilter = std::function<bool(const fleet::EntryName &)>;
  void setPeerFilter(PeerFilter IsAllowed);

  /// The state of the process as JSON text.
  std::string dump() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace laburnumspread::app
