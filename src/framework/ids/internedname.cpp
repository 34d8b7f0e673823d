#include "framework/ids/internedname.h"

#include <memory>

#include <absl/container/flat_hash_set.h>
#include <absl/hash/hash.h>

namespace laburnumspread::framework::ids {

namespace {

struct TextHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view Text) const {
    return absl::Hash<std::string_view>()(Text);
  }
  std::size_t operator()(const std::unique_ptr<StoredName> &Name) const {
    return (*this)(std::string_view(Name->Text_));
  }
};

struct TextEqual {
  using is_transparent = void;
  static std::string_view textOf(std::string_view Text) { return Text; }
  static std::string_view textOf(const std::unique_ptr<StoredName> &Name) {
    return Name->Text_;
  }
  template <typename A, typename B>
  bool operator()(const A &First, const B &Second) const {
    return textOf(First) == textOf(Second);
  }
};

using NameTable =
    absl::flat_hash_set<std::unique_ptr<StoredName>, TextHash, TextEqual>;

/// Never destroyed: names with static storage may outlive any other object.
NameTable &names() {
  static auto *const Table = new NameTable();
  return *Table;
}

} // namespace

StoredName *acquireName(std::string_view Text) {
  if (Text.empty())
    return nullptr;
  auto Found = names().find(Text);
  if (Found == names().end()) {
    auto Added = std::make_unique<StoredName>();
    Added->Text_ = Text;
    Found = names().insert(std::move(Added)).first;
  }
  ++(*Found)->References_;
  return Found->get();
}

void removeName(StoredName *Name) {
  names().erase(names().find(std::string_view(Name->Text_)));
}

std::size_t storedNameCount() { return names().size(); }

} // namespace laburnumspread::framework::ids
