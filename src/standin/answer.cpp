#include "answer.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace vanillaferry::standin {

namespace {

constexpr std::uint32_t DefaultTokens = 32;

std::uint64_t hashText(const std::string &Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace

std::vector<std::uint64_t> prefixHashes(const nlohmann::json &Messages) {
  std::vector<std::uint64_t> Hashes;
  std::uint64_t Hash = 0;
  for (const nlohmann::json &Message : Messages) {
    Hash = hashText(Message.value("role", std::string()), Hash);
    Hash = hashText(Message.value("content", std::string()), Hash);
    Hashes.push_back(Hash);
  }
  return Hashes;
}

ExpectedAnswer expectedAnswer(const nlohmann::json &Body) {
  ExpectedAnswer Answer;
  std::vector<std::uint64_t> Hashes = prefixHashes(Body.at("messages"));
  Answer.m_Seed = Hashes.empty() ? 0 : Hashes.back();
  Answer.m_Tokens = Body.value("max_tokens", DefaultTokens);
  return Answer;
}

std::string answerToken(const ExpectedAnswer &Answer, std::uint32_t Index) {
  std::uint64_t Hash =
      XXH3_64bits_withSeed(&Index, sizeof(Index), Answer.m_Seed);
  static const char Letters[] = "abcdefghijklmnopqrstuvwxyz";
  std::string Word;
  for (int I = 0; I < 6; ++I) {
    Word += Letters[Hash % 26];
    Hash /= 26;
  }
  return Word + " ";
}

std::string answerText(const ExpectedAnswer &Answer) {
  std::string Text;
  for (std::uint32_t I = 0; I < Answer.m_Tokens; ++I)
    Text += answerToken(Answer, I);
  return Text;
}

std::uint32_t countTokens(const std::string &Text) {
  return static_cast<std::uint32_t>(std::count(Text.begin(), Text.end(), ' '));
}

} // namespace vanillaferry::standin
