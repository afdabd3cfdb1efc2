#include "Property.hpp"
#include "vanillaferry/process/state_machine.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <tuple>

using namespace vanillaferry;

namespace {

constexpr std::int64_t Hour = 3600 * 1000;
constexpr std::int64_t Start = 1700000000000;

struct Log {
  StateMachine m_State;

  CommandAnswer apply(const Command &Input) {
    return applyCommand(m_State, m_State.m_Applied + LogIndex(1), Input);
  }
  JournalAnswer call(const Command &Input) {
    return std::get<JournalAnswer>(apply(Input));
  }
  void join(const std::string &Node, std::uint64_t Which) {
    apply(AddMember{{NodeId(Node), Incarnation(Which), "ws://127.0.0.1:1",
                     ZoneId("Tangra"), false}});
  }
};

Log makeLog() {
  Log Made;
  Made.apply(AdvanceClock{UnixMillis(Start)});
  Made.join("r1", 1);
  Made.join("r2", 2);
  return Made;
}

JournalBegin beginOf(const std::string &Request, const std::string &Node,
                     std::uint64_t Which, const std::string &Body = "b") {
  JournalBegin Begin;
  Begin.m_Request = RequestId(Request);
  Begin.m_Account = AccountId("a");
  Begin.m_Key = IdempotencyKey("k");
  Begin.m_BodyHash = Body;
  Begin.m_IssuedAt = UnixMillis(Start);
  Begin.m_Node = NodeId(Node);
  Begin.m_Incarnation = Incarnation(Which);
  return Begin;
}

JournalEnd endOf(const JournalBegin &Begin, CallOutcome Outcome,
                 const std::string &Body = "answer") {
  JournalEnd End;
  End.m_Request = Begin.m_Request;
  End.m_Account = Begin.m_Account;
  End.m_Key = Begin.m_Key;
  End.m_Node = Begin.m_Node;
  End.m_Incarnation = Begin.m_Incarnation;
  End.m_Outcome = Outcome;
  End.m_Answer = {200, "text/plain", Body};
  return End;
}

bool is(const JournalAnswer &Answer, JournalStatus Status) {
  return Answer.m_Status == Status;
}

/// What a router has done with one request.
enum class Fate { Waiting, Ran, GaveUp };

struct ModelCall {
  JournalBegin m_Begin;
  Fate m_Fate = Fate::Waiting;
};

/// Routers that begin, run and end calls over a log whose messages may be lost,
/// repeated or late.
struct JournalModel {
  Log m_Log = makeLog();
  std::int64_t m_Clock = Start;
  std::vector<ModelCall> m_Calls;
  std::vector<JournalEnd> m_Ends;
  std::map<IdempotencyKey, int> m_Runs;
  std::map<std::string, std::uint64_t> m_Incarnations{{"r1", 1}, {"r2", 2}};
  std::map<IdempotencyKey, UnixMillis> m_Issued;
  std::uint64_t m_NextIncarnation = 3;
  std::string m_Fault;
  std::uint64_t m_Recorded = 0;
};

void noteAnswer(JournalModel &Model, ModelCall &Call,
                const JournalAnswer &Answer, bool Delivered) {
  if (is(Answer, JournalStatus::Recorded)) {
    ++Model.m_Recorded;
    if (Answer.m_Answer.m_Body != "answer " + Call.m_Begin.m_Key.m_Value)
      Model.m_Fault = "a recorded answer belongs to another key";
  }
  if (!is(Answer, JournalStatus::Granted) || !Delivered ||
      Call.m_Fate != Fate::Waiting)
    return;
  Call.m_Fate = Fate::Ran;
  if (++Model.m_Runs[Call.m_Begin.m_Key] > 1)
    Model.m_Fault = "key " + Call.m_Begin.m_Key.m_Value + " ran twice";
}

void beginNew(JournalModel &Model, int Which, int Amount) {
  std::string Node = Amount % 2 == 0 ? "r1" : "r2";
  JournalBegin Begin =
      beginOf("q" + std::to_string(Model.m_Calls.size()), Node,
              Model.m_Incarnations[Node], Amount % 11 == 0 ? "other" : "b");
  Begin.m_Key = IdempotencyKey("k" + std::to_string(Which % 4));
  // A key keeps the time of issue that it was first used with.
  Begin.m_IssuedAt =
      Model.m_Issued.emplace(Begin.m_Key, UnixMillis(Model.m_Clock))
          .first->second;
  Begin.m_ProposedAt = UnixMillis(Model.m_Clock);
  Model.m_Calls.push_back({Begin, Fate::Waiting});
  noteAnswer(Model, Model.m_Calls.back(), Model.m_Log.call(Begin),
             Amount % 3 != 0);
}

void endCallOf(JournalModel &Model, std::size_t Which, int Amount) {
  ModelCall &Call = Model.m_Calls[Which % Model.m_Calls.size()];
  CallOutcome Outcome = CallOutcome::NotRun;
  if (Call.m_Fate == Fate::Waiting)
    Call.m_Fate = Fate::GaveUp;
  else if (Call.m_Fate == Fate::Ran)
    Outcome = Amount % 4 == 0 ? CallOutcome::Unknown : CallOutcome::Answered;
  JournalEnd End =
      endOf(Call.m_Begin, Outcome, "answer " + Call.m_Begin.m_Key.m_Value);
  Model.m_Ends.push_back(End);
  if (Amount % 5 != 0) // Otherwise it arrives late or never.
    Model.m_Log.call(End);
}

void advance(JournalModel &Model, int Amount) {
  // Most steps are minutes; some are longer than an entry is kept.
  std::int64_t Step = Amount % 7 == 0 ? 25 * Hour : Amount * 60000LL;
  Model.m_Clock += Step;
  if (Amount % 3 != 0)
    Model.m_Log.apply(AdvanceClock{UnixMillis(Model.m_Clock)});
}

void runStep(JournalModel &Model, const std::tuple<int, int, int> &Step) {
  int Kind = std::get<0>(Step);
  int Which = std::get<1>(Step);
  int Amount = std::get<2>(Step);
  std::string Node = Which % 2 == 0 ? "r1" : "r2";
  if (Kind < 35 || Model.m_Calls.empty()) {
    beginNew(Model, Which, Amount);
  } else if (Kind < 50) {
    ModelCall &Call =
        Model.m_Calls[static_cast<std::size_t>(Which) % Model.m_Calls.size()];
    Call.m_Begin.m_ProposedAt = UnixMillis(Model.m_Clock);
    noteAnswer(Model, Call, Model.m_Log.call(Call.m_Begin), Amount % 3 != 0);
  } else if (Kind < 75) {
    endCallOf(Model, static_cast<std::size_t>(Which), Amount);
  } else if (Kind < 80 && !Model.m_Ends.empty()) {
    Model.m_Log.call(
        Model.m_Ends[static_cast<std::size_t>(Which) % Model.m_Ends.size()]);
  } else if (Kind < 88) {
    std::uint64_t Fresh = Model.m_NextIncarnation++;
    Model.m_Log.join(Node, Fresh);
    Model.m_Incarnations[Node] = Fresh;
  } else if (Kind < 91) {
    Model.m_Log.apply(
        RemoveMember{NodeId(Node), Incarnation(Model.m_Incarnations[Node])});
  } else if (Kind < 93) { // A frozen router that joins again.
    Model.m_Log.join(Node, Model.m_Incarnations[Node]);
  } else if (Kind < 97) {
    advance(Model, Amount);
  } else {
    Result<StateMachine> Restored =
        decodeState(encodeState(Model.m_Log.m_State));
    if (Restored)
      Model.m_Log.m_State = Restored.value();
    else
      Model.m_Fault = Restored.error().m_Text;
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(JournalRules)

// Guards against a key that runs twice, under lost answers, repeated and late
// begins and ends, restarts, removals, rejoining routers, snapshots and clocks
// that advance beyond the retention of entries.
BOOST_AUTO_TEST_CASE(NoKeyRunsTwiceUnderRandomFaults) {
  std::uint64_t Runs = 0;
  std::uint64_t Recorded = 0;
  requireProperty("journal", 2000, [&] {
    std::vector<std::tuple<int, int, int>> Steps = *rc::gen::resize(
        150,
        rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 100), rc::gen::inRange(0, 1000),
                           rc::gen::inRange(0, 1000))));
    JournalModel Model;
    for (const std::tuple<int, int, int> &Step : Steps) {
      runStep(Model, Step);
      if (!Model.m_Fault.empty())
        RC_FAIL(Model.m_Fault);
    }
    for (const std::pair<const IdempotencyKey, int> &Row : Model.m_Runs)
      Runs += static_cast<std::uint64_t>(Row.second);
    Recorded += Model.m_Recorded;
  });
  std::cout << "runs " << Runs << ", recorded answers " << Recorded
            << std::endl;
  BOOST_TEST(Runs > 0U);
  BOOST_TEST(Recorded > 0U);
}

