#pragma once

#include "fleet/resources.h"

#include <optional>
#include <string>
#include <string_view>

namespace laburnumspread::config {

/// Number of values that the objects of a kind are packed into. Chosen so that
/// at the size to design for (11,000 VMs, 430 teams) a value is near 3 KB: a
/// change sends its whole value to every entry.
std::uint32_t shardCount(fleet::Kind Of);

/// Key of the value that holds an object. The object's name alone decides, so
/// that there is one record of a VM, and with it one pool, whoever writes.
std::string shardKey(std::string_view Prefix, fleet::Kind Of,
                     std::string_view Name);

/// Prefix of all configuration keys.
std::string configPrefix(std::string_view Prefix);

/// The kind that a key holds, if it is a configuration key.
std::optional<fleet::Kind> kindOfShardKey(std::string_view Prefix,
                                          std::string_view Key);

} // namespace laburnumspread::config
