#pragma once

#include "connection/caller.hpp"

#include <set>
#include <string>

namespace vanillaferry {

std::string lowerCase(std::string Text);

/// True for a field, by its name in lower case, that applies to one connection
/// only or that the HTTP client and server set themselves.
bool isHopByHop(const std::string &Name);

/// Lower-case names of all such fields that the request may have, with those
/// that its Connection field lists.
std::set<std::string> hopByHopFields(const CallerRequest &Request);

} // namespace vanillaferry