// Guards against a call that is refused because the answer to its begin was
// lost.
BOOST_AUTO_TEST_CASE(RepeatedBeginOfTheSameRequestIsGrantedAgain) {
  Log Calls = makeLog();
  BOOST_TEST(is(Calls.call(beginOf("q1", "r1", 1)), JournalStatus::Granted));
  BOOST_TEST(is(Calls.call(beginOf("q1", "r1", 1)), JournalStatus::Granted));
  BOOST_TEST(is(Calls.call(beginOf("q2", "r2", 2)), JournalStatus::Running));
  // The same request id from another router is another request.
  BOOST_TEST(is(Calls.call(beginOf("q1", "r2", 2)), JournalStatus::Running));
}

// Guards against using one key for two different calls.
BOOST_AUTO_TEST_CASE(SameKeyWithAnotherBodyIsAnError) {
  Log Calls = makeLog();
  JournalBegin First = beginOf("q1", "r1", 1);
  Calls.call(First);
  JournalBegin Other = beginOf("q2", "r1", 1, "other");
  BOOST_TEST(is(Calls.call(Other), JournalStatus::BodyMismatch));
  Calls.call(endOf(First, CallOutcome::Answered));
  BOOST_TEST(is(Calls.call(Other), JournalStatus::BodyMismatch));
}

