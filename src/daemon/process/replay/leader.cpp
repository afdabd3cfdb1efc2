#include "process/replay/leader.hpp"

#include <nlohmann/json.hpp>

namespace vanillaferry {

namespace {

using Json = nlohmann::json;

void apply(ReplayLeader &Leader, const Command &Input) {
  LogIndex Next(Leader.m_State.m_Applied.m_Value + 1);
  applyCommand(Leader.m_State, Next, Input);
  Leader.m_State.m_Applied = Next;
}

void edit(ReplayLeader &Leader, const std::string &Section, const Json &Value) {
  EditSection Edit;
  Edit.m_Section = SectionName(Section);
  Edit.m_Edit =
      EditId(Section + "-" + std::to_string(Leader.m_State.m_Applied.m_Value));
  Edit.m_Expected =
      Leader.m_State.m_Document.m_Sections[Edit.m_Section].m_Version;
  Edit.m_Json = Value.dump();
  if (Edit.m_Expected == SectionVersion())
    Leader.m_State.m_Document.m_Sections.erase(Edit.m_Section);
  apply(Leader, Edit);
}

} // namespace

ReplayLeader makeLeader(const Trace &Recorded) {
  ReplayLeader Leader;
  Json Accounts = Json::array();
  for (const TraceAccount &Account : Recorded.m_Accounts)
    Accounts.push_back({{"id", Account.m_Id},
                        {"max_concurrent", Account.m_MaxConcurrent},
                        {"requests_per_second", Account.m_RequestsPerSecond},
                        {"weight", Account.m_Weight},
                        {"api_key_sha256", Json::array()},
                        {"enabled", true}});
  edit(Leader, "accounts", {{"accounts", Accounts}});
  // The leader has led for longer than a lease when the trace begins.
  Leader.m_Table =
      makeLeaseTable(LeaseOptions(), Leader.m_State, Millis(-10000));
  return Leader;
}

void addMember(ReplayLeader &Leader, const NodeId &Node) {
  Member Added;
  Added.m_Node = Node;
  Added.m_Incarnation = Incarnation(1);
  apply(Leader, AddMember{Added});
  Leader.m_Table.m_Joining[Node] = Millis();
}

std::optional<Grant> answerRenewal(ReplayLeader &Leader, const Renew &Request,
                                   Millis Now) {
  RenewDecision Decision =
      renewLease(Leader.m_Table, Leader.m_State, Request, Now);
  if (Decision.m_Propose.empty())
    return Decision.m_Grant;
  for (const Command &Proposed : Decision.m_Propose)
    apply(Leader, Proposed);
  return renewLease(Leader.m_Table, Leader.m_State, Request, Now).m_Grant;
}

void endLeases(ReplayLeader &Leader, Millis Now) {
  for (const Command &Ended :
       expiredLeases(Leader.m_Table, Leader.m_State, Now))
    apply(Leader, Ended);
}

DocumentVersion editZones(ReplayLeader &Leader,
                          const std::vector<ZoneSettings> &Zones) {
  Json Listed = Json::array();
  for (const ZoneSettings &Zone : Zones)
    Listed.push_back(
        {{"id", Zone.m_Id.m_Value}, {"in_service", Zone.m_InService}});
  edit(Leader, "zones", {{"zones", Listed}});
  return Leader.m_State.m_Document.m_Version;
}

} // namespace vanillaferry
