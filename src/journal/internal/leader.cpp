#include "journal/leader.h"

#include <charconv>
#include <cstdio>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace laburnumspread::journal {

namespace json = boost::json;

namespace {

/// Indexes in keys are zero-padded to this width so that keys sort by index.
constexpr int IndexDigits = 12;

std::string padded(std::uint64_t Index) {
  std::string Digits = std::to_string(Index);
  if (Digits.size() < IndexDigits)
    Digits.insert(0, IndexDigits - Digits.size(), '0');
  return Digits;
}

const json::object *asObject(const json::value &Value) {
  return Value.is_object() ? &Value.get_object() : nullptr;
}

std::optional<std::uint64_t> number(const json::object &From,
                                    std::string_view Name) {
  const json::value *Value = From.if_contains(Name);
  if (!Value || !(Value->is_int64() || Value->is_uint64()))
    return std::nullopt;
  json::error_code Error;
  const auto Read = Value->to_number<std::uint64_t>(Error);
  return Error ? std::nullopt : std::optional(Read);
}

std::optional<std::string> text(const json::object &From,
                                std::string_view Name) {
  const json::value *Value = From.if_contains(Name);
  if (!Value || !Value->is_string())
    return std::nullopt;
  return std::string(Value->get_string());
}

} // namespace

std::string encodeLeader(const Leader &From) {
  return json::serialize(json::value{{"entry", From.Entry_.str()},
                                     {"incarnation", From.Incarnation_.value()},
                                     {"peer", From.PeerAddress_},
                                     {"attempt", From.Attempt_}});
}

std::optional<Leader> decodeLeader(std::string_view Text,
                                   fleet::Revision Written) {
  json::error_code Error;
  const json::value Value = json::parse(Text, Error);
  const json::object *Fields = Error ? nullptr : asObject(Value);
  if (!Fields)
    return std::nullopt;
  const auto Entry = text(*Fields, "entry");
  const auto Peer = text(*Fields, "peer");
  const auto Incarnation = number(*Fields, "incarnation");
  const auto Attempt = number(*Fields, "attempt");
  if (!Entry || !Peer || !Incarnation || !Attempt)
    return std::nullopt;
  return Leader{fleet::EntryName(*Entry), fleet::Incarnation(*Incarnation),
                *Peer, *Attempt, jobs::FencingToken(Written.value())};
}

std::string CellKeys::log(std::uint64_t Index) const {
  return logPrefix() + padded(Index);
}

std::string CellKeys::snapshotPrefix(std::uint64_t Index) const {
  return Prefix_ + "snapshot/" + padded(Index) + "/";
}

std::string CellKeys::snapshot(std::uint64_t Index, std::size_t Part) const {
  return snapshotPrefix(Index) + padded(Part);
}

std::string encodeBase(const Base &From) {
  return json::serialize(
      json::value{{"index", From.Index_}, {"parts", From.Parts_}});
}

std::optional<Base> decodeBase(std::string_view Text) {
  json::error_code Error;
  const json::value Value = json::parse(Text, Error);
  const json::object *Fields = Error ? nullptr : asObject(Value);
  if (!Fields)
    return std::nullopt;
  const auto Index = number(*Fields, "index");
  const auto Parts = number(*Fields, "parts");
  if (!Index || !Parts)
    return std::nullopt;
  return Base{*Index, *Parts};
}

std::uint64_t indexOfLogKey(std::string_view Key) {
  const auto Slash = Key.rfind('/');
  if (Slash == std::string_view::npos)
    return 0;
  std::uint64_t Index = 0;
  std::from_chars(Key.data() + Slash + 1, Key.data() + Key.size(), Index);
  return Index;
}

} // namespace laburnumspread::journal
