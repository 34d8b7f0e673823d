#include "framework/digest/digest.h"

#include <array>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace laburnumspread::framework::digest {

namespace {

std::string toHex(const unsigned char *Bytes, std::size_t Count) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(2 * Count);
  for (std::size_t I = 0; I < Count; ++I) {
    Text += Digits[Bytes[I] >> 4];
    Text += Digits[Bytes[I] & 15];
  }
  return Text;
}

} // namespace

std::string sha256Hex(std::string_view Text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Hash;
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Hash.data());
  return toHex(Hash.data(), Hash.size());
}

bool equalInConstantTime(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

std::string base64Encode(std::string_view Bytes) {
  std::string Text(4 * ((Bytes.size() + 2) / 3) + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(Length);
  return Text;
}

std::optional<std::string> base64Decode(std::string_view Text) {
  if (Text.size() % 4 != 0)
    return std::nullopt;
  std::string Bytes(Text.size() / 4 * 3 + 1, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return std::nullopt;
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(Length - Padding);
  return Bytes;
}

std::string randomHex(std::size_t Bytes) {
  std::vector<unsigned char> Random(Bytes);
  RAND_bytes(Random.data(), static_cast<int>(Bytes));
  return toHex(Random.data(), Bytes);
}

} // namespace laburnumspread::framework::digest
