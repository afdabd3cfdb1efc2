#include "vanillaferry/process/prefix_export.hpp"

#include <boost/test/unit_test.hpp>

using namespace vanillaferry;

BOOST_AUTO_TEST_SUITE(PrefixExports)

// Guards against a burst of copies at engines that serve chats.
BOOST_AUTO_TEST_CASE(CopiesStartSpacedAndWithLimitedConcurrency) {
  ExportOptions Options;
  Options.m_MaxChats = 6;
  PrefixExport Export =
      beginExport({1, 2, 3, 4, 5, 6, 7, 8}, Options, Millis(1000));
  BOOST_TEST(*nextCopy(Export, Millis(1000)) == 1U);
  BOOST_TEST(!nextCopy(Export, Millis(1000)));
  BOOST_TEST(!nextCopy(Export, Millis(1049)));
  BOOST_TEST(*nextCopy(Export, Millis(1500)) == 2U);
  BOOST_TEST(!nextCopy(Export, Millis(1501)));
  BOOST_TEST(*nextCopy(Export, Millis(1550)) == 3U);
  BOOST_TEST(*nextCopy(Export, Millis(1600)) == 4U);
  BOOST_TEST(!nextCopy(Export, Millis(1700)));
  noteCopied(Export, true);
  BOOST_TEST(*nextCopy(Export, Millis(1700)) == 5U);
  noteCopied(Export, true);
  BOOST_TEST(*nextCopy(Export, Millis(1800)) == 6U);
  noteCopied(Export, true);
  BOOST_TEST(!nextCopy(Export, Millis(1900)));
  BOOST_TEST(!exportEnded(Export, Millis(1900)));
  for (int I = 0; I < 3; ++I)
    noteCopied(Export, true);
  BOOST_TEST(exportEnded(Export, Millis(1900)));
  BOOST_TEST(Export.m_Copied == 6U);
}

// Guards against copying from a VM that is gone, and against endless attempts.
BOOST_AUTO_TEST_CASE(CopiesEndAtTheTimeLimitAndAfterFailures) {
  PrefixExport Late = beginExport({1, 2}, ExportOptions(), Millis(0));
  BOOST_TEST(nextCopy(Late, Millis(0)).has_value());
  BOOST_TEST(!nextCopy(Late, Millis(20000)));
  BOOST_TEST(!exportEnded(Late, Millis(20000)));
  noteCopied(Late, true);
  BOOST_TEST(exportEnded(Late, Millis(20000)));

  PrefixExport Failing =
      beginExport({1, 2, 3, 4, 5, 6, 7}, ExportOptions(), Millis(0));
  Millis Now;
  for (bool Copied : {false, false, true, false, false, false}) {
    BOOST_TEST(nextCopy(Failing, Now).has_value());
    noteCopied(Failing, Copied);
    Now = Now + Millis(100);
  }
  BOOST_TEST(!nextCopy(Failing, Now));
  BOOST_TEST(exportEnded(Failing, Now));
  BOOST_TEST(Failing.m_Failed == 5U);
}

// Guards against abandoning the export because the most recent chats are still
// in their first turn, which the engine has not stored.
BOOST_AUTO_TEST_CASE(ChatsThatTheSourceDoesNotHoldAreNotFailures) {
  PrefixExport Export =
      beginExport({1, 2, 3, 4, 5, 6}, ExportOptions(), Millis(0));
  for (int I = 0; I < 5; ++I) {
    BOOST_TEST(nextCopy(Export, Millis(I * 100)).has_value());
    noteAbsent(Export);
  }
  BOOST_TEST(*nextCopy(Export, Millis(500)) == 6U);
  noteCopied(Export, true);
  BOOST_TEST(exportEnded(Export, Millis(600)));
  BOOST_TEST(Export.m_Failed == 0U);
  BOOST_TEST(Export.m_Copied == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
