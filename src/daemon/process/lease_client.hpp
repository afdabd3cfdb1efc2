#pragma once

#include "vanillaferry/connection/message.hpp"

namespace vanillaferry {

struct PoolMean;
struct Router;

/// Time without an answer to a renewal after which the next keeper is tried.
constexpr Millis KeeperAnswerTimeout{400};

/// Sends to the keeper that is believed to lead.
void sendToLeader(Router &R, PeerMessage Message);

/// Renews the lease when due, earlier when an account has requests here but no
/// share. Otherwise sends a load update when a pool's count fell or a placement
/// used stale totals.
void checkLease(Router &R);

void handleGrant(Router &R, const Grant &Granted);
void handleRedirect(Router &R, const RedirectLeader &Redirect);

/// Rebuilds pools and ownership after a change of the document, the members or
/// the VM list.
void rebuildPools(Router &R, bool FromDocument);

/// Updates which owned targets may get new requests at present.
void updateDispatchable(Router &R);

/// Connects to a member whose link broke, also when the member should connect
/// to this node: it may not have noticed yet that the connection is dead.
void dialBack(Router &R, const NodeId &Node);

/// Applies the leader's answer to a load update.
void handleLoadTotals(Router &R, const LoadTotals &Answer);

/// Notes that a placement used a pool's total; a new one is requested when that
/// total is stale.
void noteTotalsUsed(Router &R, const PoolMean &Mean, Millis Now);

} // namespace vanillaferry
