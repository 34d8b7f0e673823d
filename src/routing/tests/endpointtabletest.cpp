#include "routing/endpointtable.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspread;
using namespace laburnumspread::routing;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000h};
const PoolName Orders("orders");
const ZoneName Near("z1"), Far("z2");
constexpr std::uint32_t HalfOfPool = 50;

struct Fixture {
  limits::UnitLedger Ledger_{{fleet::EntryName("e"), fleet::Incarnation(1)}};
  EndpointTable Table_;
  std::mt19937_64 Random_{7};

  Fixture() {
    membership::View Alone;
    Alone.Number_ = Alone.SettledThrough_ = membership::ViewNumber(1);
    membership::Member Self;
    Self.Id_ = {fleet::EntryName("e"), fleet::Incarnation(1)};
    Alone.Members_.push_back(Self);
    Ledger_.adoptView(Alone, Start);
  }

  static fleet::Vm vmNamed(const std::string &Name, const ZoneName &Zone) {
    fleet::Vm Vm;
    Vm.Metadata_.Name_ = Name;
    Vm.Spec_.Pool_ = Orders;
    Vm.Spec_.Zone_ = Zone;
    Vm.Spec_.Address_ = "127.0.0.1:80";
    Vm.Spec_.Slots_ = fleet::Slots(2);
    Vm.Spec_.Size_ = {fleet::MilliCpus(16000), fleet::Megabytes(32768),
                      fleet::Accelerators(0)};
    return Vm;
  }

  EndpointIndex declare(const fleet::Vm &Vm) {
    return Table_.addOrUpdate(
        Vm, Ledger_.setLimit(limits::SubjectName("slots/" + Vm.Metadata_.Name_),
                             2));
  }

  std::optional<EndpointIndex> choose(std::span<const EndpointIndex> Avoid = {},
                                      fleet::Size Size = {}) {
    return Table_.selectEndpoint(
        Orders, {Ledger_, Near, Size, Start + 1s, Start, Avoid}, Random_);
  }

  HealthChange fail(EndpointIndex At, TimePoint Now = Start) {
    Table_.exchangeStarted(At);
    return Table_.exchangeEnded(At, ExchangeResult::Failed, HalfOfPool, Now);
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(OwnZoneFirstUntilItsSlotsAreTaken, Fixture) {
  const EndpointIndex Here = declare(vmNamed("a", Near));
  const EndpointIndex There = declare(vmNamed("b", Far));
  for (int I = 0; I < 2; ++I) {
    BOOST_TEST(*choose() == Here);
    Ledger_.acquire(Table_.at(Here).Subject_, Start + 1s, Start);
  }
  BOOST_TEST(*choose() == There);
  const EndpointIndex Tried[] = {There};
  BOOST_TEST(!choose(Tried));
}

BOOST_FIXTURE_TEST_CASE(LeavingVmGetsNoNewWork, Fixture) {
  fleet::Vm Vm = vmNamed("a", Near);
  declare(Vm);
  BOOST_TEST(choose().has_value());
  Vm.Status_.Phase_ = fleet::VmPhase::Leaving;
  declare(Vm);
  BOOST_TEST(!choose());
  BOOST_TEST(Table_.openSlots(Orders) == 0u);
}

// An endpoint that fails every request at once is always free and would attract
// most of the work. It must be ejected after a few failures and return through
// probation with a single request.
BOOST_FIXTURE_TEST_CASE(FastFailingEndpointIsEjectedAndReturnsByProbation,
                        Fixture) {
  const EndpointIndex Bad = declare(vmNamed("a", Near));
  const EndpointIndex Good = declare(vmNamed("b", Far));
  for (std::uint32_t I = 1; I < EjectAfterFailures; ++I)
    BOOST_TEST((fail(Bad) == HealthChange::None));
  BOOST_TEST((fail(Bad) == HealthChange::Ejected));
  BOOST_TEST(*choose() == Good);
  Table_.tick(Start + BaseEjectionTime);
  BOOST_TEST(*choose() == Bad);
  Table_.exchangeStarted(Bad);
  BOOST_TEST(*choose() == Good);
  // It fails its probation. The second ejection is longer.
  BOOST_TEST((Table_.exchangeEnded(Bad, ExchangeResult::Failed, HalfOfPool,
                                   Start + BaseEjectionTime) ==
              HealthChange::Ejected));
  Table_.tick(Start + 2 * BaseEjectionTime);
  BOOST_TEST(*choose() == Good);
  Table_.tick(Start + 3 * BaseEjectionTime);
  Table_.exchangeStarted(Bad);
  BOOST_TEST((Table_.exchangeEnded(Bad, ExchangeResult::Succeeded, HalfOfPool,
                                   Start + 20s) == HealthChange::Restored));
}

// All endpoints fail because of a shared dependency. Ejecting all of them would
// turn a partial outage into a complete one.
BOOST_FIXTURE_TEST_CASE(EjectionStopsAtTheMaximumPercentage, Fixture) {
  for (const char *Name : {"a", "b", "c", "d"})
    declare(vmNamed(Name, Near));
  int Ejected = 0;
  for (EndpointIndex At : std::vector(Table_.inPool(Orders)))
    for (std::uint32_t I = 0; I < 2 * EjectAfterFailures; ++I)
      Ejected += fail(At) == HealthChange::Ejected;
  BOOST_TEST(Ejected == 2);
  BOOST_TEST(Table_.anyHealthy(Orders));
}

BOOST_FIXTURE_TEST_CASE(SizeThatFitsNoEndpointIsDetected, Fixture) {
  declare(vmNamed("a", Near));
  const fleet::Size Huge{fleet::MilliCpus(1), fleet::Megabytes(1),
                         fleet::Accelerators(1)};
  BOOST_TEST(!Table_.fitsAny(Orders, Huge));
  BOOST_TEST(!choose({}, Huge));
  BOOST_TEST(Table_.fitsAny(Orders, {}));
}

BOOST_FIXTURE_TEST_CASE(MovedVmIsInOnePoolOnly, Fixture) {
  fleet::Vm Vm = vmNamed("a", Near);
  declare(Vm);
  Vm.Spec_.Pool_ = PoolName("menus");
  declare(Vm);
  BOOST_TEST(Table_.inPool(Orders).empty());
  BOOST_TEST(Table_.inPool(PoolName("menus")).size() == 1u);
  Table_.remove(VmName("a"));
  BOOST_TEST(Table_.inPool(PoolName("menus")).empty());
}
