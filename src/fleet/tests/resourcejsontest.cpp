#include "fleet/resourcejson.h"

#include <boost/test/unit_test.hpp>

using namespace laburnumspread::fleet;
using namespace laburnumspread::framework::settings;

namespace {

template <typename T> FieldErrors errorsOf(std::string_view Text) {
  FieldErrors Errors;
  readResource<T>(*parseJson(Text), Errors);
  return Errors;
}

} // namespace

BOOST_AUTO_TEST_CASE(StoredFormRoundTrips) {
  FieldErrors Errors;
  Vm Machine = readResource<Vm>(*parseJson(R"({
    // comments are welcome
    "metadata": {"name": "vm-1"},
    "spec": {"pool": "orders", "zone": "z1", "rack": "r1",
             "address": "127.0.0.1:80", "slots": 4,},
  })"),
                                Errors);
  BOOST_TEST(describe(Errors) == "");
  Machine.Status_.Phase_ = VmPhase::Rebooting;
  Machine.Status_.BootIdBeforeReboot_ = "b-7";
  const Vm Again = readStored<Vm>("vm-1", toStored(Machine), Errors);
  BOOST_TEST(describe(Errors) == "");
  BOOST_TEST(Again.Spec_.Slots_ == Slots(4));
  BOOST_TEST((Again.Status_ == Machine.Status_));
}

BOOST_AUTO_TEST_CASE(EveryErrorIsReportedWithItsPath) {
  const FieldErrors Errors = errorsOf<Team>(
      R"({"metadata": {"name": "Lunch"}, "spec": {"limit": -1, "shares": 2}})");
  BOOST_TEST(describe(Errors) ==
             "metadata.name: must be 1 to 63 of a-z, 0-9, '-' and '.'; "
             "spec.limit: must be between 0 and 1000000, is -1; "
             "spec.shares: unknown field");
}

BOOST_AUTO_TEST_CASE(BudgetAcceptsOnlyCountsAndPercentages) {
  BOOST_TEST(describe(errorsOf<Pool>(R"({"metadata": {"name": "p"},
      "spec": {"budget": {"maxUnavailable": "101%"}}})"))
                 .starts_with("spec.budget.maxUnavailable: must be a count"));
  BOOST_TEST(errorsOf<Pool>(R"({"metadata": {"name": "p"},
      "spec": {"budget": {"maxUnavailable": "25%"}}})")
                 .empty());
  BOOST_TEST((CountOrPercent{25, true}.resolve(10)) == 2u);
}

BOOST_AUTO_TEST_CASE(KeyAcceptsOnlyAHashOfTheSecret) {
  BOOST_TEST(describe(errorsOf<Key>(R"({"metadata": {"name": "k"},
      "spec": {"team": "t", "sha256": "open sesame"}})")) ==
             "spec.sha256: must be 64 lower-case hexadecimal digits");
}

BOOST_AUTO_TEST_CASE(SyntaxErrorReportsTheLine) {
  const auto Parsed = parseJson("{\n  \"a\": 1,\n  oops\n}");
  BOOST_TEST(!Parsed.ok());
  BOOST_TEST(Parsed.status().message().find("line 3") !=
             absl::string_view::npos);
}
