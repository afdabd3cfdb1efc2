#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"
#include "vanillaferry/request/dispatch_probe.hpp"

#include <algorithm>

namespace vanillaferry {

namespace {

/// Covers what wakes no waiting request, such as load figures that become too
/// old to count.
constexpr Millis CheckInterval{100};
/// Requests that wait after a longer time without any are logged.
constexpr Millis QuietTime{5000};

void showWaiting(Gateway &G, const PoolId &Service, const ServiceRoom &Room) {
  setGauge(G.m_Metrics,
           "vanillaferry_room_waiting{service=\"" + Service.m_Value + "\"}",
           static_cast<double>(Room.m_Room.m_Entries.size()));
}

void offerRoomOf(Gateway &G, const PoolId &Service, ServiceRoom &Room) {
  Millis Now = monotonicNow();
  addCounter(G.m_Metrics, "vanillaferry_room_wakes_total");
  offerRoom(Room.m_Room, Now, [&G, &Service, &Room, Now](std::uint64_t Id) {
    std::shared_ptr<Exchange> Request = Room.m_Waiting[Id].lock();
    if (!Request) {
      removeEntry(Room.m_Room, Id, Now);
      Room.m_Waiting.erase(Id);
      return RoomOffer::Left;
    }
    bool MayProbe = Now >= Room.m_NextProbe;
    RoomOffer Outcome = Request->useRoom(
        MayProbe ? staleAfter(Room.m_Room.m_AnswerMs) : std::nullopt);
    const GatewayPool *Pool = findPool(G, Service);
    std::optional<Millis> Interval;
    if (Outcome == RoomOffer::Left && Pool)
      Interval = probeInterval(Pool->m_Dispatch, Room.m_Room.m_AnswerMs, Now);
    if (Interval)
      Room.m_NextProbe = Now + *Interval;
    return Outcome;
  });
  showWaiting(G, Service, Room);
}

void endHolds(ServiceRoom &Room) {
  for (std::uint64_t Id : expiredEntries(Room.m_Room, monotonicNow()))
    if (std::shared_ptr<Exchange> Request = Room.m_Waiting[Id].lock())
      Request->endHold();
}

Millis nextCheck(const Gateway &G, const PoolId &Service,
                 const ServiceRoom &Room, Millis Now) {
  Millis Next = Now + CheckInterval;
  Next = std::min(Next, firstHoldEnd(Room.m_Room).value_or(Next));
  std::map<PoolId, GatewayPool>::const_iterator Pool = G.m_Pools.find(Service);
  if (Pool == G.m_Pools.end())
    return Next;
  const DispatchPool &Targets = Pool->second.m_Dispatch;
  Next = std::min(Next, nextRoomAt(Targets, Now).value_or(Next));
  std::optional<Millis> Probe =
      nextProbeAt(Targets, Room.m_Room.m_AnswerMs, Room.m_NextProbe, Now);
  // A probe that was possible already has found no use.
  if (Probe && *Probe > Now)
    Next = std::min(Next, *Probe);
  return Next;
}

void checkRooms(Gateway &G);

/// Sets the timer for what wakes no waiting request by itself.
void startCheck(Gateway &G) {
  Millis Now = monotonicNow();
  std::optional<Millis> Next;
  for (const std::pair<const PoolId, ServiceRoom> &Row :
       G.m_Rooms.m_ByService) {
    if (!hasEntries(Row.second.m_Room))
      continue;
    Millis Own = nextCheck(G, Row.first, Row.second, Now);
    Next = std::min(Next.value_or(Own), Own);
  }
  if (!Next)
    return G.m_Rooms.m_Check.stop();
  Gateway *Raw = &G;
  G.m_Rooms.m_Check.start(std::max((*Next - Now).m_Value, std::int64_t(1)),
                          [Raw] {
                            checkRooms(*Raw);
                            return false;
                          });
}

void handleWoken(Gateway &G) {
  std::set<PoolId> Woken;
  Woken.swap(G.m_Rooms.m_Woken);
  for (const PoolId &Service : Woken)
    offerRoomOf(G, Service, roomOf(G, Service));
  startCheck(G);
}

void checkRooms(Gateway &G) {
  for (std::pair<const PoolId, ServiceRoom> &Row : G.m_Rooms.m_ByService) {
    if (!hasEntries(Row.second.m_Room)) {
      showWaiting(G, Row.first, Row.second);
      continue;
    }
    endHolds(Row.second);
    G.m_Rooms.m_Woken.insert(Row.first);
  }
  handleWoken(G);
}

} // namespace

ServiceRoom &roomOf(Gateway &G, const PoolId &Service) {
  std::map<PoolId, ServiceRoom>::iterator Found =
      G.m_Rooms.m_ByService.find(Service);
  if (Found != G.m_Rooms.m_ByService.end())
    return Found->second;
  ServiceRoom &Room = G.m_Rooms.m_ByService[Service];
  Room.m_Room.m_Limits = G.m_Settings.m_RoomLimits;
  return Room;
}

RoomVerdict enterRoom(Gateway &G, const PoolId &Service, RoomEntry Entry,
                      const std::shared_ptr<Exchange> &Request) {
  Millis Now = monotonicNow();
  ServiceRoom &Room = roomOf(G, Service);
  if (Now > Room.m_LastUsed + QuietTime)
    logEvent(Event::RequestsWait, {{"service", Service.m_Value},
                                   {"request", Request->requestId().m_Value}});
  Room.m_LastUsed = Now;
  std::uint64_t Id = Entry.m_Id;
  RoomAnswer Answer = addEntry(Room.m_Room, std::move(Entry), Now);
  if (Answer.m_Verdict == RoomVerdict::Waits)
    Room.m_Waiting[Id] = Request;
  for (std::uint64_t Loser : Answer.m_TurnedAway)
    if (std::shared_ptr<Exchange> Other = Room.m_Waiting[Loser].lock())
      Other->turnAway(Request->requestId());
  wakeRoom(G, Service);
  return Answer.m_Verdict;
}

void wakeRoom(Gateway &G, const PoolId &Service) {
  std::map<PoolId, ServiceRoom>::const_iterator Found =
      G.m_Rooms.m_ByService.find(Service);
  if (Found == G.m_Rooms.m_ByService.end() || !hasEntries(Found->second.m_Room))
    return;
  bool Pending = !G.m_Rooms.m_Woken.empty();
  G.m_Rooms.m_Woken.insert(Service);
  if (Pending)
    return;
  Gateway *Raw = &G;
  G.m_Rooms.m_Wake.start(0, [Raw] {
    handleWoken(*Raw);
    return false;
  });
}

void wakeAllRooms(Gateway &G) {
  for (const std::pair<const PoolId, ServiceRoom> &Row : G.m_Rooms.m_ByService)
    wakeRoom(G, Row.first);
}

} // namespace vanillaferry
