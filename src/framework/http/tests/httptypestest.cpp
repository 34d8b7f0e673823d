#include "framework/http/httptypes.h"

#include <boost/test/unit_test.hpp>

#include <rapidcheck.h>

namespace laburnumspread::framework::http {

BOOST_AUTO_TEST_SUITE(HttpTypesTest)

BOOST_AUTO_TEST_CASE(PlainValuesAreSentAsTheyAre) {
  BOOST_TEST(formatTarget("/list", {}) == "/list");
  BOOST_TEST(
      formatTarget("/list", {{"prefix", "own/a-b_c.d~9"}, {"after", "7"}}) ==
      "/list?prefix=own/a-b_c.d~9&after=7");
}

// Guards against a value that is cut, or read as another one.
BOOST_AUTO_TEST_CASE(SpecialCharactersAreEncoded) {
  BOOST_TEST(formatTarget("/list", {{"after", "a b&c=d#e+f%20\r\n\xff"}}) ==
             "/list?after=a%20b%26c%3Dd%23e%2Bf%2520%0D%0A%FF");
}

BOOST_AUTO_TEST_CASE(AnyValueIsReadBackAsItWas) {
  BOOST_TEST(rc::check("any two values", [](const std::string &First,
                                            const std::string &Second) {
    Request Message;
    Message.Target_ = formatTarget("/a", {{"x", First}, {"y", Second}});
    RC_ASSERT(isSendable(Message));
    const Target Read = parseTarget(Message.Target_);
    RC_ASSERT(Read.query("x") == First);
    RC_ASSERT(Read.query("y") == Second);
  }));
}

// Guards against a request that holds other header fields, or another request,
// than its caller meant to send.
BOOST_AUTO_TEST_CASE(RequestWithALineBreakIsNotSendable) {
  Request Message;
  Message.Target_ = "/a";
  Message.Headers_.add("X-Name", "a\tb \xc3\xa9");
  BOOST_TEST(isSendable(Message));
  for (const char *Target : {"/a b", "/a\r\nX: 1", "/\x7f", "/\xc3\xa9"}) {
    Request Odd = Message;
    Odd.Target_ = Target;
    BOOST_TEST(!isSendable(Odd), Target);
  }
  for (const char *Value : {"a\r\nX-Other: 1", "a\n", "\x01", "\x7f"}) {
    Request Odd = Message;
    Odd.Headers_.add("X-Odd", Value);
    BOOST_TEST(!isSendable(Odd), Value);
  }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::http
