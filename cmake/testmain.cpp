#define BOOST_TEST_MODULE laburnumspread
#include <boost/test/unit_test.hpp>
