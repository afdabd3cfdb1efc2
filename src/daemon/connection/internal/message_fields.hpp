#pragma once

#include "vanillaferry/connection/message.hpp"

#include <type_traits>

namespace vanillaferry::internal {

/// Marks a string of arbitrary bytes, written as a CBOR byte string.
template <typename Text> struct RawBytes { Text &m_Text; };
template <typename Text> RawBytes<Text> rawBytes(Text &Value) {
  return RawBytes<Text>{Value};
}

/// Name of a message's kind, and its number on the wire. Numbers are never
/// reused.
template <typename T> struct KindOf;
#define KIND(Type, Number)                                                     \
  template <> struct KindOf<Type> {                                            \
    static constexpr int Value = Number;                                       \
    static constexpr const char *Name = #Type;                                 \
  };
KIND(Hello, 1)
KIND(Heartbeat, 2)
KIND(Renew, 3)
KIND(Grant, 4)
KIND(RedirectLeader, 5)
KIND(Replicate, 6)
KIND(JournalBegin, 7)
KIND(JournalEnd, 8)
KIND(JournalAnswer, 9)
KIND(Forward, 10)
KIND(ForwardAccept, 11)
KIND(ForwardDecline, 12)
KIND(ForwardChunk, 13)
KIND(ForwardEnd, 14)
KIND(ForwardCancel, 15)
KIND(ForwardCredit, 16)
KIND(PlacementUpdate, 17)
KIND(IdentityClaim, 18)
KIND(IdentityVerdict, 19)
KIND(LoadUpdate, 20)
KIND(LoadTotals, 21)
KIND(RenewRequest, 22)
KIND(PrefixCopied, 23)
KIND(JoinKeepers, 24)
KIND(TargetListUpdate, 25)
KIND(TargetListRequest, 26)
KIND(ControlUpdate, 27)
KIND(PromptReport, 28)
KIND(PromptWatch, 29)
KIND(StreamReport, 30)
KIND(StreamQuery, 31)
KIND(StreamAnswer, 32)
KIND(RolloutReport, 33)
#undef KIND

/// Largest valid number of an enumeration on the wire.
constexpr unsigned maxNumber(NodeRole) { return unsigned(NodeRole::Keeper); }
constexpr unsigned maxNumber(CallOutcome) {
  return unsigned(CallOutcome::Unknown);
}
constexpr unsigned maxNumber(JournalStatus) {
  return unsigned(JournalStatus::Unavailable);
}
constexpr unsigned maxNumber(Priority) { return unsigned(Priority::Batch); }
constexpr unsigned maxNumber(StreamEnd) {
  return unsigned(StreamEnd::Cancelled);
}
constexpr unsigned maxNumber(RolloutStage) {
  return unsigned(RolloutStage::RolledBack);
}
constexpr unsigned maxNumber(RetryReason) {
  return unsigned(RetryReason::RelayFailed);
}

// One function per struct names its fields with their keys on the wire; the
// writer and the reader both use it. "k" is the kind and is never a field.
// V is FieldWriter or FieldReader, M the struct, const for the writer.
template <typename M, typename T>
using IfMessage = std::enable_if_t<std::is_same_v<std::remove_const_t<M>, T>>;

template <typename V, typename M, IfMessage<M, Hello> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("n", Data.m_Node);
  Visit("i", Data.m_Incarnation);
  Visit("p", Data.m_Protocol);
  Visit("r", Data.m_Role);
  Visit("h", Data.m_HttpUrl);
  Visit("l", Data.m_Level);
  Visit("a", Data.m_RunningFor);
}

template <typename V, typename M, IfMessage<M, Heartbeat> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("t", Data.m_SentAt);
  Visit("p", Data.m_Probe);
}

template <typename V, typename M, IfMessage<M, Member> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("n", Data.m_Node);
  Visit("i", Data.m_Incarnation);
  Visit("u", Data.m_PeerUrl);
  Visit("z", Data.m_Zone);
  Visit("l", Data.m_Leaving);
}

