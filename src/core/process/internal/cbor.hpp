#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace vanillaferry::internal {

/// Arrays and maps within each other that parseCbor accepts; the library's
/// parser recurses and would overflow the stack on deeper input.
constexpr std::size_t MaxCborDepth = 32;

/// Parses untrusted CBOR; a discarded value when it is malformed, nested too
/// deeply or followed by other bytes. Never throws.
nlohmann::json parseCbor(const std::string &Data);

std::string dumpCbor(const nlohmann::json &Value);

} // namespace vanillaferry::internal
