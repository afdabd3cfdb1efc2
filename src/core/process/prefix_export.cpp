#include "vanillaferry/process/prefix_export.hpp"

namespace vanillaferry {

namespace {

bool mayStartMore(const PrefixExport &Export, Millis Now) {
  return Export.m_Next < Export.m_Chats.size() && Now < Export.m_Until &&
         Export.m_FailuresInRow < Export.m_Options.m_MaxFailures;
}

} // namespace

PrefixExport beginExport(std::vector<std::uint64_t> Chats,
                         const ExportOptions &Options, Millis Now) {
  PrefixExport Export;
  Export.m_Options = Options;
  Export.m_Chats = std::move(Chats);
  if (Export.m_Chats.size() > Options.m_MaxChats)
    Export.m_Chats.resize(Options.m_MaxChats);
  Export.m_Until = Now + Options.m_Limit;
  Export.m_NextStart = Now;
  return Export;
}

std::optional<std::uint64_t> nextCopy(PrefixExport &Export, Millis Now) {
  if (!mayStartMore(Export, Now) || Now < Export.m_NextStart ||
      Export.m_Running >= Export.m_Options.m_MaxRunning)
    return std::nullopt;
  // Counted from now, so that a late timer causes no burst.
  Export.m_NextStart = Now + Export.m_Options.m_Spacing;
  ++Export.m_Running;
  return Export.m_Chats[Export.m_Next++];
}

void noteCopied(PrefixExport &Export, bool Copied) {
  --Export.m_Running;
  if (Copied) {
    ++Export.m_Copied;
    Export.m_FailuresInRow = 0;
    return;
  }
  ++Export.m_Failed;
  ++Export.m_FailuresInRow;
}

void noteAbsent(PrefixExport &Export) { --Export.m_Running; }

bool exportEnded(const PrefixExport &Export, Millis Now) {
  return Export.m_Running == 0 && !mayStartMore(Export, Now);
}

} // namespace vanillaferry
