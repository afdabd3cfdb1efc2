#include "vanillaferry/process/state_machine.hpp"

#include "process/archive.hpp"
#include "process/cbor.hpp"

#include <set>
#include <string_view>

namespace vanillaferry {

/// Raised when a field changes its meaning; older snapshots are then refused.
constexpr std::uint32_t StateFormat = 2;

template <> struct EnumLimit<EditStatus> {
  static constexpr EditStatus Last = EditStatus::EditIdReused;
};
template <> struct EnumLimit<OrderOutcome> {
  static constexpr OrderOutcome Last = OrderOutcome::Unknown;
};
template <> struct EnumLimit<CallState> {
  static constexpr CallState Last = CallState::Released;
};
template <> struct EnumLimit<RolloutStage> {
  static constexpr RolloutStage Last = RolloutStage::RolledBack;
};
template <> struct EnumLimit<CallOutcome> {
  static constexpr CallOutcome Last = CallOutcome::Unknown;
};

// Static and not in an anonymous namespace, so that the archives find them by
// argument-dependent lookup.
template <typename Archive> static void describe(Archive &A, EditSection &E) {
  A("edit", E.m_Edit);
  A("operator", E.m_Operator);
  A("section", E.m_Section);
  A("expected", E.m_Expected);
  A("json", E.m_Json);
  A("at", E.m_At);
}

template <typename Archive> static void describe(Archive &A, Member &M) {
  A("node", M.m_Node);
  A("incarnation", M.m_Incarnation);
  A("url", M.m_PeerUrl);
  A("zone", M.m_Zone);
  A("leaving", M.m_Leaving);
}

template <typename Archive> static void describe(Archive &A, AddMember &M) {
  A("member", M.m_Member);
}

template <typename Archive> static void describe(Archive &A, RemoveMember &M) {
  A("node", M.m_Node);
  A("incarnation", M.m_Incarnation);
}

template <typename Archive> static void describe(Archive &A, CallAnswer &C) {
  A("status", C.m_HttpStatus);
  A("type", C.m_ContentType);
  A("body", C.m_Body);
}

template <typename Archive> static void describe(Archive &A, JournalBegin &B) {
  A("request", B.m_Request);
  A("account", B.m_Account);
  A("key", B.m_Key);
  A("hash", B.m_BodyHash);
  A("issued", B.m_IssuedAt);
  A("node", B.m_Node);
  A("incarnation", B.m_Incarnation);
  A("proposed", B.m_ProposedAt);
}

template <typename Archive> static void describe(Archive &A, JournalEnd &E) {
  A("request", E.m_Request);
  A("account", E.m_Account);
  A("key", E.m_Key);
  A("node", E.m_Node);
  A("incarnation", E.m_Incarnation);
  A("outcome", E.m_Outcome);
  A("answer", E.m_Answer);
}

template <typename Archive> static void describe(Archive &A, EngineOrder &O) {
  A("id", O.m_OrderId);
  A("target", O.m_Target);
  A("action", O.m_Action);
  A("argument", O.m_Argument);
  A("operator", O.m_Operator);
  A("token", O.m_FencingToken);
  A("started", O.m_StartedIn);
  A("outcome", O.m_Outcome);
  A("detail", O.m_Detail);
  A("ended", O.m_EndedAt);
}

template <typename Archive> static void describe(Archive &A, BeginOrder &B) {
  A("order", B.m_Order);
}

template <typename Archive> static void describe(Archive &A, EndOrder &E) {
  A("id", E.m_OrderId);
  A("outcome", E.m_Outcome);
  A("detail", E.m_Detail);
}

template <typename Archive> static void describe(Archive &A, StartOrder &S) {
  A("id", S.m_OrderId);
  A("term", S.m_Term);
}

template <typename Archive> static void describe(Archive &A, AdvanceClock &C) {
  A("now", C.m_Now);
  A.optional("level", C.m_Level);
}

template <typename Archive>
static void describe(Archive &A, ReplaceManifest &R) {
  A("version", R.m_Version);
  A("base", R.m_BaseVersion);
  A("delta", R.m_Delta);
  A.optional("at", R.m_At);
}

template <typename Archive> static void describe(Archive &A, SetZoneOut &S) {
  A("zone", S.m_Zone);
  A("out", S.m_Out);
}

template <typename Archive>
static void describe(Archive &A, QuarantinePart &Q) {
  A("part", Q.m_Part);
  A("at", Q.m_At);
  A("targets", Q.m_Targets);
  A("tied", Q.m_Tied);
}

template <typename Archive> static void describe(Archive &A, ReleasePart &R) {
  A("part", R.m_Part);
}

template <typename Archive> static void describe(Archive &A, BeginTrial &B) {
  A("part", B.m_Part);
  A("failed", B.m_Failed);
}

template <typename Archive>
static void describe(Archive &A, QuarantinedPart &Q) {
  A("since", Q.m_Since);
  A("targets", Q.m_Targets);
  A("trial_at", Q.m_TrialAt);
  A("failed_trials", Q.m_FailedTrials);
  A("on_trial", Q.m_OnTrial);
}

template <typename Archive>
static void describe(Archive &A, PromptQuarantine &Q) {
  A("version", Q.m_Version);
  A("parts", Q.m_Parts);
}

template <typename Archive>
static void describe(Archive &A, SetSoftwareVersions &S) {
  A("service", S.m_Service);
  A("listed", S.m_Listed);
  A("at", S.m_At);
}

template <typename Archive>
static void describe(Archive &A, ListedVersions &L) {
  A("listed", L.m_Listed);
  A("since", L.m_Since);
}

template <typename Archive> static void describe(Archive &A, StartRollout &S) {
  A("service", S.m_Service);
  A("version", S.m_Version);
  A("duration", S.m_Duration);
  A("at", S.m_At);
}

template <typename Archive>
static void describe(Archive &A, AdvanceRollout &R) {
  A("service", R.m_Service);
  A("number", R.m_Number);
  A("stage", R.m_Stage);
  A("in_force", R.m_InForce);
  A("reason", R.m_Reason);
  A("at", R.m_At);
}

template <typename Archive> static void describe(Archive &A, Rollout &R) {
  A("number", R.m_Number);
  A("version", R.m_Version);
  A("former", R.m_Former);
  A("duration", R.m_Duration);
  A("started", R.m_StartedAt);
  A("stage_at", R.m_StageAt);
  A("stage", R.m_Stage);
  A("reason", R.m_Reason);
  A("in_force", R.m_InForce);
  A("changed", R.m_Changed);
}

template <typename Archive>
static void describe(Archive &A, StoredManifest &M) {
  A("version", M.m_Version);
  A("text", M.m_Text);
}

template <typename Archive>
static void describe(Archive &A, SectionRevision &R) {
  A("version", R.m_Version);
  A("document", R.m_Document);
  A("operator", R.m_Operator);
  A("at", R.m_At);
  A("json", R.m_Json);
}

template <typename Archive> static void describe(Archive &A, Section &S) {
  A("version", S.m_Version);
  A("changed", S.m_Changed);
  A("json", S.m_Json);
  A("history", S.m_History);
}

template <typename Archive> static void describe(Archive &A, EditAnswer &E) {
  A("status", E.m_Status);
  A("edit", E.m_Edit);
  A("section", E.m_Section);
  A("version", E.m_Version);
  A("document", E.m_Document);
  A("current", E.m_CurrentJson);
}

template <typename Archive>
static void describe(Archive &A, KeptEditAnswer &K) {
  A("answer", K.m_Answer);
  A("fingerprint", K.m_Fingerprint);
  A("at", K.m_At);
}

template <typename Archive> static void describe(Archive &A, Document &D) {
  A("version", D.m_Version);
  A("sections", D.m_Sections);
  A("answers", D.m_Answers);
}

template <typename Archive> static void describe(Archive &A, JournalEntry &E) {
  A("state", E.m_State);
  A("request", E.m_Request);
  A("hash", E.m_BodyHash);
  A("issued", E.m_IssuedAt);
  A("node", E.m_Node);
  A("incarnation", E.m_Incarnation);
  A("answer", E.m_Answer);
}

template <typename Archive> static void describe(Archive &A, Journal &J) {
  A("entries", J.m_Entries);
}

template <typename Archive>
static void describe(Archive &A, JoinedIncarnations &J) {
  A("joined", J.m_Joined);
  A("changed", J.m_ChangedAt);
  A("departed", J.m_DepartedAt);
}

template <typename Archive> static void describe(Archive &A, StateMachine &S) {
  A("applied", S.m_Applied);
  A("document", S.m_Document);
  A("epoch", S.m_Epoch);
  A("members", S.m_Members);
  A("incarnations", S.m_Joined);
  A("journal", S.m_Journal);
  A("orders", S.m_Orders);
  A("clock", S.m_Clock);
  A("manifest", S.m_Manifest);
  A("zones_out", S.m_ZonesOut);
  // Snapshots of earlier versions have no such fields.
  A.optional("quarantine", S.m_Quarantine);
  A.optional("software", S.m_Software);
  A.whenFilled("rollouts", S.m_Rollouts);
  A.optional("level", S.m_Level);
}

namespace {

/// Reads the alternative with this index, or sets the fault.
template <std::size_t I>
void readAlternative(StateReader &Reader, std::size_t Kind, Command &Out) {
  if constexpr (I < std::variant_size_v<Command>) {
    if (Kind != I) {
      readAlternative<I + 1>(Reader, Kind, Out);
      return;
    }
    std::variant_alternative_t<I, Command> Typed;
    Reader("command", Typed);
    Out = std::move(Typed);
  } else {
    Reader.m_Fault = "kind " + std::to_string(Kind);
  }
}

/// Collects the names of a struct's fields.
struct FieldNames {
  std::set<std::string> m_Names;

