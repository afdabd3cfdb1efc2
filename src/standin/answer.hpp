#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace vanillaferry::standin {

/// What an emulated engine answers to a chat. The text follows from the
/// messages alone, so that a caller can check that its answer is whole and its
/// own.
struct ExpectedAnswer {
  std::uint64_t m_Seed = 0;
  std::uint32_t m_Tokens = 0;
};

/// Reads messages and max_tokens of a chat-completions body.
ExpectedAnswer expectedAnswer(const nlohmann::json &Body);

/// Text of one token, with a trailing space.
std::string answerToken(const ExpectedAnswer &Answer, std::uint32_t Index);

/// Whole text of the answer.
std::string answerText(const ExpectedAnswer &Answer);

/// Number of whole tokens in a text produced by answerToken.
std::uint32_t countTokens(const std::string &Text);

/// Hash of the messages up to and including each one.
std::vector<std::uint64_t> prefixHashes(const nlohmann::json &Messages);

} // namespace vanillaferry::standin
