#include "framework/ids/internedname.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <optional>

namespace laburnumspread::framework::ids {

namespace {

using Name = InternedName<struct TestTag>;

} // namespace

BOOST_AUTO_TEST_SUITE(InternedNameTest)

BOOST_AUTO_TEST_CASE(EqualTextsAreEqualNames) {
  const std::string Text = "0123456789abcdef0123456789abcdef";
  const Name First(Text);
  const Name Second(std::string(Text.data(), Text.size()));
  BOOST_TEST((First == Second));
  BOOST_TEST(std::hash<Name>()(First) == std::hash<Name>()(Second));
  BOOST_TEST((First != Name("other")));
}

BOOST_AUTO_TEST_CASE(EmptyTextIsTheDefaultName) {
  BOOST_TEST((Name("") == Name()));
  BOOST_TEST(Name().empty());
  BOOST_TEST(Name().str() == "");
  BOOST_TEST((Name() < Name("a")));
}

// Guards against tables whose order depends on addresses: two plays of the same
// events would then give different orders.
BOOST_AUTO_TEST_CASE(OrderIsThatOfTheTexts) {
  const Name Late("c");
  const Name Early("a");
  const Name Middle("b");
  const std::map<Name, int> Sorted{{Late, 3}, {Early, 1}, {Middle, 2}};
  std::string Order;
  for (const auto &[Key, Value] : Sorted)
    Order += Key.str();
  BOOST_TEST(Order == "abc");
}

// Guards against a name whose text is freed while a copy still refers to it.
BOOST_AUTO_TEST_CASE(TextLastsAsLongAsACopy) {
  std::optional<Name> First(Name("only reference"));
  Name Copy = *First;
  Name Moved = std::move(*First);
  First.reset();
  Moved = Name("another");
  BOOST_TEST(Copy.str() == "only reference");
  const Name &Same = Copy;
  Copy = Same;
  BOOST_TEST(Copy.str() == "only reference");
}

// Guards against a table of names that grows for ever: a job's name is dropped
// with its last use.
BOOST_AUTO_TEST_CASE(UnusedTextsAreForgotten) {
  const std::size_t Before = storedNameCount();
  {
    const Name First("kept for a moment");
    Name Copy;
    Copy = First;
    const Name Same("kept for a moment");
    BOOST_TEST((Copy == Same));
    BOOST_TEST(storedNameCount() == Before + 1);
  }
  BOOST_TEST(storedNameCount() == Before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace laburnumspread::framework::ids