template <typename V, typename M, IfMessage<M, PoolLoad> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("p", Data.m_Pool);
  Visit("r", Data.m_Running);
}

template <typename V, typename M, IfMessage<M, TargetLoad> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("t", Data.m_Target);
  Visit("r", Data.m_Running);
}

template <typename V, typename M, IfMessage<M, AccountDemand> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("a", Data.m_Account);
  Visit("r", Data.m_Running);
  Visit("w", Data.m_Waiting);
  Visit("s", Data.m_Share);
}

template <typename V, typename M, IfMessage<M, AccountShare> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("a", Data.m_Account);
  Visit("l", Data.m_Limit);
}

template <typename V, typename M, IfMessage<M, PoolTotal> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("p", Data.m_Pool);
  Visit("r", Data.m_Running);
  Visit("a", Data.m_Age);
}

template <typename V, typename M, IfMessage<M, SectionContent> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("n", Data.m_Name);
  Visit("v", Data.m_Version);
  Visit("j", Data.m_Json);
}

template <typename V, typename M, IfMessage<M, VmStateReport> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("v", Data.m_Vm);
  Visit("r", Data.m_Returned);
  Visit("a", Data.m_Age);
}

template <typename V, typename M, IfMessage<M, LeavingVm> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("v", Data.m_Vm);
}

template <typename V, typename M, IfMessage<M, ZoneOut> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("z", Data.m_Zone);
}

template <typename V, typename M, IfMessage<M, ServiceOutOfReach> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("s", Data.m_Service);
}

template <typename V, typename M, IfMessage<M, RelayOffer> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("s", Data.m_Service);
  Visit("a", Data.m_Address);
}

template <typename V, typename M, IfMessage<M, Renew> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("n", Data.m_Node);
  Visit("i", Data.m_Incarnation);
  Visit("s", Data.m_Sequence);
  Visit("u", Data.m_PeerUrl);
  Visit("z", Data.m_Zone);
  Visit("e", Data.m_AckedEpoch);
  Visit("v", Data.m_AckedVersion);
  Visit("g", Data.m_AckedGrant);
  Visit("l", Data.m_Leaving);
  Visit("p", Data.m_Pools);
  Visit("t", Data.m_Targets);
  Visit("a", Data.m_Accounts);
  Visit("m", Data.m_VmReport);
  Visit("h", Data.m_VmsHeld);
  Visit("w", Data.m_VmsStated);
  Visit("x", Data.m_Vms);
  Visit("f", Data.m_ManifestHeld);
  Visit("b", Data.m_TargetsHeld);
  Visit("o", Data.m_IdsOnly);
  Visit("c", rawBytes(Data.m_Loads));
  Visit("y", Data.m_KeeperSetHeld);
  Visit("q", Data.m_QuarantineHeld);
  Visit("ra", Data.m_RelayAddress);
  Visit("ro", Data.m_OutOfReach);
  Visit("pk", Data.m_TakesPacked);
  Visit("fl", Data.m_Level);
}

template <typename V, typename M, IfMessage<M, RefusedPart> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("p", Data.m_Part);
  Visit("t", Data.m_Trial);
}

template <typename V, typename M, IfMessage<M, KeeperUrl> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("u", Data.m_PeerUrl);
}

template <typename V, typename M, IfMessage<M, FormerVersion> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("v", Data.m_Version);
}

template <typename V, typename M, IfMessage<M, RolloutOrder> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("s", Data.m_Service);
  Visit("n", Data.m_Number);
  Visit("v", Data.m_Version);
  Visit("f", Data.m_Former);
  Visit("g", Data.m_Stage);
  Visit("a", Data.m_Age);
  Visit("d", Data.m_Duration);
  Visit("p", Data.m_SharePerMille);
  Visit("x", Data.m_Slack);
  Visit("h", Data.m_HoldStreams);
  Visit("o", Data.m_OthersPerMille);
  Visit("r", Data.m_Report);
}

