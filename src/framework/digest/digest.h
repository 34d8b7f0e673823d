#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace laburnumspread::framework::digest {

/// Lower-case hexadecimal SHA-256 of \p Text.
std::string sha256Hex(std::string_view Text);

/// Compares without revealing by its time where two texts differ.
bool equalInConstantTime(std::string_view A, std::string_view B);

std::string base64Encode(std::string_view Bytes);
/// Empty when \p Text is not base64.
std::optional<std::string> base64Decode(std::string_view Text);

/// \p Bytes random bytes from the system's generator, in hexadecimal.
std::string randomHex(std::size_t Bytes);

} // namespace laburnumspread::framework::digest
