#pragma once

#include <functional>
#include <libsoup/soup.h>
#include <string>
#include <vector>

namespace vanillaferry::standin {

/// Asks all engines for their load at the same time. The handler is called once
/// every engine has answered or failed, with the loads that were received.
void sampleLoads(SoupSession *Session, const std::vector<std::string> &Engines,
                 std::function<void(const std::vector<double> &)> OnLoads);

} // namespace vanillaferry::standin
