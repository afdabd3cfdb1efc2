#pragma once

namespace vanillaferry {

/// Raises the soft limit of open files to the hard one. A router holds two
/// sockets for each running stream, which passes the usual soft limit of 1024.
void raiseFileLimit();

} // namespace vanillaferry
