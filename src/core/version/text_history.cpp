#include "vanillaferry/version/text_history.hpp"

#include "vanillaferry/version/text_delta.hpp"

namespace vanillaferry {

namespace {

const std::string *findText(const TextHistory &History, std::uint64_t Version) {
  for (const std::pair<std::uint64_t, std::string> &Each : History.m_Versions)
    if (Each.first == Version)
      return &Each.second;
  return nullptr;
}

} // namespace

void rememberText(TextHistory &History, std::uint64_t Version,
                  const std::string &Text) {
  if (findText(History, Version))
    return;
  History.m_Versions.emplace_back(Version, Text);
  if (History.m_Versions.size() > History.m_Limit)
    History.m_Versions.pop_front();
}

TextUpdate makeUpdate(const TextHistory &History, std::uint64_t Held,
                      const std::string &Text) {
  const std::string *Base = Held == 0 ? nullptr : findText(History, Held);
  if (!Base)
    return {0, makeTextDelta(std::string(), Text)};
  return {Held, makeTextDelta(*Base, Text)};
}

} // namespace vanillaferry
