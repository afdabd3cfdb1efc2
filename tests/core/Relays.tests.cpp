#include "vanillaferry/process/relay_board.hpp"
#include "vanillaferry/request/relay_choice.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

using namespace vanillaferry;

namespace {

const PoolId Chat("chat");
const PoolId Desk("desk");

Renew renewalOf(std::size_t Number, const std::vector<PoolId> &OutOfReach) {
  Renew Renewal;
  Renewal.m_Node = NodeId("gateway-" + std::to_string(Number));
  Renewal.m_RelayAddress = "10.0.0." + std::to_string(Number) + ":7000";
  for (const PoolId &Service : OutOfReach)
    Renewal.m_OutOfReach.push_back({Service});
  return Renewal;
}

std::vector<std::string> addressesOf(const std::vector<RelayOffer> &Offers,
                                     const PoolId &Service) {
  std::vector<std::string> Addresses;
  for (const RelayOffer &Each : Offers)
    if (Each.m_Service == Service)
      Addresses.push_back(Each.m_Address);
  return Addresses;
}

bool contains(const std::vector<std::string> &All, const std::string &Text) {
  return std::find(All.begin(), All.end(), Text) != All.end();
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayRules)

// Guards against requests that are passed on to gateways which are cut off
// themselves, leave or have ended.
BOOST_AUTO_TEST_CASE(OnlyGatewaysThatReachTheServiceAreOffered) {
  RelayBoard Board;
  noteRelayReport(Board, renewalOf(1, {Chat}), Millis(9000));
  noteRelayReport(Board, renewalOf(2, {Chat, Desk}), Millis(9000));
  noteRelayReport(Board, renewalOf(3, {}), Millis(9000));
  Renew Leaving = renewalOf(4, {});
  Leaving.m_Leaving = true;
  noteRelayReport(Board, Leaving, Millis(9000));
  noteRelayReport(Board, renewalOf(5, {}), Millis(1000));
  Renew Plain = renewalOf(6, {});
  Plain.m_RelayAddress.clear();
  noteRelayReport(Board, Plain, Millis(9000));
  std::vector<RelayOffer> Offers =
      offerRelays(Board, renewalOf(2, {Chat, Desk}), Millis(10000));
  BOOST_TEST(addressesOf(Offers, Chat) ==
             std::vector<std::string>{"10.0.0.3:7000"});
  BOOST_TEST(addressesOf(Offers, Desk).size() == 2U);
  BOOST_TEST(contains(addressesOf(Offers, Desk), "10.0.0.1:7000"));
  BOOST_TEST(offerRelays(Board, renewalOf(3, {}), Millis(10000)).empty());
}

// Guards against gateways that try relays of an earlier cut when no gateway
// reaches the service.
BOOST_AUTO_TEST_CASE(AnOfferWithoutAnAddressClearsTheFormerRelays) {
  RelayBoard Board;
  noteRelayReport(Board, renewalOf(1, {Chat}), Millis(0));
  noteRelayReport(Board, renewalOf(2, {}), Millis(0));
  Relays Known;
  applyRelayOffers(Known, offerRelays(Board, renewalOf(1, {Chat}), Millis(0)));
  BOOST_TEST(chooseRelay(Known, Chat, {}, 1, Millis(0)).has_value());
  noteRelayReport(Board, renewalOf(2, {Chat}), Millis(0));
  applyRelayOffers(Known, offerRelays(Board, renewalOf(1, {Chat}), Millis(0)));
  BOOST_TEST(!chooseRelay(Known, Chat, {}, 1, Millis(0)).has_value());
  BOOST_TEST(Known.m_ByService.count(Chat) == 1U);
}

// Guards against a few gateways that bear the load of all that are cut off. 175
// of 291 gateways are cut off, each with the same load.
BOOST_AUTO_TEST_CASE(ManyCutOffGatewaysSpreadOverAllOthers) {
  constexpr std::size_t Gateways = 291;
  constexpr std::size_t Cut = 175;
  constexpr std::size_t Requests = 60;
  RelayBoard Board;
  for (std::size_t Number = 0; Number < Gateways; ++Number)
    noteRelayReport(Board,
                    renewalOf(Number, Number < Cut ? std::vector<PoolId>{Chat}
                                                   : std::vector<PoolId>{}),
                    Millis(0));
  std::map<std::string, std::size_t> Load;
  for (std::size_t Number = 0; Number < Cut; ++Number) {
    Relays Known;
    applyRelayOffers(Known,
                     offerRelays(Board, renewalOf(Number, {Chat}), Millis(0)));
    BOOST_TEST(Known.m_ByService[Chat].size() == 6U);
    for (std::size_t Request = 0; Request < Requests; ++Request) {
      std::optional<std::string> Address =
          chooseRelay(Known, Chat, {}, Request * 31 + Number, Millis(0));
      BOOST_REQUIRE(Address.has_value());
      noteRelayStarted(Known, *Address);
      ++Load[*Address];
    }
  }
  double Mean = static_cast<double>(Cut * Requests) / (Gateways - Cut);
  std::size_t Most = 0;
  for (const std::pair<const std::string, std::size_t> &Row : Load)
    Most = std::max(Most, Row.second);
  BOOST_TEST(static_cast<double>(Most) <= 2.5 * Mean);
}

// Guards against requests that go again to a relay that could not be reached.
BOOST_AUTO_TEST_CASE(APausedRelayIsChosenLast) {
  Relays Known;
  applyRelayOffers(Known, {{Chat, "a:1"}, {Chat, "b:1"}});
  pauseRelay(Known, "a:1", Millis(0));
  noteRelayStarted(Known, "b:1");
  for (std::uint64_t Random = 0; Random < 20; ++Random)
    BOOST_TEST(*chooseRelay(Known, Chat, {}, Random, Millis(10)) == "b:1");
  BOOST_TEST(*chooseRelay(Known, Chat, {"b:1"}, 1, Millis(10)) == "a:1");
  BOOST_TEST(!chooseRelay(Known, Chat, {"a:1", "b:1"}, 1, Millis(10)));
  noteRelayEnded(Known, "b:1", Millis(20));
  BOOST_TEST(Known.m_States.count("b:1") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
