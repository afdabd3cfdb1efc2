#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace vanillaferry::standin {

/// Answer of an emulated engine to a chat. The text depends only on the
/// messages, so that a caller can check that its answer is complete and not
/// that of another request.
struct ExpectedAnswer {
  std::uint64_t m_Seed = 0;
  std::uint32_t m_Tokens = 0;
};

/// Answer to a chat-completions body, from its messages and max_tokens.
ExpectedAnswer expectedAnswer(const nlohmann::json &Body);

/// Text of one token, with a trailing space.
std::string answerToken(const ExpectedAnswer &Answer, std::uint32_t Index);

/// Complete text of the answer.
std::string answerText(const ExpectedAnswer &Answer);

/// Number of complete tokens in a text produced by answerToken.
std::uint32_t countTokens(const std::string &Text);

/// For each message, the hash of all messages up to and including it.
std::vector<std::uint64_t> prefixHashes(const nlohmann::json &Messages);

} // namespace vanillaferry::standin
