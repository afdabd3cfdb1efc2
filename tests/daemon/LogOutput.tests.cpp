#include "process/clock.hpp"
#include "process/log.hpp"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace vanillaferry;

namespace {

/// Replaces standard output by a pipe for its lifetime.
struct CapturedOutput {
  int m_Saved = dup(STDOUT_FILENO);
  int m_Ends[2] = {-1, -1};

  CapturedOutput() {
    BOOST_REQUIRE(pipe(m_Ends) == 0);
    dup2(m_Ends[1], STDOUT_FILENO);
    fcntl(m_Ends[0], F_SETFL, O_NONBLOCK);
  }
  ~CapturedOutput() {
    dup2(m_Saved, STDOUT_FILENO);
    for (int Fd : {m_Saved, m_Ends[0], m_Ends[1]})
      close(Fd);
  }
  std::string read() const {
    std::string All;
    char Part[4096];
    for (ssize_t Got = ::read(m_Ends[0], Part, sizeof Part); Got > 0;
         Got = ::read(m_Ends[0], Part, sizeof Part))
      All.append(Part, static_cast<std::size_t>(Got));
    return All;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LogOutput)

// Guards against requests that wait for a log that nobody reads, and against
// lines that are dropped without a report.
BOOST_AUTO_TEST_CASE(AFullStandardOutputHoldsNothingUp) {
  CapturedOutput Output;
  LogOptions Options;
  Options.m_File = "-";
  Options.m_Format = "json";
  BOOST_REQUIRE(startLog(Options).has_value());
  std::string Long(900, 'x');
  Millis Begun = monotonicNow();
  for (int Line = 0; Line < 5000; ++Line)
    logEvent(Event::RequestEnded, {{"request", Long}});
  Millis Took = monotonicNow() - Begun;
  std::string First = Output.read();
  logEvent(Event::RequestEnded, {{"request", "after"}});
  std::string Second = Output.read();
  LogOptions Standard;
  Standard.m_File = "/dev/null";
  BOOST_REQUIRE(startLog(Standard).has_value());
  BOOST_TEST(Took < Millis(5000));
  BOOST_TEST(First.size() > 1000U);
  BOOST_TEST(First.size() < 1200U * 1100U);
  BOOST_TEST(First.back() == '\n');
  BOOST_TEST(Second.find("LogLinesDropped") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
