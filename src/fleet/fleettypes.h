#pragma once

#include "framework/clock/clock.h"
#include "framework/ids/internedname.h"
#include "framework/ids/strongid.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnumspread::fleet {

using PoolName = framework::ids::InternedName<struct PoolNameTag>;
using VmName = framework::ids::StrongName<struct VmNameTag>;
using TeamName = framework::ids::StrongName<struct TeamNameTag>;
using KeyName = framework::ids::StrongName<struct KeyNameTag>;
using WaveName = framework::ids::StrongName<struct WaveNameTag>;
using EntryName = framework::ids::StrongName<struct EntryNameTag>;
using ZoneName = framework::ids::StrongName<struct ZoneNameTag>;
using RackName = framework::ids::StrongName<struct RackNameTag>;

/// Revision of the platform's store, increased by every write.
using Revision = framework::ids::StrongNumber<struct RevisionTag>;
/// Number of changes of an object's spec.
using Generation = framework::ids::StrongNumber<struct GenerationTag>;
/// Start time of a process in microseconds since the epoch, so that a restarted
/// process has a larger value.
using Incarnation = framework::ids::StrongNumber<struct IncarnationTag>;

/// Number of requests that an endpoint can run concurrently.
using Slots = framework::ids::StrongNumber<struct SlotsTag, std::uint32_t>;
using Megabytes =
    framework::ids::StrongNumber<struct MegabytesTag, std::uint64_t>;
using MilliCpus =
    framework::ids::StrongNumber<struct MilliCpusTag, std::uint64_t>;
using Accelerators =
    framework::ids::StrongNumber<struct AcceleratorsTag, std::uint32_t>;

/// Resources required by a request or provided by a VM.
struct Size {
  MilliCpus Cpus_;
  Megabytes Memory_;
  Accelerators Accelerators_;

  bool fitsInto(const Size &Capacity) const {
    return Cpus_ <= Capacity.Cpus_ && Memory_ <= Capacity.Memory_ &&
           Accelerators_ <= Capacity.Accelerators_;
  }
};

enum class RequestClass { Urgent, Normal, Batch };
std::string_view nameOf(RequestClass Class);

/// Whether a request was executed. Sent to the caller in `Request-Outcome`.
enum class Outcome { Ran, NotRun, Unknown };
std::string_view nameOf(Outcome Value);

} // namespace laburnumspread::fleet
