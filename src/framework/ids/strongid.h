#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace laburnumspread::framework::ids {

/// String identifier whose type is distinguished by \p Tag, so that names of
/// different kinds do not convert into each other.
template <typename Tag> class StrongName {
public:
  StrongName() = default;
  explicit StrongName(std::string Text) : Text_(std::move(Text)) {}
  explicit StrongName(std::string_view Text) : Text_(Text) {}
  explicit StrongName(const char *Text) : Text_(Text) {}

  const std::string &str() const { return Text_; }
  bool empty() const { return Text_.empty(); }

  auto operator<=>(const StrongName &) const = default;

  friend std::ostream &operator<<(std::ostream &Out, const StrongName &Name) {
    return Out << Name.Text_;
  }

private:
  std::string Text_;
};

/// Quantity or sequence number whose type is distinguished by \p Tag, so that
/// numbers of different kinds do not convert into each other.
template <typename Tag, typename Rep = std::uint64_t> class StrongNumber {
public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep Value) : Value_(Value) {}

  constexpr Rep value() const { return Value_; }
  constexpr StrongNumber next() const { return StrongNumber(Value_ + 1); }

  constexpr auto operator<=>(const StrongNumber &) const = default;

  friend std::ostream &operator<<(std::ostream &Out, StrongNumber Number) {
    return Out << Number.Value_;
  }

private:
  Rep Value_ = 0;
};

} // namespace laburnumspread::framework::ids

template <typename Tag>
struct std::hash<laburnumspread::framework::ids::StrongName<Tag>> {
  std::size_t operator()(
      const laburnumspread::framework::ids::StrongName<Tag> &Name) const {
    return std::hash<std::string>()(Name.str());
  }
};

template <typename Tag, typename Rep>
struct std::hash<laburnumspread::framework::ids::StrongNumber<Tag, Rep>> {
  std::size_t operator()(
      laburnumspread::framework::ids::StrongNumber<Tag, Rep> Number) const {
    return std::hash<Rep>()(Number.value());
  }
};
