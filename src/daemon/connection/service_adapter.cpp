#include "connection/service_adapter.hpp"

namespace vanillaferry {

TargetRequest serviceRequest(const std::string &Url, const Forward &Order,
                             bool SendKey) {
  TargetRequest Request;
  Request.m_Method = Order.m_Method;
  Request.m_Url = Url + Order.m_Path;
  Request.m_ContentType = Order.m_ContentType;
  Request.m_Fields.emplace_back("X-Request-Id", Order.m_Request.m_Value);
  // A journaled call is ranked by its key, which therefore stands as its chat.
  if (SendKey)
    Request.m_Fields.emplace_back("Idempotency-Key", Order.m_Chat.m_Value);
  Request.m_Body = Order.m_Body;
  return Request;
}

} // namespace vanillaferry
