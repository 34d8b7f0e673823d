#include "fuzz/targets.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace laburnumspread;

namespace {

constexpr int MutationsPerFile = 400;

std::vector<std::string> readCorpus(const std::string &Name) {
  std::vector<std::filesystem::path> Files;
  for (const auto &File : std::filesystem::directory_iterator(
           std::filesystem::path(LABURNUM_CORPUS) / Name))
    Files.push_back(File.path());
  std::sort(Files.begin(), Files.end());
  std::vector<std::string> Texts;
  for (const auto &File : Files) {
    std::ifstream In(File, std::ios::binary);
    std::stringstream Text;
    Text << In.rdbuf();
    Texts.push_back(Text.str());
  }
  BOOST_REQUIRE(!Texts.empty());
  return Texts;
}

/// Applies one to four random edits that change, delete, repeat or insert
/// bytes.
std::string mutate(std::string Text, std::mt19937_64 &Random) {
  for (std::uint64_t Edits = 1 + Random() % 4; Edits > 0; --Edits) {
    const std::size_t At = Text.empty() ? 0 : Random() % Text.size();
    switch (Random() % 4) {
    case 0:
      if (!Text.empty())
        Text[At] = static_cast<char>(Random());
      break;
    case 1:
      Text.erase(At, Random() % 8);
      break;
    case 2:
      Text.insert(At, Text.substr(At, Random() % 16));
      break;
    default:
      Text.insert(At, 1, "{}[]\",:0-9\\"[Random() % 11]);
    }
  }
  return Text;
}

/// Runs a target on its corpus and on MutationsPerFile mutations of each file.
/// The seed is fixed, so that every run tests the same inputs.
template <typename Target> void runCorpus(const char *Name, Target &&Run) {
  std::mt19937_64 Random(20261203);
  for (const std::string &Text : readCorpus(Name)) {
    Run(Text);
    for (int I = 0; I < MutationsPerFile; ++I)
      Run(mutate(Text, Random));
  }
  BOOST_TEST(true);
}

} // namespace

BOOST_AUTO_TEST_CASE(Settings) { runCorpus("settings", fuzz::settings); }
BOOST_AUTO_TEST_CASE(Resources) { runCorpus("resources", fuzz::resources); }
BOOST_AUTO_TEST_CASE(Headers) { runCorpus("headers", fuzz::headers); }
BOOST_AUTO_TEST_CASE(Peers) { runCorpus("peers", fuzz::peers); }
BOOST_AUTO_TEST_CASE(Store) { runCorpus("store", fuzz::store); }
BOOST_AUTO_TEST_CASE(Platform) { runCorpus("platform", fuzz::platform); }
