#include "vanillaferry/request/request_content.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

namespace {

const AccountId Account("a");
const std::string Method = "POST";
const std::string Url = "host/path?";
const std::string Body = "body";

} // namespace

BOOST_AUTO_TEST_SUITE(RequestContents)

// Guards against two requests that are taken for repeats of one, and against
// repeats that are not recognized.
BOOST_AUTO_TEST_CASE(RepeatsHaveOneIdAndOtherRequestsAnother) {
  PromptPartId Id = wholeRequest({Account, Method, Url, Body});
  BOOST_TEST(isWholeRequest(Id));
  BOOST_TEST(Id == wholeRequest({Account, Method, Url, Body}));
  BOOST_TEST(Id != wholeRequest({AccountId("b"), Method, Url, Body}));
  BOOST_TEST(Id != wholeRequest({Account, "PUT", Url, Body}));
  BOOST_TEST(Id != wholeRequest({Account, Method, Url + "x", Body}));
  BOOST_TEST(Id != wholeRequest({Account, Method, Url, ""}));
  // The account and the body are not taken one for the other.
  BOOST_TEST(Id !=
             wholeRequest({AccountId("a\nbody"), Method, Url, std::string()}));
}

// Guards against a caller who names a prompt part like a whole request, to have
// it refused, or to have a deadly one taken for answered.
BOOST_AUTO_TEST_CASE(NoPromptPartPassesForAWholeRequest) {
  PromptPartId Whole = wholeRequest({Account, Method, Url, Body});
  std::vector<PromptPart> Prompt = {{Whole, Tokens(1)},
                                    {PromptPartId("own"), Tokens(1)}};
  std::vector<PromptPartId> Parts =
      judgedParts(PromptPartId("request:1"), Prompt);
  BOOST_REQUIRE_EQUAL(Parts.size(), 2U);
  BOOST_TEST(Parts[0] == PromptPartId("request:1"));
  BOOST_TEST(!isWholeRequest(Parts[1]));
}

BOOST_AUTO_TEST_SUITE_END()
