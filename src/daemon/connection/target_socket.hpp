#pragma once

#include "vanillaferry/process/result.hpp"

#include <string>

namespace vanillaferry {

/// Begins a connection to IP:PORT; the descriptor becomes writable when it is
/// established or has failed, see connectionFault().
Result<int> beginConnection(const std::string &Address);

/// True while it is neither established nor has failed. A late main loop may
/// handle a timer before the event that ended the wait.
bool connectionPending(int Fd);

/// Why the connection was not established; empty when it was.
std::string connectionFault(int Fd);

} // namespace vanillaferry
