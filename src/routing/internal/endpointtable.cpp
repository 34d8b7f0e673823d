#include "routing/endpointtable.h"

#include <algorithm>

namespace laburnumspread::routing {

std::string_view nameOf(Health Value) {
  switch (Value) {
  case Health::Healthy:
    return "good";
  case Health::Ejected:
    return "ejected";
  case Health::Probation:
    return "probation";
  }
  return "good";
}

EndpointIndex EndpointTable::addOrUpdate(const fleet::Vm &Vm,
                                         limits::SubjectIndex Slots) {
  const VmName Name(Vm.Metadata_.Name_);
  const auto [At, Added] = Index_.try_emplace(
      Name, EndpointIndex(static_cast<std::uint32_t>(Rows_.size())));
  if (Added)
    Rows_.emplace_back();
  Endpoint &Row = Rows_[At->second.value()];
  const PoolName &Pool = fleet::currentPool(Vm);
  if (!Row.Declared_ || Row.Pool_ != Pool) {
    if (Row.Declared_)
      std::erase(Pools_[Row.Pool_], At->second);
    Pools_[Pool].push_back(At->second);
  }
  if (Row.Address_ != Vm.Spec_.Address_) {
    Row.Health_ = Health::Healthy;
    Row.ConsecutiveFailures_ = Row.Ejections_ = 0;
  }
  Row.Vm_ = Name;
  Row.Pool_ = Pool;
  Row.Zone_ = Vm.Spec_.Zone_;
  Row.Address_ = Vm.Spec_.Address_;
  Row.Size_ = Vm.Spec_.Size_;
  Row.Slots_ = Vm.Spec_.Slots_.value();
  Row.Subject_ = Slots;
  Row.Open_ = Vm.Status_.Phase_ == fleet::VmPhase::Active && !Vm.Spec_.Drain_;
  Row.Declared_ = true;
  return At->second;
}

void EndpointTable::remove(const VmName &Vm) {
  const auto At = Index_.find(Vm);
  if (At == Index_.end())
    return;
  Endpoint &Row = Rows_[At->second.value()];
  std::erase(Pools_[Row.Pool_], At->second);
  Row.Open_ = Row.Declared_ = false;
}

bool EndpointTable::eligible(const Endpoint &Row,
                             const RouteInputs &Inputs) const {
  if (!Row.Open_ || Row.Health_ == Health::Ejected ||
      (Row.Health_ == Health::Probation && Row.Running_ > 0))
    return false;
  return Inputs.Size_.fitsInto(Row.Size_) &&
         Inputs.Slots_.hasFree(Row.Subject_, Inputs.Until_, Inputs.Now_);
}

std::optional<EndpointIndex>
EndpointTable::selectEndpoint(const PoolName &Pool, const RouteInputs &Inputs,
                              std::mt19937_64 &Random) const {
  std::vector<EndpointIndex> SameZone, OtherZones;
  for (EndpointIndex Index : inPool(Pool)) {
    const Endpoint &Row = at(Index);
    if (!eligible(Row, Inputs) ||
        std::find(Inputs.Excluded_.begin(), Inputs.Excluded_.end(), Index) !=
            Inputs.Excluded_.end())
      continue;
    (Row.Zone_ == Inputs.OwnZone_ ? SameZone : OtherZones).push_back(Index);
  }
  const std::vector<EndpointIndex> &From =
      SameZone.empty() ? OtherZones : SameZone;
  if (From.empty())
    return std::nullopt;
  const EndpointIndex A = From[Random() % From.size()];
  const EndpointIndex B = From[Random() % From.size()];
  return at(B).Running_ < at(A).Running_ ? B : A;
}

bool EndpointTable::mayEject(const Endpoint &Row,
                             std::uint32_t MaxEjectionPercent) const {
  const auto &Pool = inPool(Row.Pool_);
  const auto Ejected =
      std::count_if(Pool.begin(), Pool.end(), [&](EndpointIndex Index) {
        return at(Index).Health_ != Health::Healthy;
      });
  return (Ejected + 1) * 100 <=
         static_cast<std::ptrdiff_t>(Pool.size() * MaxEjectionPercent);
}

HealthChange EndpointTable::exchangeEnded(EndpointIndex Index,
                                          ExchangeResult Result,
                                          std::uint32_t MaxEjectionPercent,
                                          TimePoint Now) {
  Endpoint &Row = Rows_[Index.value()];
  --Row.Running_;
  if (Result == ExchangeResult::Refused)
    return HealthChange::None;
  if (Result == ExchangeResult::Succeeded) {
    Row.ConsecutiveFailures_ = 0;
    if (Row.Health_ == Health::Healthy)
      return HealthChange::None;
    Row.Health_ = Health::Healthy;
    return HealthChange::Restored;
  }
  ++Row.ConsecutiveFailures_;
  const bool FailedProbation = Row.Health_ == Health::Probation;
  if (Row.Health_ == Health::Ejected ||
      !(FailedProbation || (Row.ConsecutiveFailures_ >= EjectAfterFailures &&
                            mayEject(Row, MaxEjectionPercent))))
    return HealthChange::None;
  Row.Health_ = Health::Ejected;
  Ejected_.push_back(Index);
  const Duration Wanted =
      BaseEjectionTime * (1 << std::min(Row.Ejections_, 8u));
  Row.EjectedUntil_ = Now + std::min(Wanted, MaxEjectionTime);
  ++Row.Ejections_;
  return HealthChange::Ejected;
}

void EndpointTable::tick(TimePoint Now) {
  std::erase_if(Ejected_, [&](EndpointIndex Index) {
    Endpoint &Row = Rows_[Index.value()];
    if (Row.Health_ == Health::Ejected && Row.EjectedUntil_ > Now)
      return false;
    if (Row.Health_ == Health::Ejected)
      Row.Health_ = Health::Probation;
    return true;
  });
}

std::optional<EndpointIndex> EndpointTable::find(const VmName &Vm) const {
  const auto At = Index_.find(Vm);
  if (At == Index_.end())
    return std::nullopt;
  return At->second;
}

const std::vector<EndpointIndex> &
EndpointTable::inPool(const PoolName &Pool) const {
  static const std::vector<EndpointIndex> None;
  const auto At = Pools_.find(Pool);
  return At == Pools_.end() ? None : At->second;
}

std::vector<PoolName> EndpointTable::pools() const {
  std::vector<PoolName> Result;
  for (const auto &[Pool, Rows] : Pools_)
    Result.push_back(Pool);
  return Result;
}

std::uint32_t EndpointTable::openSlots(const PoolName &Pool) const {
  std::uint32_t Sum = 0;
  for (EndpointIndex Index : inPool(Pool))
    if (at(Index).Open_ && at(Index).Health_ != Health::Ejected)
      Sum += at(Index).Slots_;
  return Sum;
}

bool EndpointTable::fitsAny(const PoolName &Pool,
                            const fleet::Size &Size) const {
  const auto &Rows = inPool(Pool);
  return std::any_of(Rows.begin(), Rows.end(), [&](EndpointIndex Index) {
    return Size.fitsInto(at(Index).Size_);
  });
}

bool EndpointTable::anyHealthy(const PoolName &Pool) const {
  const auto &Rows = inPool(Pool);
  return std::any_of(Rows.begin(), Rows.end(), [&](EndpointIndex Index) {
    return at(Index).Open_ && at(Index).Health_ != Health::Ejected;
  });
}

} // namespace laburnumspread::routing