// Guards against a second run after the router failed between begin and send or
// during the call.
BOOST_AUTO_TEST_CASE(RouterThatDiesAfterBeginLeavesTheOutcomeUnknown) {
  Log Removed = makeLog();
  Removed.call(beginOf("q1", "r1", 1));
  Removed.apply(RemoveMember{NodeId("r1"), Incarnation(1)});
  BOOST_TEST(
      is(Removed.call(beginOf("q2", "r2", 2)), JournalStatus::OutcomeUnknown));
  Log Restarted = makeLog();
  Restarted.call(beginOf("q1", "r1", 1));
  Restarted.join("r1", 9);
  BOOST_TEST(is(Restarted.call(beginOf("q2", "r1", 9)),
                JournalStatus::OutcomeUnknown));
  // The begin of the ended incarnation is not granted again either.
  BOOST_TEST(
      is(Restarted.call(beginOf("q1", "r1", 1)), JournalStatus::Unavailable));
}

// Guards against a begin that reaches the log after its router has ended: its
// entry would stay running forever.
BOOST_AUTO_TEST_CASE(BeginOfAnEndedIncarnationIsNotRegistered) {
  Log Calls = makeLog();
  Calls.join("r1", 9);
  BOOST_TEST(
      is(Calls.call(beginOf("q1", "r1", 1)), JournalStatus::Unavailable));
  BOOST_TEST(is(Calls.call(beginOf("q2", "r2", 2)), JournalStatus::Granted));
}

// Guards against a key that is blocked by an abandoned begin that arrives after
// its end.
BOOST_AUTO_TEST_CASE(BeginThatArrivesAfterItsReleaseIsNotGranted) {
  Log Calls = makeLog();
  JournalBegin Late = beginOf("q1", "r1", 1);
  Calls.call(endOf(Late, CallOutcome::NotRun));
  BOOST_TEST(is(Calls.call(Late), JournalStatus::Ended));
  BOOST_TEST(is(Calls.call(beginOf("q2", "r2", 2)), JournalStatus::Granted));
  // A late copy of the release does not free the other request's key.
  Calls.call(endOf(Late, CallOutcome::NotRun));
  BOOST_TEST(is(Calls.call(beginOf("q3", "r1", 1)), JournalStatus::Running));
}

