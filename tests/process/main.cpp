#define BOOST_TEST_MODULE process
#include <boost/test/unit_test.hpp>
