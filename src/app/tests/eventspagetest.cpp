#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace laburnumspread::app {

namespace {

const std::filesystem::path Root(LABURNUM_SOURCE_DIR);

std::string contentOf(const std::filesystem::path &File) {
  std::ifstream In(File);
  return {std::istreambuf_iterator<char>(In), {}};
}

/// Adds the names of the log events in the sources under \p Folder, without
/// those of tests.
void addEvents(const std::filesystem::path &Folder,
               std::set<std::string> &Into) {
  static const std::regex Event(
      R"re(log::(?:info|warning|error|debug)\(\s*"([a-z_]+\.[a-z_]+)")re");
  for (const auto &Item :
       std::filesystem::recursive_directory_iterator(Root / Folder)) {
    const std::string Path = Item.path().string();
    const bool Source = Path.ends_with(".h") || Path.ends_with(".cpp");
    if (!Source || Path.find("/tests/") != std::string::npos)
      continue;
    const std::string Text = contentOf(Item.path());
    for (std::sregex_iterator Found(Text.begin(), Text.end(), Event), End;
         Found != End; ++Found)
      Into.insert((*Found)[1]);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventsPageTest)

// Guards against an operator who finds a line in the log that no page explains.
BOOST_AUTO_TEST_CASE(EachLogEventIsExplained) {
  std::set<std::string> Events;
  addEvents("src", Events);
  addEvents("platform", Events);
  BOOST_TEST(Events.contains("run.start"));
  const std::string Page = contentOf(Root / "docs/OPERATIONS.md");
  for (const std::string &Event : Events)
    BOOST_TEST(Page.find(Event) != std::string::npos,
               "docs/OPERATIONS.md does not explain " << Event);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::app