template <typename V, typename M, IfMessage<M, VersionEvidence> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("a", Data.m_Answers);
  Visit("f", Data.m_Failures);
  Visit("t", Data.m_Times);
  Visit("r", Data.m_Running);
}

template <typename V, typename M, IfMessage<M, RouteEvidence> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("r", Data.m_Route);
  Visit("n", Data.m_New);
  Visit("o", Data.m_Others);
}

template <typename V, typename M, IfMessage<M, RolloutReport> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("n", Data.m_Node);
  Visit("i", Data.m_Incarnation);
  Visit("s", Data.m_Service);
  Visit("u", Data.m_Number);
  Visit("q", Data.m_Sequence);
  Visit("r", Data.m_Routes);
  Visit("w", Data.m_SentNew);
  Visit("o", Data.m_SentOthers);
  Visit("f", Data.m_FormerStreams);
  Visit("m", Data.m_FormerRunning);
  Visit("g", Data.m_Applied);
  Visit("x", Data.m_Stopped);
}

template <typename V, typename M, IfMessage<M, Grant> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("s", Data.m_Sequence);
  Visit("d", Data.m_Duration);
  Visit("e", Data.m_Epoch);
  Visit("f", Data.m_SafeEpoch);
  Visit("m", Data.m_Members);
  Visit("v", Data.m_Version);
  Visit("c", Data.m_Sections);
  Visit("p", Data.m_Totals);
  Visit("r", Data.m_Residual);
  Visit("a", Data.m_Shares);
  Visit("x", Data.m_Interrupted);
  Visit("w", Data.m_VmReport);
  Visit("h", Data.m_VmsListed);
  Visit("o", Data.m_VmsComplete);
  Visit("l", Data.m_LeavingVms);
  Visit("mv", Data.m_ManifestVersion);
  Visit("mb", Data.m_ManifestBase);
  Visit("md", rawBytes(Data.m_ManifestDelta));
  Visit("zo", Data.m_ZonesOut);
  Visit("td", Data.m_TargetsDigest);
  Visit("tb", Data.m_TargetsBase);
  Visit("tx", Data.m_TargetsDelta);
  Visit("ta", Data.m_TargetsAge);
  Visit("ib", Data.m_IdsBase);
  Visit("id", Data.m_IdsDelta);
  Visit("ls", Data.m_LoadsSummed);
  Visit("lo", rawBytes(Data.m_OthersLoads));
  Visit("ma", Data.m_ManifestAckedIn);
  Visit("n", Data.m_Node);
  Visit("ie", Data.m_IdsEpoch);
  Visit("ks", Data.m_KeeperSet);
  Visit("kl", Data.m_Keepers);
  Visit("qv", Data.m_QuarantineVersion);
  Visit("ql", Data.m_Quarantine);
  Visit("rl", Data.m_Relays);
  Visit("tp", rawBytes(Data.m_TargetsPacked));
  Visit("ip", rawBytes(Data.m_IdsPacked));
  Visit("ro", Data.m_Rollouts);
}

template <typename V, typename M, IfMessage<M, TargetListUpdate> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("d", Data.m_Digest);
  Visit("b", Data.m_Base);
  Visit("x", Data.m_Delta);
  Visit("a", Data.m_Age);
  Visit("z", rawBytes(Data.m_Packed));
}

template <typename V, typename M, IfMessage<M, ControlUpdate> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("v", Data.m_Version);
  Visit("zo", Data.m_ZonesOut);
  Visit("mv", Data.m_ManifestVersion);
  Visit("mb", Data.m_ManifestBase);
  Visit("md", rawBytes(Data.m_ManifestDelta));
  Visit("qv", Data.m_QuarantineVersion);
  Visit("ql", Data.m_Quarantine);
  Visit("ro", Data.m_Rollouts);
}

