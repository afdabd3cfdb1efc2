#pragma once

#include "vanillaferry/process/result.hpp"

#include <nlohmann/json.hpp>
#include <string>

namespace vanillaferry {

/// Deepest nesting that parseCbor accepts.
constexpr std::size_t MaxCborDepth = 32;

/// True for one well-formed CBOR item (RFC 8949) of definite lengths, without
/// tags, with texts as keys of maps, nested no deeper than MaxCborDepth and
/// without trailing bytes. Checked before parsing, because nlohmann's parser
/// recurses once for each level.
bool isPlainCbor(const std::string &Data);

/// Parses CBOR data; malformed input gives an error, never an exception.
Result<nlohmann::json> parseCbor(const std::string &Data);

/// CBOR data of a value.
std::string encodeCbor(const nlohmann::json &Value);

} // namespace vanillaferry
