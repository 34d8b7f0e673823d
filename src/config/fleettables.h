#pragma once

#include "fleet/resources.h"

#include <map>
#include <string>
#include <string_view>

namespace laburnumspread::config {

template <typename T> using Table = std::map<std::string, T, std::less<>>;

/// All declared objects in an entry's active configuration, by kind and name.
struct FleetTables {
  Table<fleet::Pool> Pools_;
  Table<fleet::Vm> Vms_;
  Table<fleet::Team> Teams_;
  Table<fleet::Key> Keys_;
  Table<fleet::Wave> Waves_;
  /// Names of access keys by the SHA-256 of their secret.
  std::map<std::string, std::string, std::less<>> KeyNameByHash_;

  template <typename T> Table<T> &table();
  template <typename T> const Table<T> &table() const {
    return const_cast<FleetTables *>(this)->table<T>();
  }
  template <typename T> const T *find(std::string_view Name) const {
    const auto At = table<T>().find(Name);
    return At == table<T>().end() ? nullptr : &At->second;
  }
};

template <> inline Table<fleet::Pool> &FleetTables::table() { return Pools_; }
template <> inline Table<fleet::Vm> &FleetTables::table() { return Vms_; }
template <> inline Table<fleet::Team> &FleetTables::table() { return Teams_; }
template <> inline Table<fleet::Key> &FleetTables::table() { return Keys_; }
template <> inline Table<fleet::Wave> &FleetTables::table() { return Waves_; }

/// Calls \p Visit with a null pointer to the C++ type that represents \p Of.
template <typename Visitor>
decltype(auto) visitKind(fleet::Kind Of, Visitor &&Visit) {
  switch (Of) {
  case fleet::Kind::Pools:
    return Visit(static_cast<fleet::Pool *>(nullptr));
  case fleet::Kind::Vms:
    return Visit(static_cast<fleet::Vm *>(nullptr));
  case fleet::Kind::Teams:
    return Visit(static_cast<fleet::Team *>(nullptr));
  case fleet::Kind::Keys:
    return Visit(static_cast<fleet::Key *>(nullptr));
  case fleet::Kind::Waves:
    break;
  }
  return Visit(static_cast<fleet::Wave *>(nullptr));
}

} // namespace laburnumspread::config
