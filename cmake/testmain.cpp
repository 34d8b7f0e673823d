#define BOOST_TEST_MODULE laburnumspread
#define BOOST_TEST_NO_MAIN
#define BOOST_TEST_ALTERNATIVE_INIT_API
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  const int Result = boost::unit_test::unit_test_main(&init_unit_test,
                                                      ArgumentCount, Arguments);
  std::cout.flush();
  // Skip the normal exit: the fiber scheduler would wait forever for detached
  // fibers, such as servers and timers, that are still running.
  std::_Exit(Result);
}
