#pragma once

#include "vanillaferry/process/state_machine.hpp"
#include "vanillaferry/version/section.hpp"

#include <cstdint>
#include <vector>

namespace vanillaferry {

/// Total time limit of one order connection, with TCP_USER_TIMEOUT set to it.
/// After this time nothing of an order of a former leader is under way.
constexpr Millis OrderTimeout{10000};

/// What the leader keeps for sending orders; memory only.
struct OrderSender {
  Millis m_LedSince;
  /// Rate of the weight store, from document section "limits".
  double m_LoadsPerMinute = 6;
  /// Loads that may start now, at most 1. A new leader starts with none,
  /// because the former one may just have spent the last.
  double m_Loads = 0;
  Millis m_FilledAt;
};

enum class OrderVerdict : std::uint8_t {
  Send,
  /// The engine ignores fencing tokens and an order of a former leader may
  /// still be under way.
  WaitForFormerLeader,
  /// The weight store has no load to give.
  WaitForWeightStore,
  /// Another leader was let to send the order and recorded no outcome.
  EndAsUnknown,
  Done,
};

struct OrderDecision {
  OrderVerdict m_Verdict = OrderVerdict::Done;
  /// When to ask again.
  Millis m_Until;
};

/// "done", "failed", "old_token", "unreachable", "unknown"; "open" before.
const char *outcomeName(OrderOutcome Outcome);

/// What is wrong with a submitted order, one sentence for each fault with the
/// field and the value found. An order needs an engine of the document.
std::vector<std::string> checkOrder(const EngineOrder &Order,
                                    const DocumentSettings &Settings);

/// The engine with this id, or null.
const TargetSettings *findEngine(const DocumentSettings &Settings,
                                 const TargetId &Target);

/// The section whose operators may give this order: "services" for a change of
/// role, else "model_versions".
SectionName sectionOfOrder(const EngineOrder &Order);

/// State of a new leader.
OrderSender makeOrderSender(double LoadsPerMinute, Millis Now);

/// Takes a changed rate of the weight store.
void setLoadRate(OrderSender &Sender, double LoadsPerMinute, Millis Now);

/// True for orders that read from the weight store.
bool readsWeights(const EngineOrder &Order);

/// Decides on sending an order now; Send takes a load from the weight store.
/// Before a send, StartOrder must be committed in the own term. The caller must
/// hold the quorum lease and not be sending the order. ChecksFencing is the
/// target's setting in the document.
OrderDecision decideOrder(OrderSender &Sender, const EngineOrder &Order,
                          bool ChecksFencing, Millis Now);

/// The check directly before each write of an order: the connection was begun
/// less than OrderTimeout ago by a process that holds the quorum lease.
bool mayWriteOrder(Millis BegunAt, bool HoldsQuorumLease, Millis Now);

/// Orders without an outcome that may be sent next, oldest first: one for each
/// target, so that orders reach an engine in the order of their tokens.
std::vector<EngineOrder> nextOrders(const StateMachine &State);

} // namespace vanillaferry
