#include "connection/platform_adapter.hpp"

#include <nlohmann/json.hpp>

namespace vanillaferry {

std::optional<std::vector<ListedVm>> parseVmList(const std::string &Text) {
  using nlohmann::json;
  std::vector<ListedVm> Listed;
  try {
    json Value = json::parse(Text);
    for (const json &Item : Value.at("vms")) {
      ListedVm Vm;
      Vm.m_Vm = VmId(Item.at("vm").get<std::string>());
      Vm.m_Zone = ZoneId(Item.at("zone").get<std::string>());
      Vm.m_State =
          Item.at("state") == "leaving" ? VmState::Leaving : VmState::Live;
      Listed.push_back(std::move(Vm));
    }
  } catch (const json::exception &) {
    return std::nullopt;
  }
  return Listed;
}

} // namespace vanillaferry
