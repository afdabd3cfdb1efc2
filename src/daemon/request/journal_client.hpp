#pragma once

#include "request/session.hpp"
#include "vanillaferry/connection/message.hpp"

#include <functional>
#include <memory>

namespace vanillaferry {

struct Router;

/// A call is refused when the journal has not granted it within this time.
constexpr Millis JournalTimeout{5000};
/// Time between repeats of an unanswered message.
constexpr Millis JournalRepeatInterval{500};

/// Registers the call in the keepers' journal; their answer starts the call,
/// replays a recorded answer or refuses.
void beginJournaledCall(const std::shared_ptr<Session> &S);

/// Records the outcome, then calls OnDurable. OnDurable is called after one
/// second at the latest, because the answer itself is already known.
void endJournaledCall(const std::shared_ptr<Session> &S, CallOutcome Outcome,
                      const CallAnswer &Answer,
                      std::function<void()> OnDurable);

/// Records the outcome of a refused call.
void endRefusedCall(Session &S, NotRun Ran);

void takeJournalAnswer(Router &R, const JournalAnswer &Answer);

/// Repeats unanswered messages and refuses calls that waited too long.
void checkJournal(Router &R);

} // namespace vanillaferry
