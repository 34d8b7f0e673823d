#include "soak/configchanges.h"

#include "framework/clock/steadyclock.h"
#include "framework/log/log.h"

#include <algorithm>

namespace laburnumspread::soak {

namespace {

/// With more, an old item is removed before another is added.
constexpr std::size_t MaxDeclared = 6;
constexpr std::uint64_t MaxVersionStep = 3;

std::vector<std::string> declaredNames(const std::deque<DeclaredItem> &Items) {
  std::vector<std::string> Result;
  for (const DeclaredItem &Item : Items)
    if (Item.declared())
      Result.push_back(Item.Name_);
  return Result;
}

} // namespace

ConfigChanges::ConfigChanges(platform::standin::CellPlatform &Platform,
                             std::size_t Padding, std::uint64_t Seed)
    : Platform_(Platform), Padding_(Padding), Random_(Seed) {
  write();
}

void ConfigChanges::change() {
  if (Random_.oneIn(3))
    changeOne(Keys_, "key");
  else
    changeOne(Queues_, "r");
  ++Count_;
}

void ConfigChanges::changeOne(std::deque<DeclaredItem> &Items,
                              const std::string &Prefix) {
  std::vector<DeclaredItem *> Declared;
  for (DeclaredItem &Item : Items)
    if (Item.declared())
      Declared.push_back(&Item);
  const bool Full = Declared.size() >= MaxDeclared;
  const bool Remove = !Declared.empty() && (Full || Random_.oneIn(2));
  DeclaredItem *Changed = nullptr;
  if (Remove) {
    Changed = Declared[Random_.below(Declared.size())];
    Changed->RemovedAt_ = framework::clock::SteadyClock().now();
  } else {
    Changed = &Items.emplace_back();
    Changed->Name_ = Prefix + std::to_string(Items.size());
    Changed->AddedAt_ = framework::clock::SteadyClock().now();
  }
  write();
  framework::log::info("soak.config_changed")
      .field("version", Version_)
      .field(Remove ? "removed" : "added", Changed->Name_);
}

void ConfigChanges::write() {
  Version_ += 1 + Random_.below(MaxVersionStep);
  std::vector<std::string> Queues = declaredNames(Queues_);
  for (std::size_t I = 0; I < Padding_; ++I)
    Queues.push_back("unused" + std::to_string(I));
  platform::standin::writeConfig(Platform_, Version_, Queues,
                                 declaredNames(Keys_));
}

} // namespace laburnumspread::soak