template <typename V, typename M, IfMessage<M, CutRequest> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("r", Data.m_Request);
  Visit("c", Data.m_Chat);
  Visit("p", Data.m_Parts);
}

template <typename V, typename M, IfMessage<M, TargetCrash> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("t", Data.m_Target);
  Visit("a", Data.m_Age);
  Visit("r", Data.m_Requests);
}

template <typename V, typename M, IfMessage<M, ServedPart> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("p", Data.m_Part);
  Visit("a", Data.m_Age);
}

template <typename V, typename M, IfMessage<M, PromptReport> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("n", Data.m_Node);
  Visit("c", Data.m_Crashes);
  Visit("s", Data.m_Served);
  Visit("h", Data.m_History);
}

template <typename V, typename M, IfMessage<M, SuspectPart> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("p", Data.m_Part);
}

template <typename V, typename M, IfMessage<M, PromptWatch> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("s", Data.m_Suspects);
}

template <typename V, typename M, IfMessage<M, BegunStream> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("r", Data.m_Request);
  Visit("v", Data.m_Software);
}

template <typename V, typename M, IfMessage<M, StreamReport> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("p", Data.m_Service);
  Visit("s", Data.m_Streams);
  Visit("a", Data.m_Again);
  Visit("l", Data.m_LongestStream);
}

template <typename V, typename M, IfMessage<M, StreamQuery> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("r", Data.m_Request);
  Visit("p", Data.m_Service);
  Visit("l", Data.m_LongestStream);
}

template <typename V, typename M, IfMessage<M, StreamAnswer> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("r", Data.m_Request);
  Visit("f", Data.m_Recorded);
  Visit("v", Data.m_Software);
  Visit("o", Data.m_Sole);
  Visit("t", Data.m_SoleFor);
  Visit("i", Data.m_Incomplete);
  Visit("p", Data.m_Service);
}

template <typename V, typename M, IfMessage<M, TargetListRequest> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("h", Data.m_Held);
}

template <typename V, typename M, IfMessage<M, RedirectLeader> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("l", Data.m_Leader);
  Visit("u", Data.m_PeerUrl);
  Visit("r", Data.m_IdentityRemoved);
}

template <typename V, typename M, IfMessage<M, LoadUpdate> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("n", Data.m_Node);
  Visit("i", Data.m_Incarnation);
  Visit("s", Data.m_Sequence);
  Visit("p", Data.m_Pools);
}

template <typename V, typename M, IfMessage<M, LoadTotals> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("s", Data.m_Sequence);
  Visit("t", Data.m_Totals);
}

template <typename V, typename M, IfMessage<M, RenewRequest> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("e", Data.m_Epoch);
  Visit("v", Data.m_Version);
}

template <typename V, typename M, IfMessage<M, IdentityClaim> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("n", Data.m_Keeper);
  Visit("d", Data.m_Disk);
  Visit("s", Data.m_InitialSet);
}

template <typename V, typename M, IfMessage<M, IdentityVerdict> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("a", Data.m_Accepted);
  Visit("d", Data.m_Disk);
  Visit("w", Data.m_Why);
}

template <typename V, typename M, IfMessage<M, Replicate> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("d", rawBytes(Data.m_Payload));
  Visit("m", Data.m_Message);
  Visit("p", Data.m_Part);
  Visit("c", Data.m_Parts);
}

template <typename V, typename M, IfMessage<M, JournalBegin> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("q", Data.m_Request);
  Visit("a", Data.m_Account);
  Visit("y", Data.m_Key);
  Visit("h", Data.m_BodyHash);
  Visit("t", Data.m_IssuedAt);
  Visit("n", Data.m_Node);
  Visit("i", Data.m_Incarnation);
  Visit("o", Data.m_ProposedAt);
}

