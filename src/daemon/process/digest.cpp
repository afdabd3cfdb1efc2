#include "process/digest.hpp"

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace vanillaferry {

std::string sha256Hex(const std::string &Data) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest;
  SHA256(reinterpret_cast<const unsigned char *>(Data.data()), Data.size(),
         Digest.data());
  static const char Digits[] = "0123456789abcdef";
  std::string Hex;
  for (unsigned char Byte : Digest) {
    Hex += Digits[Byte >> 4];
    Hex += Digits[Byte & 15];
  }
  return Hex;
}

bool equalConstantTime(const std::string &A, const std::string &B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace vanillaferry
