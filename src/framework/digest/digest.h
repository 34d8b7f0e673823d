#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace laburnumspread::framework::digest {

/// Lower-case hexadecimal SHA-256 of \p Text.
std::string sha256Hex(std::string_view Text);

/// Compares two texts in constant time, so that the duration does not reveal
/// where they differ. Texts of different length compare unequal at once.
bool equalInConstantTime(std::string_view A, std::string_view B);

/// Standard base64 with padding.
std::string base64Encode(std::string_view Bytes);
/// Decodes padded base64. Returns an empty optional if \p Text is invalid.
std::optional<std::string> base64Decode(std::string_view Text);

/// Returns \p Bytes random bytes from OpenSSL's generator, as lower-case
/// hexadecimal.
std::string randomHex(std::size_t Bytes);

} // namespace laburnumspread::framework::digest
