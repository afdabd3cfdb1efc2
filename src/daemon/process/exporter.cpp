#include "process/exporter.hpp"

#include "connection/engine_adapter.hpp"
#include "process/clock.hpp"
#include "process/router.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

constexpr Millis CopyTimeout{3000};
constexpr std::size_t MaxAnswer = 4096;
constexpr int HttpOk = 200;
/// The source engine does not hold the chat.
constexpr int HttpNotFound = 404;

/// Where a chat is copied to: the target in service that ranks first now.
struct Destination {
  TargetSettings m_Target;
  NodeId m_Owner;
};

std::optional<Destination> destinationOf(const Router &R, const PoolId &Pool,
                                         std::uint64_t Chat) {
  auto Routed = R.m_Pools.find(Pool);
  if (Routed == R.m_Pools.end())
    return std::nullopt;
  const RoutedPool &Now = Routed->second;
  std::vector<std::uint32_t> First = rankTargets(Now.m_View, Chat, 1);
  if (First.empty() || Now.m_Owners[First.front()].empty() ||
      !Now.m_View.m_Targets[First.front()].m_Settings.m_ExportsKv)
    return std::nullopt;
  return Destination{Now.m_View.m_Targets[First.front()].m_Settings,
                     Now.m_Owners[First.front()]};
}

void logEnded(Router &R, const TargetExport &Ended) {
  logEvent(
      Event::PrefixesExported,
      {{"target", Ended.m_Source.m_Id.m_Value},
       {"copied", Ended.m_Export.m_Copied},
       {"failed", Ended.m_Export.m_Failed},
       {"left_out", static_cast<std::uint64_t>(Ended.m_Export.m_Chats.size() -
                                               Ended.m_Export.m_Next)}});
  addCounter(R.m_Metrics, "vanillaferry_kv_exports_total");
}

/// Ends one copy. A copy that failed changes nothing: the chat's next turn
/// computes its prefix anew.
void endCopy(Router &R, const TargetId &Source, std::uint64_t Chat,
             const Destination &To, const std::optional<Tokens> &Held,
             bool Absent) {
  auto Found = R.m_Exports.find(Source);
  if (Found == R.m_Exports.end() || Found->second.m_Copies.erase(Chat) == 0)
    return;
  TargetExport &Export = Found->second;
  if (Absent) {
    noteAbsent(Export.m_Export);
    addCounter(R.m_Metrics, "vanillaferry_kv_copies_absent_total");
    return;
  }
  noteCopied(Export.m_Export, Held.has_value());
  addCounter(R.m_Metrics, Held ? "vanillaferry_kv_copies_total"
                               : "vanillaferry_kv_copy_failures_total");
  if (Held)
    sendToNode(R, To.m_Owner,
               PrefixCopied{Export.m_Pool, To.m_Target.m_Id, Chat, *Held});
}

CallHandlers copyHandlers(Router &R, const TargetId &Source, std::uint64_t Chat,
                          const Destination &To) {
  std::weak_ptr<bool> Alive = R.m_Alive;
  CallHandlers Handlers;
  // The importing engine must still be in service when the request is sent.
  Handlers.m_MayDispatch = [&R, Alive, Source, To] {
    if (Alive.expired() || !holdsLease(R))
      return false;
    auto Found = R.m_Exports.find(Source);
    if (Found == R.m_Exports.end())
      return false;
    const PoolView &View = R.m_Pools[Found->second.m_Pool].m_View;
    return findTarget(View, To.m_Target.m_Id) < View.m_Targets.size();
  };
  auto CopyOf = [&R, Alive, Source, Chat]() -> PrefixCopy * {
    if (Alive.expired())
      return nullptr;
    auto Found = R.m_Exports.find(Source);
    if (Found == R.m_Exports.end())
      return nullptr;
    auto Copy = Found->second.m_Copies.find(Chat);
    return Copy == Found->second.m_Copies.end() ? nullptr : &Copy->second;
  };
  Handlers.m_OnHead = [CopyOf](const TargetHead &Head) {
    if (PrefixCopy *Copy = CopyOf())
      Copy->m_Status = Head.m_Status;
  };
  Handlers.m_OnData = [CopyOf](const char *Data, std::size_t Size) {
    PrefixCopy *Copy = CopyOf();
    if (Copy && Copy->m_Answer.size() + Size <= MaxAnswer)
      Copy->m_Answer.append(Data, Size);
  };
  Handlers.m_OnEnd = [&R, CopyOf, Source, Chat, To](CallEnd How,
                                                    const std::string &) {
    PrefixCopy *Copy = CopyOf();
    if (!Copy)
      return;
    std::optional<Tokens> Held;
    if (How == CallEnd::Complete && Copy->m_Status == HttpOk)
      Held = parseImported(Copy->m_Answer);
    bool Absent = How == CallEnd::Complete && Copy->m_Status == HttpNotFound;
    endCopy(R, Source, Chat, To, Held, Absent);
  };
  return Handlers;
}

