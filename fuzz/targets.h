#pragma once

#include <string_view>

namespace laburnumspread::fuzz {

// Fuzz targets, one for each kind of external input. Each accepts arbitrary
// bytes and must not crash, hang or accept a malformed value.

/// Settings file of an entry. A rejected file must yield an error message.
void settings(std::string_view Bytes);
/// Resource sent by an operator, parsed as each kind. An accepted resource must
/// read back the same from its stored form.
void resources(std::string_view Bytes);
/// Request target and header values sent by a caller. An accepted idempotency
/// key must parse again.
void headers(std::string_view Bytes);
/// Message from a peer. An accepted message must decode again after encoding.
void peers(std::string_view Bytes);
/// Responses and watch events of the store, configuration shards and views.
void store(std::string_view Bytes);

/// What the users' platform and its callers write: workers' entries, waves,
/// evacuations, the configuration, the machine list and jobs. Amounts and times
/// that are accepted must be in a range in which their sums stay.
void platform(std::string_view Bytes);

} // namespace laburnumspread::fuzz
