#include "gateway/exchange.hpp"
#include "gateway/gateway.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

namespace vanillaferry {

void applyRefusedParts(Gateway &G, std::uint64_t Version,
                       const std::vector<RefusedPart> &Parts) {
  if (Version <= G.m_Prompts.m_Version)
    return;
  bool Added = applyQuarantine(G.m_Prompts, Version, Parts);
  logEvent(Event::QuarantineApplied,
           {{"version", Version},
            {"parts", static_cast<std::uint64_t>(Parts.size())}});
  if (!Added)
    return;
  // Requests that wait at a target would still end it.
  std::vector<std::shared_ptr<Exchange>> Running(G.m_Exchanges.begin(),
                                                 G.m_Exchanges.end());
  for (const std::shared_ptr<Exchange> &Each : Running)
    Each->abandonRefusedPrompt();
}

void handlePromptWatch(Gateway &G, const PromptWatch &Watch) {
  for (const std::shared_ptr<Exchange> &Each : G.m_Exchanges)
    Each->recordSurvival();
  applySuspects(G.m_Prompts, Watch);
}

void sendPromptReportWhenDue(Gateway &G) {
  std::optional<PromptReport> Report =
      takePromptReport(G.m_Prompts, G.m_Settings.m_Node, monotonicNow());
  if (!Report)
    return;
  addCounter(G.m_Metrics, "vanillaferry_prompt_reports_total");
  G.m_Peers->sendToUrl(G.m_Keeper.m_Current, std::move(*Report));
}

} // namespace vanillaferry
