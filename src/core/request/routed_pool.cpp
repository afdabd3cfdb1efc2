#include "vanillaferry/request/placement.hpp"

namespace vanillaferry {

RoutedPool makeRoutedPool(PoolView View, const Membership &Members) {
  RoutedPool Pool;
  Pool.m_View = std::move(View);
  for (const PoolTarget &Target : Pool.m_View.m_Targets)
    Pool.m_Owners.push_back(
        ownerOf(Members, Target.m_Settings.m_Id).value_or(NodeId()));
  return Pool;
}

} // namespace vanillaferry