// Guards against a late copy of a begin whose request was released: its router
// no longer knows the request and would leave the key running forever.
BOOST_AUTO_TEST_CASE(CopyOfAReleasedBeginIsNotGranted) {
  Log Calls = makeLog();
  JournalBegin Begin = beginOf("q1", "r1", 1);
  BOOST_TEST(is(Calls.call(Begin), JournalStatus::Granted));
  Calls.call(endOf(Begin, CallOutcome::NotRun));
  BOOST_TEST(is(Calls.call(Begin), JournalStatus::Ended));
  BOOST_TEST(is(Calls.call(beginOf("q2", "r2", 2)), JournalStatus::Granted));
}

// Guards against losing an outcome of a router that was removed but still runs.
BOOST_AUTO_TEST_CASE(OutcomeOfTheBeginningIncarnationReplacesUnknown) {
  Log Calls = makeLog();
  JournalBegin Begin = beginOf("q1", "r1", 1);
  Calls.call(Begin);
  Calls.apply(RemoveMember{NodeId("r1"), Incarnation(1)});
  Calls.call(endOf(Begin, CallOutcome::Answered, "done"));
  JournalAnswer Answer = Calls.call(beginOf("q2", "r2", 2));
  BOOST_TEST(is(Answer, JournalStatus::Recorded));
  BOOST_TEST(Answer.m_Answer.m_Body == "done");
  // The recorded answer stays.
  Calls.call(endOf(Begin, CallOutcome::Answered, "other"));
  BOOST_TEST(Calls.call(beginOf("q3", "r2", 2)).m_Answer.m_Body == "done");
}

// Guards against a truncated answer that is mistaken for a complete one.
BOOST_AUTO_TEST_CASE(AnswerAboveTheLimitIsMarkedAsNotKept) {
  Log Calls = makeLog();
  JournalBegin Begin = beginOf("q1", "r1", 1);
  Calls.call(Begin);
  Calls.call(endOf(Begin, CallOutcome::Answered, std::string(65537, 'x')));
  JournalAnswer Answer = Calls.call(beginOf("q2", "r2", 2));
  BOOST_TEST(is(Answer, JournalStatus::Recorded));
  BOOST_TEST(Answer.m_Answer.m_HttpStatus == 200);
  BOOST_TEST(Answer.m_Answer.m_ContentType == BodyNotKeptType);
  BOOST_TEST(Answer.m_Answer.m_Body.empty());
}

// Guards against running a key again after its entry was removed, at the limits
// of the retention and of the key's age.
BOOST_AUTO_TEST_CASE(KeysAreRefusedBeforeTheirEntriesAreForgotten) {
  Log Calls = makeLog();
  JournalBegin Begin = beginOf("q1", "r1", 1);
  Calls.call(Begin);
  Calls.call(endOf(Begin, CallOutcome::Answered));
  Calls.apply(AdvanceClock{UnixMillis(Start + 24 * Hour)});
  BOOST_TEST(is(Calls.call(beginOf("q2", "r1", 1)), JournalStatus::Recorded));
  Calls.apply(AdvanceClock{UnixMillis(Start + 24 * Hour + 1)});
  BOOST_TEST(Calls.m_State.m_Journal.m_Entries.empty());
  BOOST_TEST(is(Calls.call(beginOf("q3", "r1", 1)), JournalStatus::KeyExpired));
  // The clock never goes back.
  Calls.apply(AdvanceClock{UnixMillis(Start)});
  BOOST_TEST(is(Calls.call(beginOf("q4", "r1", 1)), JournalStatus::KeyExpired));
}

// Guards against accepting a key by a replicated clock that is behind the
// leader's.
BOOST_AUTO_TEST_CASE(TimeOfTheProposalCountsWhenItIsLater) {
  Log Calls = makeLog();
  JournalBegin Begin = beginOf("q1", "r1", 1);
  Begin.m_ProposedAt = UnixMillis(Start + 23 * Hour + 1);
  BOOST_TEST(is(Calls.call(Begin), JournalStatus::KeyExpired));
  Begin.m_IssuedAt = UnixMillis(Begin.m_ProposedAt.m_Value + 300001);
  BOOST_TEST(is(Calls.call(Begin), JournalStatus::KeyFromFuture));
  Begin.m_IssuedAt = UnixMillis(Begin.m_ProposedAt.m_Value + 300000);
  BOOST_TEST(is(Calls.call(Begin), JournalStatus::Granted));
}

BOOST_AUTO_TEST_SUITE_END()
