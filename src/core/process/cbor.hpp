#pragma once

#include "vanillaferry/process/result.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace vanillaferry {

/// Deepest nesting that parseCbor accepts.
constexpr std::size_t MaxCborDepth = 32;

/// True for one well-formed CBOR item of definite lengths, without tags, no
/// deeper than MaxCborDepth and without trailing bytes. Checked first, because
/// nlohmann's reader recurses once for each level.
bool isPlainCbor(const std::string &Data);

/// Parses CBOR text; malformed input gives an error, never an exception.
Result<nlohmann::json> parseCbor(const std::string &Data);

/// CBOR text of a value.
std::string encodeCbor(const nlohmann::json &Value);

} // namespace vanillaferry
