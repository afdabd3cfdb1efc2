#include "process/digest.hpp"

#include <openssl/crypto.h>

namespace vanillaferry {

bool equalConstantTime(const std::string &A, const std::string &B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace vanillaferry
