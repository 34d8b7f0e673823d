#include "cell/cellsettings.h"

#include <boost/test/unit_test.hpp>

namespace laburnumspread::cell {

namespace {

std::string settings(const std::string &Changed = "") {
  return R"({
  // comment
  "kind": "cell", "name": "e1", "zone": "z1",
  "listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
             "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4"},
  "store": {"address": "127.0.0.1:5"},
  "services": {"machines": "127.0.0.1:6", "advisor": ""},
  "peerKeys": {"public": "0123456789012345678901234567890123456789",
               "secret": "0123456789012345678901234567890123456789"})" +
         Changed + "}";
}

std::string errorOf(const std::string &Text) {
  const auto Read = readCellSettings(Text, "file");
  return Read.ok() ? "" : std::string(Read.status().message());
}

} // namespace

BOOST_AUTO_TEST_SUITE(CellSettingsTest)

BOOST_AUTO_TEST_CASE(WholeFileIsRead) {
  const auto Read = readCellSettings(
      settings(R"(, "bounds": {"longestHoldMs": 5000, "moveSeconds": 2.5})"),
      "file");
  BOOST_REQUIRE_MESSAGE(Read.ok(), Read.status().message());
  BOOST_TEST(Read->Name_ == fleet::EntryName("e1"));
  BOOST_TEST(Read->MachineApiAddress_.Port_ == 6);
  BOOST_TEST(Read->AdvisorAddress_.Port_ == 0);
  BOOST_TEST((Read->Bounds_.MaxLease_ == std::chrono::seconds(5)));
  BOOST_TEST((Read->Bounds_.MoveDuration_ == std::chrono::milliseconds(2500)));
}

// Guards against a leader that is never current, as the store confirms an
// unchanged configuration less often than the bound asks for.
BOOST_AUTO_TEST_CASE(BoundOfTheConfigurationIsChecked) {
  const auto Read =
      readCellSettings(settings(R"(, "bounds": {"configMs": 2000})"), "file");
  BOOST_REQUIRE(Read.ok());
  BOOST_TEST((Read->Bounds_.ConfigDelay_ == std::chrono::seconds(2)));
  BOOST_TEST(errorOf(settings(R"(, "bounds": {"configMs": 0})")).empty());
  BOOST_TEST(errorOf(settings(R"(, "bounds": {"configMs": 1499})"))
                 .find("bounds.configMs") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AdvertisedPeerAddressIsOptional) {
  BOOST_TEST(!readCellSettings(settings(), "file")->AdvertisedPeerAddress_);
  std::string Text = settings();
  const std::string Peers = R"("peers": "127.0.0.1:3")";
  Text.replace(Text.find(Peers), Peers.size(),
               Peers + R"(, "peersAdvertised": "127.0.0.1:9")");
  const auto Read = readCellSettings(Text, "file");
  BOOST_REQUIRE_MESSAGE(Read.ok(), Read.status().message());
  BOOST_TEST(Read->AdvertisedPeerAddress_.value().str() == "127.0.0.1:9");
  BOOST_TEST(Read->PeerAddress_.str() == "127.0.0.1:3");
}

BOOST_AUTO_TEST_CASE(LimitOfTheStoresValuesIsRead) {
  std::string Text = settings();
  const std::string At = R"("address": "127.0.0.1:5")";
  BOOST_TEST(readCellSettings(Text, "file")->Bounds_.MaxValueBytes_ ==
             1'048'576u);
  Text.replace(Text.find(At), At.size(), At + R"(, "valueBytes": 8192)");
  BOOST_TEST(readCellSettings(Text, "file")->Bounds_.MaxValueBytes_ == 8192u);
  Text.replace(Text.find("8192"), 4, "1073741824");
  BOOST_TEST(readCellSettings(Text, "file")->Bounds_.MaxValueBytes_ ==
             8u * 1024 * 1024);
  Text.replace(Text.find("1073741824"), 10, "4095");
  BOOST_TEST(errorOf(Text).find("store.valueBytes") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(FaultsNameTheField) {
  BOOST_TEST(errorOf("{").find("file") != std::string::npos);
  BOOST_TEST(errorOf(R"({"kind": "cell"})").find("listen") !=
             std::string::npos);
  BOOST_TEST(errorOf(settings(R"(, "bounds": {"graceSeconds": -1})"))
                 .find("bounds.graceSeconds") != std::string::npos);
  BOOST_TEST(errorOf(settings(R"(, "misspelt": 1)")).find("misspelt") !=
             std::string::npos);
  BOOST_TEST(
      errorOf(settings(R"(, "log": {"level": "loud"})")).find("log.level") !=
      std::string::npos);
}

BOOST_AUTO_TEST_CASE(FieldsThatNeedARestartAreNamed) {
  const CellSettings Before = *readCellSettings(settings(), "file");
  CellSettings After = Before;
  After.Bounds_.GracePeriod_ = std::chrono::seconds(9);
  After.LogLevel_ = framework::log::Level::Warning;
  BOOST_TEST(settingsNeedingRestart(Before, After) == "");
  After.StoreAddress_.Port_ = 99;
  After.Zone_ = ZoneName("other");
  BOOST_TEST(settingsNeedingRestart(Before, After) == "zone,store");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::cell
