#pragma once

#include "vanillaferry/process/history.hpp"

namespace vanillaferry {

/// Checks that each section is linearizable as one compare-and-set register.
void checkRegisters(const History &Lines, const HistoryOptions &Options,
                    std::vector<HistoryViolation> &Violations);

} // namespace vanillaferry