void startCopy(Router &R, TargetExport &Export, std::uint64_t Chat,
               Millis Now) {
  std::optional<Destination> To = destinationOf(R, Export.m_Pool, Chat);
  if (!To) {
    noteCopied(Export.m_Export, false);
    return;
  }
  Export.m_Copies[Chat].m_Until = Now + CopyTimeout;
  TargetId Source = Export.m_Source.m_Id;
  std::shared_ptr<TargetCall> Call = TargetCall::start(
      nullptr, R.m_Watcher,
      engineImport(To->m_Target.m_Url, Export.m_Source.m_Url, Chat),
      copyHandlers(R, Source, Chat, *To));
  auto Copy = Export.m_Copies.find(Chat);
  if (Copy != Export.m_Copies.end())
    Copy->second.m_Call = std::move(Call);
}

void cancelOverdueCopies(Router &R, TargetExport &Export, Millis Now) {
  for (auto It = Export.m_Copies.begin(); It != Export.m_Copies.end();) {
    if (Now < It->second.m_Until) {
      ++It;
      continue;
    }
    if (It->second.m_Call)
      It->second.m_Call->cancel();
    It = Export.m_Copies.erase(It);
    noteCopied(Export.m_Export, false);
    addCounter(R.m_Metrics, "vanillaferry_kv_copy_failures_total");
  }
}

void cancelCopies(TargetExport &Export) {
  for (std::pair<const std::uint64_t, PrefixCopy> &Row : Export.m_Copies)
    if (Row.second.m_Call)
      Row.second.m_Call->cancel();
}

const TargetSettings *settingsOf(const OwnerPool &Pool,
                                 const TargetId &Target) {
  for (const TargetSettings &One : Pool.m_Settings.m_Targets)
    if (One.m_Id == Target)
      return &One;
  return nullptr;
}

void beginTargetExport(Router &R, const OwnerPool &Pool,
                       const OwnedTarget &Target, Millis Now) {
  const TargetSettings *Settings = settingsOf(Pool, Target.m_State.m_Id);
  if (!Settings || !Settings->m_ExportsKv || !holdsLease(R))
    return;
  ExportOptions Options;
  TargetExport Export;
  Export.m_Pool = Pool.m_Settings.m_Id;
  Export.m_Source = *Settings;
  Export.m_Export = beginExport(
      recentChats(Target.m_Prefixes, Options.m_MaxChats), Options, Now);
  logEvent(
      Event::PrefixExportBegun,
      {{"target", Settings->m_Id.m_Value},
       {"chats", static_cast<std::uint64_t>(Export.m_Export.m_Chats.size())}});
  R.m_Exports.emplace(Settings->m_Id, std::move(Export));
}

/// Starts the export of owned engines that went out of service and ends that of
/// engines that returned.
void checkDepartures(Router &R, Millis Now) {
  for (const std::pair<const PoolId, OwnerPool> &Row : R.m_OwnerPools) {
    if (Row.second.m_Settings.m_Kind != ServiceKind::Engine)
      continue;
    for (const std::pair<const TargetId, OwnedTarget> &Target :
         Row.second.m_Targets) {
      if (Target.second.m_InService) {
        R.m_SeenInService.insert(Target.first);
        auto Export = R.m_Exports.find(Target.first);
        if (Export == R.m_Exports.end())
          continue;
        cancelCopies(Export->second);
        logEnded(R, Export->second);
        R.m_Exports.erase(Export);
      } else if (R.m_SeenInService.erase(Target.first) != 0) {
        beginTargetExport(R, Row.second, Target.second, Now);
      }
    }
  }
}

} // namespace

void checkExports(Router &R) {
  Millis Now = monotonicNow();
  checkDepartures(R, Now);
  std::vector<TargetId> Ended;
  for (std::pair<const TargetId, TargetExport> &Row : R.m_Exports) {
    TargetExport &Export = Row.second;
    cancelOverdueCopies(R, Export, Now);
    if (holdsLease(R))
      if (std::optional<std::uint64_t> Chat = nextCopy(Export.m_Export, Now))
        startCopy(R, Export, *Chat, Now);
    if (exportEnded(Export.m_Export, Now))
      Ended.push_back(Row.first);
  }
  for (const TargetId &Target : Ended) {
    logEnded(R, R.m_Exports.at(Target));
    R.m_Exports.erase(Target);
  }
}

void handlePrefixCopied(Router &R, const PrefixCopied &Message) {
  auto Pool = R.m_OwnerPools.find(Message.m_Pool);
  if (Pool == R.m_OwnerPools.end())
    return;
  auto Target = Pool->second.m_Targets.find(Message.m_Target);
  if (Target == Pool->second.m_Targets.end())
    return;
  recordChat(Target->second.m_Prefixes, Message.m_Chat, Message.m_Tokens);
  // Without this redirect the chat's home would try its own targets first.
  notePlaced(Pool->second.m_Redirects, Message.m_Chat, Message.m_Target,
             Message.m_Target);
}

} // namespace vanillaferry
