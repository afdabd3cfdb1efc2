#include "connection/service_adapter.hpp"

namespace vanillaferry {

TargetRequest serviceRequest(const std::string &Url, const Forward &Order) {
  TargetRequest Request;
  Request.m_Method = Order.m_Method;
  Request.m_Url = Url + Order.m_Path;
  Request.m_ContentType = Order.m_ContentType;
  Request.m_Fields.emplace_back("X-Request-Id", Order.m_Request.m_Value);
  Request.m_Body = Order.m_Body;
  return Request;
}

} // namespace vanillaferry
