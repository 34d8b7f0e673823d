#pragma once

#include "peers/messages.h"

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace laburnumspread::peers {

/// Version of the message format. Messages of another version are rejected.
/// Within a version, fields may be added but must not change their meaning.
constexpr std::uint32_t WireVersion = 1;

/// A message with its sender and recipient.
struct Envelope {
  Sender From_;
  MemberId To_;
  Message Message_;
};

std::string encode(const Envelope &Outgoing);

/// Decodes an encoded envelope. Returns InvalidArgument if the bytes are not a
/// message of this version.
absl::StatusOr<Envelope> decode(std::string_view Bytes);

} // namespace laburnumspread::peers
