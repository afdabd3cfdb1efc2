#include "process/keeper_formation.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <random>

using namespace vanillaferry;

namespace {

std::vector<InitialKeeper> threeKeepers() {
  return {{KeeperId("k1"), "ws://127.0.0.1:1"},
          {KeeperId("k2"), "ws://127.0.0.1:2"},
          {KeeperId("k3"), "ws://127.0.0.1:3"}};
}

KeeperSettings settingsOf(const std::string &Name) {
  KeeperSettings Settings;
  Settings.m_Keeper = KeeperId(Name);
  Settings.m_InitialKeepers = threeKeepers();
  return Settings;
}

Formation initialized(const std::string &Name, std::uint64_t Disk) {
  Result<Formation> Created = createFormation(settingsOf(Name), true, Disk);
  BOOST_REQUIRE(Created.has_value());
  return Created.value();
}

IdentityClaim claimOf(const Formation &Own) {
  return {Own.m_Keeper, Own.m_Disk, hashInitialSet(Own.m_Members)};
}

/// One keeper of the simulated formation.
struct Simulated {
  Formation m_Own;
  std::set<KeeperId> m_Accepted;
  bool m_Refused = false;
};

/// A sends its claim to B and receives the answer.
void exchange(Simulated &A, Simulated &B) {
  if (A.m_Refused || B.m_Refused || A.m_Own.m_State != FormationState::Forming)
    return;
  bool Changed = false;
  IdentityVerdict Verdict = evaluateClaim(B.m_Own, claimOf(A.m_Own), Changed);
  if (!Verdict.m_Accepted)
    A.m_Refused = true;
  else if (noteAcceptance(A.m_Own, A.m_Accepted, B.m_Own.m_Keeper, Verdict))
    A.m_Own.m_State = FormationState::Formed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeeperFormation)

// Guards against a new keeper that starts under the identity of a voter.
BOOST_AUTO_TEST_CASE(WithoutInitializeTheIdentityIsNewAndNoMember) {
  Result<Formation> Created =
      createFormation(settingsOf("k1"), false, 0x1234567890abcdefULL);
  BOOST_REQUIRE(Created.has_value());
  BOOST_TEST(Created.value().m_Keeper == KeeperId("k1-12345678"));
  BOOST_TEST((Created.value().m_State == FormationState::Fresh));
  BOOST_TEST(Created.value().m_Members.empty());
}

BOOST_AUTO_TEST_CASE(InitializeNeedsAMemberOfTheInitialSet) {
  Result<Formation> Created = createFormation(settingsOf("k9"), true, 1);
  BOOST_REQUIRE(!Created.has_value());
  BOOST_TEST((Created.error().m_Code == ErrorCode::InvalidSettings));
}

// Guards against an identity that is not the same after a restart.
BOOST_AUTO_TEST_CASE(TheRecordIsReadBackAsItWasSaved) {
  std::string Pattern =
      std::filesystem::temp_directory_path() / "vanillaferry-XXXXXX";
  BOOST_REQUIRE(::mkdtemp(Pattern.data()));
  Result<std::optional<Formation>> None = loadFormation(Pattern);
  BOOST_REQUIRE(None.has_value());
  BOOST_TEST(!None.value().has_value());
  Formation Own = initialized("k1", ~0ULL);
  Own.m_Claims[KeeperId("k2")] = 77;
  BOOST_REQUIRE(saveFormation(Pattern, Own).has_value());
  Result<std::optional<Formation>> Loaded = loadFormation(Pattern);
  BOOST_REQUIRE(Loaded.has_value());
  BOOST_REQUIRE(Loaded.value().has_value());
  BOOST_TEST(Loaded.value()->m_Keeper == Own.m_Keeper);
  BOOST_TEST(Loaded.value()->m_Disk == Own.m_Disk);
  BOOST_TEST((Loaded.value()->m_State == Own.m_State));
  BOOST_TEST((Loaded.value()->m_Claims == Own.m_Claims));
  BOOST_TEST(hashInitialSet(Loaded.value()->m_Members) ==
             hashInitialSet(threeKeepers()));
  std::filesystem::remove_all(Pattern);
}

BOOST_AUTO_TEST_CASE(OneDiskIsAcceptedForEachIdentity) {
  Formation Own = initialized("k1", 1);
  bool Changed = false;
  IdentityClaim Claim = claimOf(initialized("k2", 2));
  BOOST_TEST(evaluateClaim(Own, Claim, Changed).m_Accepted);
  BOOST_TEST(Changed);
  BOOST_TEST(evaluateClaim(Own, Claim, Changed).m_Accepted);
  BOOST_TEST(!Changed);
  Claim.m_Disk = 3;
  IdentityVerdict Refused = evaluateClaim(Own, Claim, Changed);
  BOOST_TEST(!Refused.m_Accepted);
  BOOST_TEST(!Refused.m_Why.empty());
}

// Guards against keepers that form two different sets.
BOOST_AUTO_TEST_CASE(DifferentInitialSetsAreRefused) {
  Formation Own = initialized("k1", 1);
  bool Changed = false;
  IdentityClaim Claim = claimOf(initialized("k2", 2));
  Claim.m_InitialSet ^= 1;
  BOOST_TEST(!evaluateClaim(Own, Claim, Changed).m_Accepted);
  BOOST_TEST(!Changed);
}

// Guards against one identity voting with two disks: keepers exchange claims in
// random order while one of them is wiped and initialized again at random
// moments.
BOOST_AUTO_TEST_CASE(NoIdentityIsEverFormedOnTwoDisks) {
  std::size_t Formed = 0;
  for (std::uint32_t Seed = 0; Seed < 2000; ++Seed) {
    std::mt19937 Random(Seed);
    std::vector<Simulated> Keepers;
    for (const InitialKeeper &Member : threeKeepers())
      Keepers.push_back({initialized(Member.m_Keeper.m_Value, Random()), {}});
    std::size_t Wiped = Random() % 3;
    std::map<KeeperId, std::set<std::uint64_t>> FormedDisks;
    for (int Step = 0; Step < 60; ++Step) {
      exchange(Keepers[Random() % 3], Keepers[Random() % 3]);
      for (const Simulated &Keeper : Keepers)
        if (Keeper.m_Own.m_State == FormationState::Formed)
          FormedDisks[Keeper.m_Own.m_Keeper].insert(Keeper.m_Own.m_Disk);
      if (Random() % 12 == 0) {
        KeeperId Name = Keepers[Wiped].m_Own.m_Keeper;
        Keepers[Wiped] = {initialized(Name.m_Value, Random()), {}};
      }
    }
    for (const std::pair<const KeeperId, std::set<std::uint64_t>> &Row :
         FormedDisks)
      BOOST_REQUIRE_MESSAGE(Row.second.size() == 1, "seed " << Seed);
    Formed += FormedDisks.size();
  }
  // Without formed identities the check above would test nothing.
  BOOST_TEST(Formed > 1000U);
}

BOOST_AUTO_TEST_SUITE_END()
