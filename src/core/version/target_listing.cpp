#include "vanillaferry/version/target_listing.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace vanillaferry {

namespace {

using nlohmann::json;

/// A remaining time that grows by more than this shows another cold start.
constexpr Millis NewColdStart{500};

} // namespace

std::string encodeTargets(const std::vector<ListedTarget> &Targets) {
  json All = json::array();
  for (const ListedTarget &Each : Targets)
    All.push_back({{"id", Each.m_Id.m_Value},
                   {"service", Each.m_Service.m_Value},
                   {"address", Each.m_Address},
                   {"zone", Each.m_Zone.m_Value},
                   {"software", Each.m_Software.m_Value},
                   {"slots", Each.m_Slots},
                   {"leaving", Each.m_Leaving},
                   {"cold_ms", Each.m_ColdLeft.m_Value}});
  return All.dump();
}

Result<std::vector<ListedTarget>> decodeTargets(const std::string &Text) {
  try {
    std::vector<ListedTarget> Targets;
    for (const json &Each : json::parse(Text)) {
      ListedTarget Target;
      Target.m_Id = TargetId(Each.at("id").get<std::string>());
      Target.m_Service = PoolId(Each.at("service").get<std::string>());
      Target.m_Address = Each.at("address").get<std::string>();
      Target.m_Zone = ZoneId(Each.at("zone").get<std::string>());
      // Keepers of an older release do not send it.
      Target.m_Software = SoftwareVersion(Each.value("software", ""));
      Target.m_Slots = Each.at("slots").get<std::uint32_t>();
      Target.m_Leaving = Each.at("leaving").get<bool>();
      Target.m_ColdLeft = Millis(Each.at("cold_ms").get<std::int64_t>());
      Targets.push_back(std::move(Target));
    }
    return Targets;
  } catch (const json::exception &Fault) {
    return makeError(ErrorCode::Malformed,
                     std::string("target list: ") + Fault.what());
  }
}

std::uint64_t textDigest(const std::string &Text) {
  std::uint64_t Digest = XXH3_64bits(Text.data(), Text.size());
  return Digest == 0 ? 1 : Digest;
}

void retainColdTimes(std::vector<ListedTarget> &Targets,
                     const std::vector<ListedTarget> &Before) {
  std::map<TargetId, Millis> Known;
  for (const ListedTarget &Each : Before)
    Known[Each.m_Id] = Each.m_ColdLeft;
  for (ListedTarget &Each : Targets) {
    std::map<TargetId, Millis>::const_iterator Found = Known.find(Each.m_Id);
    if (Found != Known.end() && Each.m_ColdLeft > Millis(0) &&
        Found->second > Millis(0) &&
        Each.m_ColdLeft <= Found->second + NewColdStart)
      Each.m_ColdLeft = Found->second;
  }
}

} // namespace vanillaferry
