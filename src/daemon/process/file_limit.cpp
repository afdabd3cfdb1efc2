#include "process/file_limit.hpp"

#include <sys/resource.h>

namespace vanillaferry {

void raiseFileLimit() {
  rlimit Limit = {};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

} // namespace vanillaferry
