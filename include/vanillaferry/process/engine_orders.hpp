#pragma once

#include "vanillaferry/process/state_machine.hpp"
#include "vanillaferry/version/section.hpp"

#include <cstdint>
#include <vector>

namespace vanillaferry {

/// Total time limit of one order connection, also set as TCP_USER_TIMEOUT.
/// After this time no order of a former leader can still reach its engine.
constexpr Millis OrderTimeout{10000};

/// The leader's state for sending orders; not persisted.
struct OrderSender {
  /// When this process became the leader.
  Millis m_LedSince;
  /// Loads per minute that the weight store allows, from document section
  /// "limits".
  double m_LoadsPerMinute = 6;
  /// Token bucket of loads that may start now, at most 1. A new leader starts
  /// with an empty bucket, because the former leader may just have started one.
  double m_Loads = 0;
  /// When the bucket was last refilled.
  Millis m_FilledAt;
};

enum class OrderVerdict : std::uint8_t {
  Send,
  /// The engine ignores fencing tokens and an order of a former leader may
  /// still be under way.
  WaitForFormerLeader,
  /// The rate limit of the weight store allows no load yet.
  WaitForWeightStore,
  /// Another leader may have sent the order and recorded no outcome.
  EndAsUnknown,
  Done,
};

struct OrderDecision {
  OrderVerdict m_Verdict = OrderVerdict::Done;
  /// When to decide again.
  Millis m_Until;
};

/// Name of an outcome: "open", "done", "failed", "old_token", "unreachable" or
/// "unknown".
const char *outcomeName(OrderOutcome Outcome);

/// Checks a submitted order, whose target must be an engine of the document.
/// Returns one sentence for each error, with the field and the value found.
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

/// Changes the rate of the weight store from now on.
void setLoadRate(OrderSender &Sender, double LoadsPerMinute, Millis Now);

/// True for orders that make the engine load weights from the weight store.
bool readsWeights(const EngineOrder &Order);

/// Decides whether to send an order now; Send consumes a load of the weight
/// store's rate. Before sending, the caller must commit StartOrder in its own
/// term. It must hold the quorum lease and must not be sending the order
/// already. ChecksFencing is the target's setting in the document.
OrderDecision decideOrder(OrderSender &Sender, const EngineOrder &Order,
                          bool ChecksFencing, Millis Now);

/// To be checked directly before each write of an order: true when the
/// connection was begun less than OrderTimeout ago and this process still holds
/// the quorum lease.
bool mayWriteOrder(Millis BegunAt, bool HoldsQuorumLease, Millis Now);

/// Orders without an outcome that may be sent next, oldest first: one for each
/// target, so that orders reach an engine in the order of their tokens.
std::vector<EngineOrder> nextOrders(const StateMachine &State);

} // namespace vanillaferry
