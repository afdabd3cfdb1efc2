#include "vanillaferry/version/manifest.hpp"

#include <limits>
#include <set>

namespace vanillaferry {

namespace {

void checkRoute(const ManifestRoute &Route, const std::set<PoolId> &Services,
                std::vector<std::string> &Errors) {
  std::string Where = "route " + Route.m_Name + ": ";
  double Total = 0;
  for (const WeightedService &Part : Route.m_Services) {
    Total += Part.m_Weight;
    if (Services.count(Part.m_Service) == 0)
      Errors.push_back(Where + "unknown service " + Part.m_Service.m_Value);
    if (Part.m_Weight < 0)
      Errors.push_back(Where + "a weight is negative");
  }
  if (Total <= 0)
    Errors.push_back(Where + "the sum of the weights must be above 0");
  if (Route.m_Timeout <= Millis(0))
    Errors.push_back(Where + "the timeout must be above 0");
  if (Route.m_MaxTargets < 1)
    Errors.push_back(Where + "the number of attempts must be at least 1");
  const std::string &Prefix = Route.m_PathPrefix;
  if (Prefix.empty() || Prefix.front() != '/' || Prefix.back() != '/')
    Errors.push_back(Where + "the path prefix must begin and end with a slash");
}

} // namespace

std::vector<std::string> validateManifest(const Manifest &Content) {
  std::vector<std::string> Errors;
  std::set<PoolId> Services;
  for (const ManifestService &Service : Content.m_Services)
    if (!Services.insert(Service.m_Id).second)
      Errors.push_back("service " + Service.m_Id.m_Value + " is defined twice");
  std::set<std::pair<std::string, std::string>> Places;
  for (const ManifestRoute &Route : Content.m_Routes) {
    checkRoute(Route, Services, Errors);
    if (!Places.emplace(Route.m_Host, Route.m_PathPrefix).second)
      Errors.push_back("route " + Route.m_Name +
                       ": another route has the same host and path prefix");
  }
  std::set<std::string> Keys;
  for (const ManifestAccount &Account : Content.m_Accounts)
    for (const std::string &Key : Account.m_ApiKeys)
      if (!Keys.insert(Key).second)
        Errors.push_back("account " + Account.m_Id.m_Value +
                         ": an API key belongs to two accounts");
  return Errors;
}

RouteTable makeRouteTable(Manifest Content) {
  RouteTable Table;
  Table.m_Manifest = std::move(Content);
  const Manifest &All = Table.m_Manifest;
  for (std::size_t Index = 0; Index < All.m_Routes.size(); ++Index)
    Table.m_RoutesByHost[All.m_Routes[Index].m_Host]
                        [All.m_Routes[Index].m_PathPrefix] = Index;
  for (std::size_t Index = 0; Index < All.m_Accounts.size(); ++Index)
    for (const std::string &Key : All.m_Accounts[Index].m_ApiKeys)
      Table.m_AccountsByKey[Key] = Index;
  for (std::size_t Index = 0; Index < All.m_Services.size(); ++Index)
    Table.m_ServicesById[All.m_Services[Index].m_Id.m_Value] = Index;
  return Table;
}

const ManifestRoute *findRoute(const RouteTable &Table, const std::string &Host,
                               const std::string &Path) {
  auto Routes = Table.m_RoutesByHost.find(Host);
  if (Routes == Table.m_RoutesByHost.end())
    return nullptr;
  std::size_t Slash = Path.rfind('/');
  while (Slash != std::string::npos) {
    auto Found = Routes->second.find(Path.substr(0, Slash + 1));
    if (Found != Routes->second.end())
      return &Table.m_Manifest.m_Routes[Found->second];
    if (Slash == 0)
      break;
    Slash = Path.rfind('/', Slash - 1);
  }
  return nullptr;
}

const ManifestAccount *findAccount(const RouteTable &Table,
                                   const std::string &ApiKey) {
  auto Found = Table.m_AccountsByKey.find(ApiKey);
  return Found == Table.m_AccountsByKey.end()
             ? nullptr
             : &Table.m_Manifest.m_Accounts[Found->second];
}

const ManifestService *findService(const RouteTable &Table,
                                   const PoolId &Service) {
  auto Found = Table.m_ServicesById.find(Service.m_Value);
  return Found == Table.m_ServicesById.end()
             ? nullptr
             : &Table.m_Manifest.m_Services[Found->second];
}

PoolId chooseService(const ManifestRoute &Route, std::uint64_t Hash) {
  double Total = 0;
  for (const WeightedService &Part : Route.m_Services)
    Total += Part.m_Weight;
  double Drawn =
      Total * (static_cast<double>(Hash) /
               static_cast<double>(std::numeric_limits<std::uint64_t>::max()));
  PoolId Last;
  for (const WeightedService &Part : Route.m_Services) {
    if (Part.m_Weight <= 0)
      continue;
    Last = Part.m_Service;
    Drawn -= Part.m_Weight;
    if (Drawn < 0)
      break;
  }
  return Last;
}

} // namespace vanillaferry
