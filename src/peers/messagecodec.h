#pragma once

#include "peers/messages.h"

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace laburnumspread::peers {

/// Version of the messages' meaning. Another one is refused whole: fields can
/// be added within a version, meanings cannot change.
constexpr std::uint32_t WireVersion = 1;

struct Envelope {
  Sender From_;
  MemberId To_;
  Message Message_;
};

std::string encode(const Envelope &Outgoing);

/// InvalidArgument when the bytes are no letter of this version.
absl::StatusOr<Envelope> decode(std::string_view Bytes);

} // namespace laburnumspread::peers
