#include "ctl/commands.h"
#include "ctl/table.h"
#include "idempotency/idempotencytypes.h"

#include <fstream>

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

using namespace laburnumspread::ctl;

namespace {

ExitCode runWith(const std::string &Verb, const std::string &Text) {
  const std::string File = "ctl_test_input.json";
  std::ofstream(File) << Text;
  boost::asio::io_context Io;
  Command Cmd;
  Cmd.Verb_ = Verb;
  Cmd.File_ = File;
  return runCommand(Io, Cmd);
}

} // namespace

BOOST_AUTO_TEST_CASE(ValidateNeedsNoServer) {
  BOOST_TEST((runWith("validate", R"({"kind": "teams",
      "metadata": {"name": "a"}, "spec": {"limit": 3}})") == ExitCode::Ok));
  BOOST_TEST((runWith("validate", R"({"items": [{"kind": "teams",
      "metadata": {"name": "a"}, "spec": {}}]})") == ExitCode::Usage));
  BOOST_TEST((runWith("validate", "{") == ExitCode::Usage));
  BOOST_TEST((runWith("validate", R"({"kind": "cows"})") == ExitCode::Usage));
}

BOOST_AUTO_TEST_CASE(InvalidCommandLinesAreRejected) {
  BOOST_TEST((runWith("dance", "{}") == ExitCode::Usage));
  BOOST_TEST((runWith("get", "{}") == ExitCode::Usage));
}

BOOST_AUTO_TEST_CASE(NewIdempotencyKeysAreValid) {
  const std::string Text = newIdempotencyKey();
  const auto Key = laburnumspread::idempotency::parseIdempotencyKey(Text);
  BOOST_REQUIRE_MESSAGE(Key.has_value(), Text);
  BOOST_TEST(Text != newIdempotencyKey());
}

BOOST_AUTO_TEST_CASE(TablesShowTheColumnsOfTheirKind) {
  const auto List = boost::json::parse(R"({"items": [
      {"metadata": {"name": "w"}, "status": {"phase": "running", "total": 4,
       "done": 2, "failed": 0}}]})");
  BOOST_TEST(tableOf("waves", List) ==
             "NAME   PHASE     TOTAL   BATCH   DONE   FAILED\n"
             "w      running   4               2      0\n");
}
