#include "soak/entrylogs.h"

#include <filesystem>
#include <fstream>

#include <boost/test/unit_test.hpp>

namespace laburnumspread::soak {

namespace {

constexpr const char *Contradicted =
    "time=2026-12-04T05:00:00.000 level=error event=call.contradicted job=1 "
    "call=7 accepted_attempt=2";

struct Fixture {
  Fixture() { std::filesystem::create_directory(Folder_); }
  ~Fixture() { std::filesystem::remove_all(Folder_); }

  void append(const std::string &Text) {
    std::ofstream(Entries_.filePath(1, "log"), std::ios::app) << Text;
  }

  std::string Folder_ = (std::filesystem::temp_directory_path() /
                         ("entrylogstest-" + std::to_string(::getpid())))
                            .string();
  EntryProcesses Entries_{Folder_, 2};
  EntryLogs Logs_{Entries_};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EntryLogsTest, Fixture)

BOOST_AUTO_TEST_CASE(OnlyContradictedCallsAreFindings) {
  BOOST_TEST(findContradiction(Contradicted).has_value());
  BOOST_TEST(!findContradiction("level=info event=job.refused job=1 call=7"));
}

// Guards against a finding that is missed since its line was read in two parts.
BOOST_AUTO_TEST_CASE(LineIsReadOnceWhenItIsComplete) {
  BOOST_TEST(Logs_.readContradictions().empty());
  append("level=info event=job.refused job=1\n" + std::string(Contradicted));
  BOOST_TEST(Logs_.readContradictions().empty());
  append("\n");
  BOOST_TEST(Logs_.readContradictions().size() == 1u);
  BOOST_TEST(Logs_.readContradictions().empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::soak
