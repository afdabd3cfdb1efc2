#include "process/recorder.hpp"

#include "process/clock.hpp"
#include "process/router.hpp"

#include <nlohmann/json.hpp>

namespace vanillaferry {

Status openRecord(Router &R) {
  if (R.m_Settings.m_Record.empty())
    return boost::outcome_v2::success();
  R.m_Record.open(R.m_Settings.m_Record, std::ios::app);
  if (!R.m_Record)
    return makeError(ErrorCode::Io,
                     "cannot write the trace " + R.m_Settings.m_Record);
  return boost::outcome_v2::success();
}

void recordPlacement(Router &, const Session &, const std::string &) {}

} // namespace vanillaferry
