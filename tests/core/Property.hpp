#pragma once

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>
#include <random>
#include <rapidcheck.h>
#include <sstream>
#include <string>
#include <utility>

namespace vanillaferry {

/// Seed of the property tests: VANILLAFERRY_TEST_SEED, or a random one.
inline std::uint64_t propertySeed() {
  const char *Given = std::getenv("VANILLAFERRY_TEST_SEED");
  if (Given)
    return std::strtoull(Given, nullptr, 10);
  std::random_device Device;
  return (std::uint64_t(Device()) << 32) | Device();
}

/// Factor for the number of runs: VANILLAFERRY_TEST_RUNS, or 1.
inline int propertyRuns(int Runs) {
  const char *Given = std::getenv("VANILLAFERRY_TEST_RUNS");
  return Given ? Runs * std::atoi(Given) : Runs;
}

/// Checks a property and prints the seed, so that a failure can be repeated.
template <typename Testable>
rc::detail::TestResult runProperty(const std::string &Name, int Runs,
                                   Testable &&Property) {
  rc::detail::TestParams Params;
  Params.seed = propertySeed();
  Params.maxSuccess = propertyRuns(Runs);
  std::cout << "property " << Name << " seed " << Params.seed << " runs "
            << Params.maxSuccess << std::endl;
  rc::detail::TestMetadata Metadata;
  Metadata.id = Name;
  Metadata.description = Name;
  return rc::detail::checkTestable(std::forward<Testable>(Property), Metadata,
                                   Params);
}

template <typename Testable>
void requireProperty(const std::string &Name, int Runs, Testable &&Property) {
  rc::detail::TestResult Outcome =
      runProperty(Name, Runs, std::forward<Testable>(Property));
  BOOST_TEST(true);
  if (Outcome.template is<rc::detail::SuccessResult>())
    return;
  std::ostringstream Text;
  rc::detail::printResultMessage(Outcome, Text);
  BOOST_FAIL(Text.str());
}

} // namespace vanillaferry
