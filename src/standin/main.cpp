#include <CLI/CLI.hpp>

int main(int Count, char **Arguments) {
  CLI::App App("vanillaferry-standin: emulated engines, services and platform "
               "for tests and the demo");
  App.require_subcommand(1);
  CLI11_PARSE(App, Count, Arguments);
  return 0;
}
