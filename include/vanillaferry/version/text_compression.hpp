#pragma once

#include "vanillaferry/process/result.hpp"

#include <string>

namespace vanillaferry {

/// Largest text in bytes that decompressText() returns.
constexpr std::size_t MaxDecompressedText = std::size_t(64) * 1024 * 1024;

/// A text compressed by zlib (RFC 1950), as bytes.
std::string compressText(const std::string &Text);
/// An error for damaged data, or a text above MaxDecompressedText.
Result<std::string> decompressText(const std::string &Data);

} // namespace vanillaferry
