#include "process/replay/trace.hpp"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

namespace vanillaferry {

namespace {

/// Shape of one deployment; times in milliseconds.
struct Shape {
  std::vector<std::string> m_Zones;
  std::uint32_t m_Engines;
  std::uint32_t m_Routers;
  double m_Minutes;
  /// Mean pause between two turns of a chat.
  double m_MeanPause;
};

/// Mean run time of a request in the engine model, used to set the load.
constexpr double MeanRunMillis = 12000;
constexpr double MillisPerAnswerToken = 42;
constexpr double MeanTurns = 8;
constexpr std::int64_t MaxContext = 8000;
/// An engine's cache holds about this many chats of this mean size.
constexpr std::int64_t CachedChats = 600;
constexpr std::int64_t MeanChatTokens = 2200;
constexpr std::uint32_t Accounts = 10;
constexpr double SurgeFactor = 20;

Shape shapeOf(const std::string &Deployment) {
  if (Deployment == "bancas")
    return {{"Quito-A", "Quito-B", "Cayambe", "Ibarra"}, 10, 7, 40, 600e3};
  if (Deployment == "pool700")
    return {{"Z1", "Z2", "Z3", "Z4", "Z5"}, 700, 30, 15, 240e3};
  return {{"Bantala", "Tangra", "Topsia", "Howrah"}, 20, 9, 40, 600e3};
}

struct Chat {
  std::uint32_t m_Account = 0;
  std::int64_t m_Tokens = 0;
  std::uint32_t m_TurnsLeft = 1;
};

/// Start of the next turn of a chat.
struct Turn {
  double m_At = 0;
  std::uint32_t m_Chat = 0;
  bool operator<(const Turn &Other) const { return m_At > Other.m_At; }
};

struct Generator {
  TraceOptions m_Options;
  Trace m_Trace;
  Shape m_Shape;
  std::mt19937_64 m_Random;
  std::vector<Chat> m_Chats;
  std::priority_queue<Turn> m_Turns;
};

double lognormal(std::mt19937_64 &Random, double Mean, double Sigma) {
  std::lognormal_distribution<double> Draw(std::log(Mean) - Sigma * Sigma / 2,
                                           Sigma);
  return Draw(Random);
}

double uniform(std::mt19937_64 &Random) {
  return std::uniform_real_distribution<double>(0, 1)(Random);
}

/// A few large accounts: weights fall as 1/(rank + 1).
std::uint32_t drawAccount(std::mt19937_64 &Random) {
  double Total = 0;
  for (std::uint32_t I = 0; I < Accounts; ++I)
    Total += 1.0 / (I + 1);
  double Left = uniform(Random) * Total;
  for (std::uint32_t I = 0; I < Accounts; ++I) {
    Left -= 1.0 / (I + 1);
    if (Left <= 0)
      return I;
  }
  return Accounts - 1;
}

void describeFleet(Generator &Gen) {
  Trace &Made = Gen.m_Trace;
  Made.m_Deployment = Gen.m_Options.m_Deployment;
  Made.m_Seed = Gen.m_Options.m_Seed;
  Made.m_Zones = Gen.m_Shape.m_Zones;
  Made.m_Routers = Gen.m_Shape.m_Routers;
  Made.m_Duration =
      Millis(static_cast<std::int64_t>(Gen.m_Shape.m_Minutes * 60000));
  Made.m_Warmup = Millis(Made.m_Duration.m_Value * 2 / 5);
  for (std::uint32_t I = 0; I < Gen.m_Shape.m_Engines; ++I) {
    TargetSettings Engine;
    Engine.m_Id = TargetId("engine-" + std::to_string(I));
    Engine.m_Vm = VmId("vm-" + std::to_string(I));
    Engine.m_Zone = ZoneId(Made.m_Zones[I % Made.m_Zones.size()]);
    Engine.m_MaxConcurrent = 32;
    Engine.m_ColdLimit = 2;
    Engine.m_CacheTokens = Tokens(CachedChats * MeanChatTokens);
    Made.m_Engines.push_back(Engine);
  }
  double Concurrent = Gen.m_Options.m_MeanLoad * Gen.m_Shape.m_Engines;
  for (std::uint32_t I = 0; I < Accounts; ++I) {
    // Three times an account's mean use, so that ordinary peaks pass.
    double Share = 1.0 / (I + 1) / 2.93;
    TraceAccount Account;
    Account.m_Id = "account-" + std::to_string(I);
    Account.m_MaxConcurrent =
        static_cast<std::uint32_t>(std::ceil(3 * Share * Concurrent)) +
        Gen.m_Shape.m_Routers;
    Account.m_RequestsPerSecond =
        10 * Share * Concurrent * 1000 / MeanRunMillis + 5;
    Made.m_Accounts.push_back(Account);
  }
}

Chat newChat(Generator &Gen) {
  Chat Made;
  Made.m_Account = drawAccount(Gen.m_Random);
  std::geometric_distribution<std::uint32_t> Turns(1 / MeanTurns);
  Made.m_TurnsLeft = 1 + Turns(Gen.m_Random);
  return Made;
}

TraceRequest drawRequest(Generator &Gen, double At, std::uint32_t Index) {
  Chat &From = Gen.m_Chats[Index];
  std::mt19937_64 &Random = Gen.m_Random;
  TraceRequest Request;
  Request.m_At = Millis(static_cast<std::int64_t>(At));
  Request.m_Chat = Index;
  Request.m_Account = From.m_Account;
  Request.m_Entry = static_cast<std::uint32_t>(Random() % 1000);
  bool Long = uniform(Random) < 0.1;
  Request.m_Priority = Long ? Priority::Batch : Priority::Latency;
  Request.m_Deadline = Millis(Long ? 600000 : 60000);
  std::int64_t Added =
      50 + static_cast<std::int64_t>(lognormal(Random, 250, 0.8));
  // Reports are four times as long; the mean over both gives MeanRunMillis.
  double MeanAnswer = MeanRunMillis / MillisPerAnswerToken / 1.3;
  Request.m_Answer =
      Tokens(1 + static_cast<std::int64_t>(lognormal(
                     Random, Long ? 4 * MeanAnswer : MeanAnswer, 0.9)));
  Request.m_Prefix = Tokens(From.m_Tokens);
  Request.m_Prompt = Tokens(From.m_Tokens + Added);
  From.m_Tokens =
      std::min(MaxContext, From.m_Tokens + Added + Request.m_Answer.m_Value);
  return Request;
}

bool inAuction(const Generator &Gen, double At) {
  double Share = At / static_cast<double>(Gen.m_Trace.m_Duration.m_Value);
  return Gen.m_Options.m_Auction && Share > 0.6 && Share < 0.8;
}

void drawChats(Generator &Gen) {
  double PerMilli =
      Gen.m_Options.m_MeanLoad * Gen.m_Shape.m_Engines / MeanRunMillis;
  std::size_t Active = static_cast<std::size_t>(
      PerMilli * (Gen.m_Shape.m_MeanPause + MeanRunMillis));
  double End = static_cast<double>(Gen.m_Trace.m_Duration.m_Value);
  for (std::size_t I = 0; I < Active; ++I) {
    Gen.m_Chats.push_back(newChat(Gen));
    // The first requests come when routers have their leases.
    Gen.m_Turns.push(
        Turn{1000 + uniform(Gen.m_Random) * Gen.m_Shape.m_MeanPause,
             static_cast<std::uint32_t>(I)});
  }
  while (!Gen.m_Turns.empty() && Gen.m_Turns.top().m_At < End) {
    Turn Next = Gen.m_Turns.top();
    Gen.m_Turns.pop();
    TraceRequest Request = drawRequest(Gen, Next.m_At, Next.m_Chat);
    Gen.m_Trace.m_Requests.push_back(Request);
    double Run =
        static_cast<double>(Request.m_Answer.m_Value) * MillisPerAnswerToken;
    double Pause = lognormal(Gen.m_Random, Gen.m_Shape.m_MeanPause, 1.0);
    // Buyers ask more often while an auction runs.
    if (inAuction(Gen, Next.m_At))
      Pause *= 0.6;
    std::uint32_t Following = Next.m_Chat;
    if (--Gen.m_Chats[Next.m_Chat].m_TurnsLeft == 0) {
      Following = static_cast<std::uint32_t>(Gen.m_Chats.size());
      Gen.m_Chats.push_back(newChat(Gen));
    }
    Gen.m_Turns.push(Turn{Next.m_At + Run + Pause, Following});
  }
}

Millis atShare(const Generator &Gen, double Share) {
  return Millis(static_cast<std::int64_t>(
      Share * static_cast<double>(Gen.m_Trace.m_Duration.m_Value)));
}

void drawSurge(Generator &Gen) {
  // The smallest account sends 20 times its share for two minutes.
  double Share = 1.0 / Accounts / 2.93;
  double PerMilli = SurgeFactor * Share * Gen.m_Options.m_MeanLoad *
                    Gen.m_Shape.m_Engines / MeanRunMillis;
  double At = static_cast<double>(atShare(Gen, 0.6).m_Value);
  double End = At + 120000;
  std::exponential_distribution<double> Gap(PerMilli);
  for (; At < End; At += Gap(Gen.m_Random)) {
    Chat One = newChat(Gen);
    One.m_Account = Accounts - 1;
    Gen.m_Chats.push_back(One);
    TraceRequest Request = drawRequest(
        Gen, At, static_cast<std::uint32_t>(Gen.m_Chats.size() - 1));
    Request.m_Surge = true;
    Gen.m_Trace.m_Requests.push_back(Request);
  }
}

void drawRestarts(Generator &Gen) {
  std::uint32_t Engines = Gen.m_Shape.m_Engines;
  // One in twenty each minute.
  for (std::int64_t At = 60000; At < Gen.m_Trace.m_Duration.m_Value;
       At += 20 * 60000 / Engines)
    Gen.m_Trace.m_Events.push_back(TraceEvent{
        Millis(At), TraceEventKind::EngineRestart,
        static_cast<std::uint32_t>(Gen.m_Random() % Engines), Millis(2000)});
}

void drawFlaps(Generator &Gen) {
  std::uint32_t Engine = 3 % Gen.m_Shape.m_Engines;
  for (std::int64_t I = 0; I < 8; ++I)
    Gen.m_Trace.m_Events.push_back(
        TraceEvent{atShare(Gen, 0.5) + Millis(I * 15000),
                   TraceEventKind::EngineRestart, Engine, Millis(1000)});
  for (std::uint32_t I = 0; I < 4; ++I)
    Gen.m_Trace.m_Events.push_back(
        TraceEvent{atShare(Gen, 0.65 + 0.05 * I), TraceEventKind::EngineCold,
                   (7 + 3 * I) % Gen.m_Shape.m_Engines, Millis()});
  Gen.m_Trace.m_Events.push_back(
      TraceEvent{atShare(Gen, 0.9), TraceEventKind::VmLeave,
                 5 % Gen.m_Shape.m_Engines, Millis()});
}

void drawEvents(Generator &Gen) {
  std::vector<TraceEvent> &Events = Gen.m_Trace.m_Events;
  if (Gen.m_Options.m_Restarts)
    drawRestarts(Gen);
  if (Gen.m_Options.m_Flaps)
    drawFlaps(Gen);
  if (Gen.m_Options.m_ZoneMove) {
    Events.push_back({atShare(Gen, 0.5), TraceEventKind::ZoneOut, 1, {}});
    Events.push_back({atShare(Gen, 0.7), TraceEventKind::ZoneIn, 1, {}});
  }
  if (Gen.m_Options.m_RouterChurn) {
    Events.push_back(
        {atShare(Gen, 0.5), TraceEventKind::RouterFreeze, 2, Millis(20000)});
    Events.push_back({atShare(Gen, 0.65), TraceEventKind::RouterLeave, 4, {}});
    Events.push_back({atShare(Gen, 0.8),
                      TraceEventKind::RouterJoin,
                      Gen.m_Shape.m_Routers,
                      {}});
  }
  std::stable_sort(
      Events.begin(), Events.end(),
      [](const TraceEvent &A, const TraceEvent &B) { return A.m_At < B.m_At; });
}

} // namespace

Trace generateTrace(const TraceOptions &Options) {
  Generator Gen;
  Gen.m_Options = Options;
  Gen.m_Shape = shapeOf(Options.m_Deployment);
  if (Options.m_Engines > 0)
    Gen.m_Shape.m_Engines = Options.m_Engines;
  if (Options.m_Routers > 0)
    Gen.m_Shape.m_Routers = Options.m_Routers;
  if (Options.m_Minutes > 0)
    Gen.m_Shape.m_Minutes = Options.m_Minutes;
  Gen.m_Random.seed(Options.m_Seed);
  describeFleet(Gen);
  drawChats(Gen);
  if (Options.m_Surge)
    drawSurge(Gen);
  drawEvents(Gen);
  std::vector<TraceRequest> &All = Gen.m_Trace.m_Requests;
  std::stable_sort(All.begin(), All.end(),
                   [](const TraceRequest &A, const TraceRequest &B) {
                     return A.m_At < B.m_At;
                   });
  return std::move(Gen.m_Trace);
}

} // namespace vanillaferry
