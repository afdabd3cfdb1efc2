#include "process/command_line.hpp"

int main(int Count, char **Arguments) {
  return vanillaferry::runCommandLine(Count, Arguments);
}