template <typename V, typename M, IfMessage<M, CallAnswer> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("s", Data.m_HttpStatus);
  Visit("c", Data.m_ContentType);
  Visit("b", rawBytes(Data.m_Body));
}

template <typename V, typename M, IfMessage<M, JournalEnd> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("q", Data.m_Request);
  Visit("a", Data.m_Account);
  Visit("y", Data.m_Key);
  Visit("n", Data.m_Node);
  Visit("i", Data.m_Incarnation);
  Visit("o", Data.m_Outcome);
  Visit("r", Data.m_Answer);
}

template <typename V, typename M, IfMessage<M, JournalAnswer> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("q", Data.m_Request);
  Visit("s", Data.m_Status);
  Visit("r", Data.m_Answer);
}

template <typename V, typename M, IfMessage<M, Forward> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("q", Data.m_Request);
  Visit("n", Data.m_Attempt);
  Visit("a", Data.m_Account);
  Visit("c", Data.m_Chat);
  Visit("p", Data.m_Pool);
  Visit("t", Data.m_Target);
  Visit("i", Data.m_IgnoreRedirect);
  Visit("y", Data.m_AnyTarget);
  Visit("r", Data.m_Priority);
  Visit("l", Data.m_TimeLeft);
  Visit("o", Data.m_PromptTokens);
  Visit("s", Data.m_Stream);
  Visit("m", Data.m_Method);
  Visit("u", Data.m_Path);
  Visit("e", Data.m_ContentType);
  Visit("b", rawBytes(Data.m_Body));
  Visit("f", Data.m_ResumeOffset);
  Visit("x", rawBytes(Data.m_ResumeText));
  Visit("pp", Data.m_PromptParts);
  Visit("pc", Data.m_PromptChat);
}

template <typename V, typename M, IfMessage<M, ForwardAccept> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("q", Data.m_Request);
  Visit("n", Data.m_Attempt);
  Visit("t", Data.m_Target);
  Visit("w", Data.m_Why);
}

template <typename V, typename M, IfMessage<M, ForwardDecline> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("q", Data.m_Request);
  Visit("n", Data.m_Attempt);
  Visit("r", Data.m_Reason);
  Visit("h", Data.m_Holder);
}

template <typename V, typename M, IfMessage<M, ForwardChunk> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("q", Data.m_Request);
  Visit("n", Data.m_Attempt);
  Visit("o", Data.m_Offset);
  Visit("c", Data.m_Count);
  Visit("d", rawBytes(Data.m_Data));
}

template <typename V, typename M, IfMessage<M, ForwardEnd> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("q", Data.m_Request);
  Visit("n", Data.m_Attempt);
  Visit("e", Data.m_End);
  Visit("s", Data.m_HttpStatus);
  Visit("c", Data.m_ContentType);
  Visit("v", Data.m_Events);
  Visit("d", Data.m_Detail);
}

template <typename V, typename M, IfMessage<M, ForwardCancel> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("q", Data.m_Request);
  Visit("n", Data.m_Attempt);
}

template <typename V, typename M, IfMessage<M, ForwardCredit> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("q", Data.m_Request);
  Visit("n", Data.m_Attempt);
  Visit("b", Data.m_Bytes);
}

template <typename V, typename M, IfMessage<M, PlacementUpdate> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("c", Data.m_Chat);
  Visit("p", Data.m_Pool);
  Visit("h", Data.m_Home);
  Visit("t", Data.m_Target);
}

template <typename V, typename M, IfMessage<M, PrefixCopied> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("p", Data.m_Pool);
  Visit("t", Data.m_Target);
  Visit("c", Data.m_Chat);
  Visit("s", Data.m_Tokens);
}

template <typename V, typename M, IfMessage<M, JoinKeepers> * = nullptr>
void fields(V &Visit, M &Data) {
  Visit("n", Data.m_Keeper);
  Visit("u", Data.m_PeerUrl);
}

} // namespace vanillaferry::internal
