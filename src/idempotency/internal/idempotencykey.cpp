#include "idempotency/idempotencytypes.h"

#include "framework/ids/rendezvous.h"

#include <charconv>

namespace laburnumspread::idempotency {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t VersionAt = 14;
constexpr std::size_t VariantAt = 19;

bool wellFormed(std::string_view Text) {
  if (Text.size() != UuidLength)
    return false;
  for (std::size_t I = 0; I < UuidLength; ++I) {
    const bool Dash = I == 8 || I == 13 || I == 18 || I == 23;
    if (Dash ? Text[I] != '-'
             : !std::isxdigit(static_cast<unsigned char>(Text[I])))
      return false;
  }
  const char Variant = Text[VariantAt];
  return Text[VersionAt] == '7' &&
         (Variant == '8' || Variant == '9' || std::tolower(Variant) == 'a' ||
          std::tolower(Variant) == 'b');
}

} // namespace

std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view Text) {
  if (!wellFormed(Text))
    return std::nullopt;
  IdempotencyKey Key;
  for (char C : Text)
    Key.Text_ += static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  const std::string Stamp = Key.Text_.substr(0, 8) + Key.Text_.substr(9, 4);
  std::int64_t Millis = 0;
  std::from_chars(Stamp.data(), Stamp.data() + Stamp.size(), Millis, 16);
  Key.MintedAt_ = framework::clock::fromMillis(Millis);
  return Key;
}

KeyAge ageOf(const IdempotencyKey &Key, TimePoint Now) {
  if (Key.MintedAt_ > Now + framework::clock::ClockSkewMargin)
    return KeyAge::FromTheFuture;
  if (Key.MintedAt_ + KeyWindow < Now)
    return KeyAge::TooOld;
  return KeyAge::Usable;
}

RecordName recordName(const fleet::TeamName &Team, const IdempotencyKey &Key) {
  return RecordName(Team.str() + "/" + Key.Text_);
}

Bucket bucketOf(const RecordName &Name) {
  return Bucket(framework::ids::stableHash(Name.str()) % BucketCount);
}

} // namespace laburnumspread::idempotency
