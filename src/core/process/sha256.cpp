#include "process/sha256.hpp"

#include <openssl/sha.h>

namespace vanillaferry {

std::string sha256Hex(const std::string &Text) {
  unsigned char Digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest);
  constexpr char HexDigits[] = "0123456789abcdef";
  std::string Hex;
  Hex.reserve(2 * sizeof(Digest));
  for (unsigned char Byte : Digest) {
    Hex.push_back(HexDigits[Byte >> 4]);
    Hex.push_back(HexDigits[Byte & 0xF]);
  }
  return Hex;
}

} // namespace vanillaferry
