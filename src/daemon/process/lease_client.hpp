#pragma once

#include "vanillaferry/connection/message.hpp"

namespace vanillaferry {

struct PoolMean;
struct Router;

/// A leader that leaves a renewal unanswered for this long is left for the next
/// keeper.
constexpr Millis KeeperAnswerTimeout{400};

/// Sends to the keeper that is taken for the leader.
void sendToLeader(Router &R, PeerMessage Message);

/// Renews when due, early when a pool's count fell or demand is new.
void checkLease(Router &R);

void handleGrant(Router &R, const Grant &Granted);
void handleRedirect(Router &R, const RedirectLeader &Redirect);

/// Rebuilds pools and ownership after a change of the document, the members or
/// the VM list.
void rebuildPools(Router &R, bool FromDocument);

/// Updates which owned targets may be dispatched to at present.
void updateDispatchable(Router &R);

/// Dials a member whose link broke, also when the member is to dial this node:
/// over a connection that went silent for good it may not have noticed yet.
void dialBack(Router &R, const NodeId &Node);

/// Takes the leader's answer to a load update.
void handleLoadTotals(Router &R, const LoadTotals &Answer);

/// Notes that a placement used a pool's total, so that a fresh one is asked for
/// when it is needed.
void noteTotalsUsed(Router &R, const PoolMean &Mean, Millis Now);

} // namespace vanillaferry
