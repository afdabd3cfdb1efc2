#include "Property.hpp"
#include "vanillaferry/process/state_machine.hpp"

#include <boost/test/unit_test.hpp>
#include <tuple>

using namespace vanillaferry;

namespace {

constexpr std::int64_t Hour = 3600 * 1000;

EditSection editOf(const std::string &Id, const std::string &Section,
                   std::uint64_t Expected, const std::string &Json) {
  EditSection Edit;
  Edit.m_Edit = EditId(Id);
  Edit.m_Operator = OperatorId("ana");
  Edit.m_Section = SectionName(Section);
  Edit.m_Expected = SectionVersion(Expected);
  Edit.m_Json = Json;
  return Edit;
}

EditAnswer apply(StateMachine &State, const EditSection &Edit) {
  return std::get<EditAnswer>(
      applyCommand(State, State.m_Applied + LogIndex(1), Edit));
}

bool same(const EditAnswer &A, const EditAnswer &B) {
  return A.m_Status == B.m_Status && A.m_Version == B.m_Version &&
         A.m_Document == B.m_Document && A.m_CurrentJson == B.m_CurrentJson &&
         A.m_Section == B.m_Section && A.m_Edit == B.m_Edit;
}

StateMachine restored(const StateMachine &State) {
  Result<StateMachine> Copy = decodeState(encodeState(State));
  BOOST_REQUIRE(Copy.has_value());
  return Copy.value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(DocumentEdits)

// Guards against lost updates: two edits of the same version are both accepted.
BOOST_AUTO_TEST_CASE(OneOfTwoRacingEditsWinsAndTheOtherGetsTheCurrentVersion) {
  StateMachine State;
  EditAnswer First = apply(State, editOf("e1", "zones", 0, "{\"a\":1}"));
  EditAnswer Second = apply(State, editOf("e2", "zones", 0, "{\"a\":2}"));
  BOOST_TEST((First.m_Status == EditStatus::Accepted));
  BOOST_TEST(First.m_Version == SectionVersion(1));
  BOOST_TEST((Second.m_Status == EditStatus::Conflict));
  BOOST_TEST(Second.m_Version == SectionVersion(1));
  BOOST_TEST(Second.m_CurrentJson == "{\"a\":1}");
  BOOST_TEST(State.m_Document.m_Sections[SectionName("zones")].m_Json ==
             "{\"a\":1}");
}

// Guards against an edit that is applied twice, or answered differently, when
// its answer was lost and the keeper restarted.
BOOST_AUTO_TEST_CASE(ResendAfterARestartGetsTheFirstAnswer) {
  StateMachine State;
  EditSection Accepted = editOf("e1", "zones", 0, "{\"a\":1}");
  EditSection Lost = editOf("e2", "zones", 0, "{\"a\":2}");
  EditAnswer First = apply(State, Accepted);
  EditAnswer Second = apply(State, Lost);
  apply(State, editOf("e3", "zones", 1, "{\"a\":3}"));
  State = restored(State);
  // A resend may be stamped with another time.
  Accepted.m_At = UnixMillis(99);
  BOOST_TEST(same(apply(State, Accepted), First));
  BOOST_TEST(same(apply(State, Lost), Second));
  BOOST_TEST(State.m_Document.m_Sections[SectionName("zones")].m_Version ==
             SectionVersion(2));
}

// Guards against an edit that gets the answer of a different edit because both
// use the same id.
BOOST_AUTO_TEST_CASE(EditIdReusedForAnotherEditIsAnError) {
  StateMachine State;
  apply(State, editOf("e1", "zones", 0, "{}"));
  for (const EditSection &Other :
       {editOf("e1", "zones", 0, "{\"b\":1}"), editOf("e1", "zones", 1, "{}"),
        editOf("e1", "limits", 0, "{}")})
    BOOST_TEST((apply(State, Other).m_Status == EditStatus::EditIdReused));
  EditSection OtherOperator = editOf("e1", "zones", 0, "{}");
  OtherOperator.m_Operator = OperatorId("ben");
  BOOST_TEST(
      (apply(State, OtherOperator).m_Status == EditStatus::EditIdReused));
  BOOST_TEST(State.m_Document.m_Sections.size() == 1U);
}

// Guards against answers that are dropped before 24 hours or kept for ever.
BOOST_AUTO_TEST_CASE(EditAnswersAreKeptFor24HoursOfTheReplicatedClock) {
  StateMachine State;
  applyCommand(State, LogIndex(1), AdvanceClock{UnixMillis(100 * Hour)});
  EditSection Edit = editOf("e1", "zones", 0, "{}");
  // The time stamp of a leader whose clock is slow does not shorten the
  // retention.
  Edit.m_At = UnixMillis(0);
  EditAnswer First = apply(State, Edit);
  applyCommand(State, LogIndex(3), AdvanceClock{UnixMillis(124 * Hour)});
  BOOST_TEST(same(apply(State, Edit), First));
  applyCommand(State, LogIndex(5), AdvanceClock{UnixMillis(124 * Hour + 1)});
  BOOST_TEST(State.m_Document.m_Answers.empty());
  BOOST_TEST((apply(State, Edit).m_Status == EditStatus::Conflict));
}

// Guards against a state that differs from the one saved, after many changes
// and a restart.
BOOST_AUTO_TEST_CASE(HundredsOfEditsSurviveSnapshotAndRestore) {
  StateMachine State;
  std::string Name = "zones";
  for (std::uint64_t I = 0; I < 700; ++I)
    apply(State, editOf("e" + std::to_string(I), Name, I,
                        "{\"n\":" + std::to_string(I) + "}"));
  StateMachine Copy = restored(State);
  BOOST_TEST(encodeState(Copy) == encodeState(State));
  const Section &Kept = Copy.m_Document.m_Sections[SectionName(Name)];
  BOOST_TEST(Kept.m_Version == SectionVersion(700));
  BOOST_TEST(Kept.m_Json == "{\"n\":699}");
  BOOST_TEST(Kept.m_History.size() == SectionHistoryLimit);
  BOOST_TEST(Kept.m_History.back().m_Version == SectionVersion(700));
  BOOST_TEST((apply(Copy, editOf("late", Name, 699, "{}")).m_Status ==
              EditStatus::Conflict));
}

// Guards against a snapshot that grows with 64 copies of a long section.
BOOST_AUTO_TEST_CASE(HistoryOfALongSectionIsBoundedInBytes) {
  StateMachine State;
  std::string Long(3 * 1024 * 1024, 'x');
  for (std::uint64_t I = 0; I < 6; ++I)
    apply(State, editOf("e" + std::to_string(I), "services", I,
                        Long + std::to_string(I)));
  const Section &Kept = State.m_Document.m_Sections[SectionName("services")];
  BOOST_TEST(Kept.m_History.size() == 2U);
  BOOST_TEST(Kept.m_History.back().m_Version == SectionVersion(6));
}

// Guards against a router that misses a changed section, or is sent unchanged
// sections again.
BOOST_AUTO_TEST_CASE(ChangedSectionsAreThoseAfterTheAcknowledgedVersion) {
  StateMachine State;
  apply(State, editOf("e1", "zones", 0, "{}"));
  DocumentVersion Known = State.m_Document.m_Version;
  apply(State, editOf("e2", "limits", 0, "{\"x\":1}"));
  std::vector<SectionContent> Changed =
      changedSections(State.m_Document, Known);
  BOOST_REQUIRE(Changed.size() == 1U);
  BOOST_TEST(Changed[0].m_Name == SectionName("limits"));
  BOOST_TEST(Changed[0].m_Json == "{\"x\":1}");
  BOOST_TEST(changedSections(State.m_Document, DocumentVersion(0)).size() ==
             2U);
}

// Guards against lost or duplicated edits with concurrent edits, resends and
// restores: a section's version is the number of its accepted edits, and each
// edit id keeps its first answer.
BOOST_AUTO_TEST_CASE(RandomEditsResendsAndRestoresKeepEveryFirstAnswer) {
  std::uint64_t Accepted = 0;
  std::uint64_t Resent = 0;
  requireProperty("document", 500, [&] {
    std::vector<std::tuple<int, int, int>> Steps = *rc::gen::resize(
        200,
        rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 100), rc::gen::inRange(0, 1000),
                           rc::gen::inRange(0, 3))));
    StateMachine State;
    std::vector<std::pair<EditSection, EditAnswer>> Sent;
    std::map<SectionName, std::uint64_t> Versions;
    for (const std::tuple<int, int, int> &Step : Steps) {
      std::size_t Which = static_cast<std::size_t>(std::get<1>(Step));
      if (std::get<0>(Step) < 60 || Sent.empty()) {
        std::string Name = "s" + std::to_string(Which % 3);
        // The expected version is the current one, or an older one as from an
        // operator that read the section earlier.
        std::uint64_t Present = Versions[SectionName(Name)];
        std::uint64_t Behind = static_cast<std::uint64_t>(std::get<2>(Step));
        EditSection Edit = editOf("e" + std::to_string(Sent.size()), Name,
                                  Present < Behind ? Present : Present - Behind,
                                  std::to_string(Which));
        EditAnswer Answer = apply(State, Edit);
        bool Wins = Edit.m_Expected.m_Value == Present;
        RC_ASSERT((Answer.m_Status == EditStatus::Accepted) == Wins);
        if (Wins)
          ++Versions[SectionName(Name)];
        Accepted += Wins ? 1 : 0;
        RC_ASSERT(Answer.m_Version.m_Value == Versions[SectionName(Name)]);
        Sent.emplace_back(Edit, Answer);
      } else if (std::get<0>(Step) < 90) {
        const std::pair<EditSection, EditAnswer> &Old =
            Sent[Which % Sent.size()];
        RC_ASSERT(same(apply(State, Old.first), Old.second));
        ++Resent;
      } else {
        Result<StateMachine> Copy = decodeState(encodeState(State));
        RC_ASSERT(Copy.has_value());
        RC_ASSERT(encodeState(Copy.value()) == encodeState(State));
        State = Copy.value();
      }
    }
  });
  std::cout << "accepted " << Accepted << ", resent " << Resent << std::endl;
  BOOST_TEST(Accepted > 0U);
  BOOST_TEST(Resent > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
