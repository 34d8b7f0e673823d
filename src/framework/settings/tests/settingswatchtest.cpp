#include "framework/settings/settingswatch.h"

#include <cstdio>
#include <fstream>

#include <unistd.h>

#include <boost/test/unit_test.hpp>

namespace laburnumspread::framework::settings {

namespace {

struct TempFile {
  TempFile() {
    char Name[] = "/tmp/settingswatch-XXXXXX";
    const int Handle = mkstemp(Name);
    BOOST_REQUIRE(Handle >= 0);
    close(Handle);
    Name_ = Name;
  }
  ~TempFile() { std::remove(Name_.c_str()); }

  void write(const std::string &Text) const { std::ofstream(Name_) << Text; }

  std::string Name_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SettingsWatchTest, TempFile)

BOOST_AUTO_TEST_CASE(ReportsOnlyChangedContent) {
  write("a");
  SettingsWatch Watch(Name_);
  BOOST_TEST(!Watch.changed());
  write("a");
  BOOST_TEST(!Watch.changed());
  write("b");
  BOOST_TEST(Watch.changed());
  BOOST_TEST(!Watch.changed());
}

BOOST_AUTO_TEST_CASE(MissingFileIsNotAChange) {
  write("a");
  SettingsWatch Watch(Name_);
  std::remove(Name_.c_str());
  BOOST_TEST(!Watch.changed());
  write("a");
  BOOST_TEST(!Watch.changed());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::settings
