#include "process/cbor.hpp"

#include "process/cbor_items.hpp"

namespace vanillaferry {

bool isPlainCbor(const std::string &Data) {
  std::string_view Rest = Data;
  return takeItem(Rest, MaxCborDepth) && Rest.empty();
}

Result<nlohmann::json> parseCbor(const std::string &Data) {
  if (!isPlainCbor(Data))
    return makeError(ErrorCode::Malformed, "malformed or unsupported CBOR (" +
                                               std::to_string(Data.size()) +
                                               " bytes)");
  try {
    nlohmann::json Value =
        nlohmann::json::from_cbor(Data.begin(), Data.end(), true, false);
    if (!Value.is_discarded())
      return Value;
  } catch (const nlohmann::json::exception &) {
    // Falls through: some errors are thrown in spite of allow_exceptions.
  }
  return makeError(ErrorCode::Malformed, "CBOR parse error");
}

std::string encodeCbor(const nlohmann::json &Value) {
  std::string Data;
  nlohmann::json::to_cbor(Value, Data);
  return Data;
}

} // namespace vanillaferry
