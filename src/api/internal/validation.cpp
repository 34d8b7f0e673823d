#include "api/validation.h"

#include "framework/http/httptypes.h"

#include <algorithm>

namespace laburnumspread::api {

using config::FleetTables;
using framework::settings::FieldErrors;

namespace {

std::uint32_t vmsIn(const FleetTables &Tables, const fleet::PoolName &Pool) {
  return std::count_if(
      Tables.Vms_.begin(), Tables.Vms_.end(),
      [&](const auto &Row) { return Row.second.Spec_.Pool_ == Pool; });
}

bool isFinished(const fleet::Wave &Wave) {
  return Wave.Status_.Phase_ == fleet::WavePhase::Complete ||
         Wave.Status_.Phase_ == fleet::WavePhase::Cancelled ||
         Wave.Spec_.Command_ == fleet::WaveCommand::Cancel;
}

bool overlap(const fleet::Wave &A, const fleet::Wave &B) {
  const auto &Left = A.Spec_.Pools_;
  const auto &Right = B.Spec_.Pools_;
  if (Left.empty() || Right.empty())
    return true;
  return std::any_of(Left.begin(), Left.end(), [&](const auto &Pool) {
    return std::find(Right.begin(), Right.end(), Pool) != Right.end();
  });
}

void checkBudget(const FleetTables &Tables, const fleet::PoolName &Pool,
                 FieldErrors &Errors) {
  const auto *Declared = Tables.find<fleet::Pool>(Pool.str());
  const std::uint32_t Vms = vmsIn(Tables, Pool);
  if (!Declared || Vms == 0 || Declared->Spec_.Budget_.Pool_.resolve(Vms) > 0)
    return;
  Errors.push_back(
      {"spec.pools",
       "the budget of pool " + Pool.str() + " lets none of its " +
           std::to_string(Vms) +
           " VMs be unavailable; set its budget.maxUnavailable to \"1\""});
}

} // namespace

FieldErrors validate(const FleetTables &, const fleet::Pool &) { return {}; }

FieldErrors validate(const FleetTables &Tables, const fleet::Vm &Object) {
  FieldErrors Errors;
  if (!Tables.find<fleet::Pool>(Object.Spec_.Pool_.str()))
    Errors.push_back(
        {"spec.pool", "there is no pool " + Object.Spec_.Pool_.str()});
  if (!framework::http::parseAddress(Object.Spec_.Address_))
    Errors.push_back({"spec.address", "must be a numeric ip:port"});
  const auto *Now = Tables.find<fleet::Vm>(Object.Metadata_.Name_);
  if (Now && Now->Spec_.Pool_ != Object.Spec_.Pool_ &&
      !Now->Status_.Wave_.empty())
    Errors.push_back({"spec.pool", "the VM is in wave " +
                                       Now->Status_.Wave_.str() +
                                       " and keeps its pool until that ends"});
  return Errors;
}

FieldErrors validate(const FleetTables &, const fleet::Team &) { return {}; }

FieldErrors validate(const FleetTables &Tables, const fleet::Key &Object) {
  FieldErrors Errors;
  if (!Tables.find<fleet::Team>(Object.Spec_.Team_.str()))
    Errors.push_back(
        {"spec.team", "there is no team " + Object.Spec_.Team_.str()});
  const auto Other = Tables.KeyNameByHash_.find(Object.Spec_.Sha256_);
  if (Other != Tables.KeyNameByHash_.end() &&
      Other->second != Object.Metadata_.Name_)
    Errors.push_back(
        {"spec.sha256", "is used by key " + Other->second + " already"});
  return Errors;
}

FieldErrors validate(const FleetTables &Tables, const fleet::Wave &Object) {
  FieldErrors Errors;
  for (const fleet::PoolName &Pool : Object.Spec_.Pools_) {
    if (!Tables.find<fleet::Pool>(Pool.str()))
      Errors.push_back({"spec.pools", "there is no pool " + Pool.str()});
    checkBudget(Tables, Pool, Errors);
  }
  if (Object.Spec_.Command_ == fleet::WaveCommand::Cancel)
    return Errors;
  for (const auto &[Name, Other] : Tables.Waves_)
    if (Name != Object.Metadata_.Name_ && !isFinished(Other) &&
        overlap(Object, Other))
      Errors.push_back({"spec.pools", "wave " + Name +
                                          " is under way in the same pools; "
                                          "wait for it or cancel it"});
  return Errors;
}

std::string deletionConflict(const FleetTables &Tables, fleet::Kind Of,
                             const std::string &Name) {
  if (Of == fleet::Kind::Pools && vmsIn(Tables, fleet::PoolName(Name)) > 0)
    return "the pool has VMs; move them first";
  if (Of == fleet::Kind::Teams)
    for (const auto &[KeyName, Key] : Tables.Keys_)
      if (Key.Spec_.Team_.str() == Name)
        return "key " + KeyName + " belongs to the team; delete it first";
  if (Of == fleet::Kind::Waves)
    if (const auto *Wave = Tables.find<fleet::Wave>(Name);
        Wave && !isFinished(*Wave))
      return "the wave is under way; set spec.run to cancel first";
  return {};
}

} // namespace laburnumspread::api
