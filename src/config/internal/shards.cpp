#include "config/shards.h"

#include "framework/ids/rendezvous.h"

#include <array>

namespace laburnumspread::config {

std::uint32_t shardCount(fleet::Kind Of) {
  switch (Of) {
  case fleet::Kind::Vms:
    return 1024;
  case fleet::Kind::Teams:
  case fleet::Kind::Keys:
    return 64;
  case fleet::Kind::Pools:
  case fleet::Kind::Waves:
    return 16;
  }
  return 1;
}

std::string configPrefix(std::string_view Prefix) {
  return std::string(Prefix) + "config/";
}

std::string shardKey(std::string_view Prefix, fleet::Kind Of,
                     std::string_view Name) {
  const std::uint64_t Shard = framework::ids::stableHash(Name) % shardCount(Of);
  std::array<char, 8> Number{};
  std::snprintf(Number.data(), Number.size(), "%04u",
                static_cast<unsigned>(Shard));
  return configPrefix(Prefix) + std::string(fleet::nameOf(Of)) + "/" +
         Number.data();
}

std::optional<fleet::Kind> kindOfShardKey(std::string_view Prefix,
                                          std::string_view Key) {
  const std::string Start = configPrefix(Prefix);
  if (!Key.starts_with(Start))
    return std::nullopt;
  Key.remove_prefix(Start.size());
  return fleet::parseKind(Key.substr(0, Key.find('/')));
}

} // namespace laburnumspread::config
