#pragma once

#include <functional>
#include <libsoup/soup.h>
#include <string>
#include <vector>

namespace vanillaferry::standin {

/// Asks all engines for their load at once. The handler gets the loads that
/// arrived, when every engine has answered or failed.
void sampleLoads(SoupSession *Session, const std::vector<std::string> &Engines,
                 std::function<void(const std::vector<double> &)> OnLoads);

} // namespace vanillaferry::standin
