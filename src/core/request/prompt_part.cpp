#include "vanillaferry/request/prompt_part.hpp"

#include <algorithm>
#include <cstdio>
#include <xxhash.h>

namespace vanillaferry {

namespace {

constexpr std::size_t MaxIdLength = 40;
constexpr char Separator = ',';

PromptPartId boundedId(const PromptPartId &Id) {
  if (Id.m_Value.size() <= MaxIdLength &&
      Id.m_Value.rfind(WholeRequestPrefix, 0) != 0)
    return Id;
  char Text[24];
  std::snprintf(Text, sizeof Text, "hash-%016llx",
                static_cast<unsigned long long>(
                    XXH3_64bits(Id.m_Value.data(), Id.m_Value.size())));
  return PromptPartId(Text);
}

} // namespace

std::uint64_t hashSharedPrefix(const std::vector<PromptPart> &Parts) {
  std::uint64_t Hash = 0;
  for (std::size_t Index = 0; Index + 1 < Parts.size(); ++Index) {
    const std::string &Id = Parts[Index].m_Id.m_Value;
    Hash = XXH3_64bits_withSeed(Id.data(), Id.size(), Hash);
  }
  return Hash;
}

std::uint64_t hashOwnPart(const std::vector<PromptPart> &Parts) {
  if (Parts.empty())
    return 0;
  const std::string &Id = Parts.back().m_Id.m_Value;
  return XXH3_64bits(Id.data(), Id.size());
}

std::vector<PromptPartId> sharedParts(const std::vector<PromptPart> &Parts) {
  std::vector<PromptPartId> Ids;
  for (std::size_t Index = 0;
       Index + 1 < Parts.size() && Ids.size() < MaxSharedParts; ++Index) {
    PromptPartId Id = boundedId(Parts[Index].m_Id);
    if (std::find(Ids.begin(), Ids.end(), Id) == Ids.end())
      Ids.push_back(std::move(Id));
  }
  return Ids;
}

std::string joinPartIds(const std::vector<PromptPartId> &Ids) {
  std::string Text;
  for (const PromptPartId &Id : Ids) {
    if (!Text.empty())
      Text.push_back(Separator);
    Text += Id.m_Value;
  }
  return Text;
}

std::vector<PromptPartId> splitPartIds(const std::string &Text) {
  std::vector<PromptPartId> Ids;
  for (std::size_t From = 0; From < Text.size();) {
    std::size_t End = std::min(Text.find(Separator, From), Text.size());
    if (End > From)
      Ids.push_back(PromptPartId(Text.substr(From, End - From)));
    From = End + 1;
  }
  return Ids;
}

} // namespace vanillaferry
