#pragma once

#include "vanillaferry/connection/message.hpp"

#include <memory>
#include <optional>
#include <string>

namespace vanillaferry {

struct Router;
struct Run;
struct Session;

// The routers' part in refusing prompt parts that end engines, see
// request/prompt_guard.hpp. The entry router refuses; the owner of the target
// sees how its answers end.

/// True when the session may ask an owner. Else it was refused.
bool admitPrompt(const std::shared_ptr<Session> &S);
/// For what the session must not go to another target after its last one has
/// ended; absent when it may.
std::optional<PromptPartId> suspectOf(const Session &S);
/// Ends the trial that the session was, if it was one.
void endPromptTrial(Session &S);

/// The owner's check directly before it sends a request to its target.
bool mayPromptTarget(const Run &Work);
/// Records that the connection to the target ended before the answer did.
void recordRunCut(const Run &Work);
void recordRunServed(const Run &Work);

/// Applies the refused parts that a grant states.
void applyRefusedParts(Router &R, const Grant &Granted);
void handlePromptWatch(Router &R, const PromptWatch &Watch);
void sendPromptReportWhenDue(Router &R);

} // namespace vanillaferry
