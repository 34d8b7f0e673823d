#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace laburnumspread::framework::ids {

/// A name that is stored once per process, with the number of InternedNames
/// that refer to it.
struct StoredName {
  std::string Text_;
  std::size_t References_ = 0;
};

/// Returns the stored name with this text, with one reference added, or nullptr
/// if \p Text is empty.
StoredName *acquireName(std::string_view Text);
/// Removes a stored name to which nothing refers any more.
void removeName(StoredName *Name);
/// Number of names that are stored at present.
std::size_t storedNameCount();

/// Same as StrongName, for names that many tables hold as keys: a copy does not
/// allocate, and equality and hash do not read the text. The order is that of
/// the texts, so that sorted tables do not depend on addresses.
///
/// The reference counts are not synchronized: all names of a process belong to
/// one thread.
template <typename Tag> class InternedName {
public:
  InternedName() = default;
  explicit InternedName(std::string_view Text) : Name_(acquireName(Text)) {}
  explicit InternedName(const std::string &Text)
      : InternedName(std::string_view(Text)) {}
  explicit InternedName(const char *Text)
      : InternedName(std::string_view(Text)) {}
  InternedName(const InternedName &Other) : Name_(Other.Name_) {
    if (Name_)
      ++Name_->References_;
  }
  InternedName(InternedName &&Other) noexcept
      : Name_(std::exchange(Other.Name_, nullptr)) {}
  InternedName &operator=(InternedName Other) noexcept {
    std::swap(Name_, Other.Name_);
    return *this;
  }
  ~InternedName() {
    if (Name_ && --Name_->References_ == 0)
      removeName(Name_);
  }

  const std::string &str() const {
    static const std::string Empty;
    return Name_ ? Name_->Text_ : Empty;
  }
  bool empty() const { return Name_ == nullptr; }

  bool operator==(const InternedName &Other) const {
    return Name_ == Other.Name_;
  }
  std::strong_ordering operator<=>(const InternedName &Other) const {
    return Name_ == Other.Name_ ? std::strong_ordering::equal
                                : str() <=> Other.str();
  }

  template <typename Hash>
  friend Hash AbslHashValue(Hash State, const InternedName &Name) {
    return Hash::combine(std::move(State), Name.Name_);
  }
  friend std::ostream &operator<<(std::ostream &Out, const InternedName &Name) {
    return Out << Name.str();
  }
  friend struct std::hash<InternedName>;

private:
  StoredName *Name_ = nullptr;
};

} // namespace laburnumspread::framework::ids

template <typename Tag>
struct std::hash<laburnumspread::framework::ids::InternedName<Tag>> {
  std::size_t operator()(
      const laburnumspread::framework::ids::InternedName<Tag> &Name) const {
    return std::hash<const void *>()(Name.Name_);
  }
};
