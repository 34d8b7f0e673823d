#pragma once

#include "platform/standin/cellplatform.h"
#include "soak/entries.h"
#include "soak/random.h"
#include "soak/wire.h"

#include <deque>

namespace laburnumspread::soak {

/// What goes wrong, drawn from a seed: each fault begins, lasts for a while and
/// ends; several may overlap.
class Faults {
public:
  using CellPlatform = platform::standin::CellPlatform;

  /// The ways of each entry's bytes: to the platform, and from its peers.
  struct Wires {
    std::deque<Wire> ToPlatform_;
    std::deque<Wire> FromPeers_;
  };

  Faults(CellPlatform &Platform, Entries &Served,
         std::vector<std::uint16_t> Doors, Wires &Ways, std::size_t Machines,
         std::uint64_t Seed);

  /// Begins faults for \p Time and returns when all have ended.
  void storm(milliseconds Time);
  std::size_t count() const { return Count_; }

private:
  using End = std::function<void()>;
  struct Kind {
    std::string_view Name_;
    End (Faults::*Begin_)();
  };
  static const std::vector<Kind> Kinds;

  void beginOne();
  /// Sets something until the last of those who asked for it has ended.
  End hold(const std::string &What, const std::function<void(bool)> &Set);
  std::size_t anyEntry() { return Draws_.below(Served_.count()); }
  End atDoor(const std::string &What,
             const std::function<void(std::uint16_t, bool)> &Set);

  // Entries.
  End kill();
  End killAll();
  End stop();
  End freeze();
  End change();
  // The way to the platform.
  End shut();
  End shutAll();
  End slow();
  End reset();
  End mute();
  // Bytes on the way to the platform, and between entries.
  End cutPlatform() { return cut("platform", Ways_.ToPlatform_); }
  End cutPeers() { return cut("peers", Ways_.FromPeers_); }
  End cutOff();
  End resetWires();
  End silenceWires();
  // The store.
  End loseAnswers();
  End lateAnswers();
  End pauseLeases();
  End hideWorkers();
  // Workers and machines.
  End crashWorker();
  End loseStops();
  End loseStartAnswers();
  End lateStarts();
  End wave();

  /// Cuts one entry's way: there, back or both.
  End cut(const std::string &What, std::deque<Wire> &Ways);
  End cutForth(const std::string &What, Wire &Way);
  End cutBack(const std::string &What, Wire &Way);
  Wire &anyWire();

  CellPlatform &Platform_;
  Entries &Served_;
  Wires &Ways_;
  std::vector<std::uint16_t> Doors_;
  std::size_t Machines_;
  Random Draws_;
  std::map<std::string, int> Holds_;
  std::size_t Active_ = 0;
  std::size_t Count_ = 0;
  std::uint64_t NextWave_ = 1;
};

} // namespace laburnumspread::soak
