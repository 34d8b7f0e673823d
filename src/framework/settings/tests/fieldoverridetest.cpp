#include "framework/settings/fieldoverride.h"

#include "framework/settings/settingsfile.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::framework::settings {

namespace {

struct Limits {
  std::int64_t Bytes_ = 0;
  std::string Address_;
};

Limits readLimits(JsonReader &Reader) {
  Limits Result;
  JsonReader Store = Reader.child("store", false);
  Result.Bytes_ = Store.optionalInt("bytes", 10, {1, 100});
  Result.Address_ = Store.optionalString("address", "");
  Store.finish();
  Reader.finish();
  return Result;
}

absl::StatusOr<Limits> read(std::string_view Text,
                            const std::vector<std::string> &Set) {
  FieldOverrides Overrides;
  for (const std::string &Each : Set)
    Overrides.push_back(*parseOverride(Each));
  return readSettingsText<Limits>(Text, "file", Overrides, readLimits);
}

std::string errorOf(std::string_view Text,
                    const std::vector<std::string> &Set) {
  const auto Read = read(Text, Set);
  return Read.ok() ? "" : std::string(Read.status().message());
}

} // namespace

BOOST_AUTO_TEST_SUITE(FieldOverrideTest)

BOOST_AUTO_TEST_CASE(OverrideTakesThePlaceOfTheFilesField) {
  const auto Read =
      read(R"({"store": {"bytes": 20, "address": "a"}})", {"store.bytes=30"});
  BOOST_REQUIRE_MESSAGE(Read.ok(), Read.status().message());
  BOOST_TEST(Read->Bytes_ == 30);
  BOOST_TEST(Read->Address_ == "a");
}

BOOST_AUTO_TEST_CASE(ObjectOnThePathIsCreated) {
  const auto Read = read("{}", {"store.bytes=30", "store.address=10.0.0.1:8"});
  BOOST_REQUIRE_MESSAGE(Read.ok(), Read.status().message());
  BOOST_TEST(Read->Bytes_ == 30);
  BOOST_TEST(Read->Address_ == "10.0.0.1:8");
}

BOOST_AUTO_TEST_CASE(ErrorSaysThatTheFieldIsOfTheCommandLine) {
  BOOST_TEST(errorOf(R"({"store": {"bytes": 20}})", {"store.bytes=101"}) ==
             "command line: store.bytes: must be between 1 and 100, is 101");
  BOOST_TEST(errorOf("{}", {"store.unknown=1"}) ==
             "command line: store.unknown: unknown field");
  BOOST_TEST(errorOf(R"({"store": 1})", {"store.bytes=1"}) ==
             "store.bytes: is not in an object");
}

BOOST_AUTO_TEST_CASE(MalformedOverrideIsRejected) {
  for (const char *Text : {"", "store.bytes", "=1", ".bytes=1", "store.=1"})
    BOOST_TEST(!parseOverride(Text).ok(), Text);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::settings