  template <typename T> void operator()(const char *Name, T &) {
    m_Names.insert(Name);
  }
  template <typename T> void optional(const char *Name, T &) {
    m_Names.insert(Name);
  }
  template <typename T> void whenFilled(const char *Name, T &) {
    m_Names.insert(Name);
  }
};

void keepUnknownFields(const nlohmann::json &Fields, StateMachine &State) {
  FieldNames Known;
  describe(Known, State);
  for (const auto &Field : Fields.items())
    if (Known.m_Names.count(Field.key()) == 0)
      State.m_UnknownFields[Field.key()] = encodeCbor(Field.value());
}

} // namespace

std::string encodeCommand(const Command &Input) {
  std::string Data;
  StateWriter Writer{Data};
  Writer.head(5, 2);
  Writer("kind", static_cast<std::uint32_t>(Input.index()));
  std::visit([&](const auto &Typed) { Writer("command", Typed); }, Input);
  return Data;
}

Result<Command> decodeCommand(const std::string &Data) {
  Result<nlohmann::json> Parsed = parseCbor(Data);
  if (!Parsed)
    return makeError(ErrorCode::Malformed, "command: " + Parsed.error().m_Text);
  std::string Fault;
  StateReader Reader{Parsed.value(), Fault};
  std::uint32_t Kind = 0;
  Reader("kind", Kind);
  Command Out;
  if (Fault.empty())
    readAlternative<0>(Reader, Kind, Out);
  if (!Fault.empty())
    return makeError(ErrorCode::Unsupported,
                     "command: missing or wrong " + Fault);
  return Out;
}

std::string encodeState(const StateMachine &State) {
  std::string Data;
  StateWriter Writer{Data};
  Writer.head(5, 2);
  Writer("format", StateFormat);
  constexpr std::string_view Name = "state";
  Writer.text(Name.data(), Name.size());
  StateMachine &Fields = const_cast<StateMachine &>(State);
  FieldCounter Counter;
  describe(Counter, Fields);
  Writer.head(5, Counter.m_Count + State.m_UnknownFields.size());
  describe(Writer, Fields);
  for (const std::pair<const std::string, std::string> &Field :
       State.m_UnknownFields) {
    Writer.write(Field.first);
    Data += Field.second;
  }
  return Data;
}

Result<StateMachine> decodeState(const std::string &Data) {
  Result<nlohmann::json> Parsed = parseCbor(Data);
  if (!Parsed)
    return makeError(ErrorCode::Malformed, "state: " + Parsed.error().m_Text);
  std::string Fault;
  StateReader Reader{Parsed.value(), Fault};
  std::uint32_t Format = 0;
  Reader("format", Format);
  if (Fault.empty() && Format > StateFormat)
    return makeError(ErrorCode::Unsupported,
                     "state: format " + std::to_string(Format));
  if (Fault.empty() && Format != StateFormat)
    Fault = "format " + std::to_string(Format);
  StateMachine State;
  Reader("state", State);
  if (!Fault.empty())
    return makeError(ErrorCode::Malformed, "state: missing or wrong " + Fault);
  keepUnknownFields(Parsed.value()["state"], State);
  return State;
}

} // namespace vanillaferry
