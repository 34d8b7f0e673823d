#pragma once

#include "fleet/resources.h"

#include <optional>
#include <string>
#include <string_view>

namespace laburnumspread::config {

/// Number of stored values over which the objects of a kind are distributed. At
/// the design size (11,000 VMs, 430 teams) a value has about 3 KB. It is kept
/// small because a change sends the whole value to every entry.
std::uint32_t shardCount(fleet::Kind Of);

/// Key of the value that holds an object. It depends only on the object's kind
/// and name, so that a VM has a single record, and thus one pool, whoever
/// writes it.
std::string shardKey(std::string_view Prefix, fleet::Kind Of,
                     std::string_view Name);

/// Prefix of all configuration keys.
std::string configPrefix(std::string_view Prefix);

/// Kind of the objects stored under a key, or nullopt if it is not a
/// configuration key.
std::optional<fleet::Kind> kindOfShardKey(std::string_view Prefix,
                                          std::string_view Key);

} // namespace laburnumspread::config
