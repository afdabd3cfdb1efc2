#include "process/command_line.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

using namespace vanillaferry;

namespace {

/// Runs check-history on a file with this text.
int checkText(const std::string &Text,
              const std::vector<std::string> &Options = {}) {
  std::string Path =
      "/tmp/vanillaferry-history-" + std::to_string(getpid()) + ".jsonl";
  std::ofstream(Path) << Text;
  std::vector<std::string> Words{"vanillaferry", "check-history", Path};
  Words.insert(Words.end(), Options.begin(), Options.end());
  std::vector<char *> Arguments;
  for (std::string &Word : Words)
    Arguments.push_back(Word.data());
  int Code =
      runCommandLine(static_cast<int>(Arguments.size()), Arguments.data());
  std::remove(Path.c_str());
  return Code;
}

const std::string Runs =
    "{\"op\":\"target\",\"target\":\"t\",\"zone\":\"z\",\"vm\":\"v\"}\n"
    "{\"op\":\"out\",\"zone\":\"z\",\"time\":0}\n"
    "{\"op\":\"run\",\"target\":\"t\",\"request\":\"q\",\"time\":3500}\n";

} // namespace

BOOST_AUTO_TEST_SUITE(CheckHistory)

// Guards against a test script that takes a faulty or unreadable history for a
// correct one.
BOOST_AUTO_TEST_CASE(ExitCodesTellFaultsFromUnreadableFiles) {
  BOOST_TEST(checkText(Runs) == ExitFailed);
  BOOST_TEST(checkText(Runs, {"--out-of-service-ms", "4000"}) == ExitOk);
  BOOST_TEST(checkText("{\"op\":\"run\"}\n") == ExitInvalidInput);
  BOOST_TEST(checkText("") == ExitInvalidInput);
}

BOOST_AUTO_TEST_SUITE_END()
