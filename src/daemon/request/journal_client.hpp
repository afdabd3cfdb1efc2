#pragma once

#include "request/session.hpp"
#include "vanillaferry/connection/message.hpp"

#include <functional>
#include <memory>

namespace vanillaferry {

struct Router;

/// How long a caller waits for the journal.
constexpr Millis JournalTimeout{5000};
/// Time between repeats of an unanswered message.
constexpr Millis JournalRepeatInterval{500};

/// Registers the call with the keepers; goes on or answers by their answer.
void beginJournaledCall(const std::shared_ptr<Session> &S);

/// Records the outcome, then calls OnDurable; at the latest after a second,
/// because the answer itself is already known.
void endJournaledCall(const std::shared_ptr<Session> &S, CallOutcome Outcome,
                      const CallAnswer &Answer,
                      std::function<void()> OnDurable);

/// Records the outcome of a refused call.
void endRefusedCall(Session &S, NotRun Ran);

void takeJournalAnswer(Router &R, const JournalAnswer &Answer);

/// Repeats messages without an answer.
void checkJournal(Router &R);

} // namespace vanillaferry
