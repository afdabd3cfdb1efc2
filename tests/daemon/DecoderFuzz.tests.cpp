#include "fuzz/Decoders.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>

using namespace vanillaferry::tests;

namespace {

constexpr std::uint64_t DefaultSeed = 1;
/// Changed inputs for each decoder; docs/testing.md has the long run.
constexpr std::uint64_t DefaultRuns = 3000;

std::uint64_t numberFrom(const char *Variable, std::uint64_t Default) {
  const char *Text = std::getenv(Variable);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

/// Texts that turn numbers, types, nesting and lengths over.
const std::vector<std::string> &interestingTexts() {
  static const std::vector<std::string> Texts = {"-1",
                                                 "1e999",
                                                 "18446744073709551616",
                                                 "0.5",
                                                 "null",
                                                 "true",
                                                 "[]",
                                                 "{}",
                                                 "\"\\ud800\"",
                                                 "\xff",
                                                 "\n\n",
                                                 "data:",
                                                 "\x1b\xff\xff\xff\xff",
                                                 "\x9b\xff\xff",
                                                 "\x5f",
                                                 "\"\"",
                                                 "[[[[",
                                                 "\r\n",
                                                 "[DONE]"};
  return Texts;
}

std::string changed(std::string Text, const std::vector<std::string> &Seeds,
                    std::mt19937_64 &Random) {
  for (std::uint64_t Changes = 1 + Random() % 4; Changes > 0; --Changes) {
    std::size_t At = Text.empty() ? 0 : Random() % Text.size();
    const std::string &Other = Seeds[Random() % Seeds.size()];
    const std::string &Word =
        interestingTexts()[Random() % interestingTexts().size()];
    switch (Random() % 7) {
    case 0:
      if (!Text.empty())
        Text[At] = static_cast<char>(Text[At] ^ (1 << Random() % 8));
      break;
    case 1:
      if (!Text.empty())
        Text[At] = static_cast<char>(Random());
      break;
    case 2:
      Text.erase(At, 1 + Random() % 8);
      break;
    case 3:
      Text.insert(At, Word);
      break;
    case 4:
      Text.replace(At, 1 + Random() % 6, Word);
      break;
    case 5:
      Text.resize(At);
      break;
    default:
      Text = Text.substr(0, At) +
             Other.substr(Other.empty() ? 0 : Random() % Other.size());
    }
  }
  return Text;
}

std::string hexOf(const std::string &Bytes) {
  static const char Digits[] = "0123456789abcdef";
  std::string Hex;
  for (char Byte : Bytes.substr(0, 4000)) {
    Hex += Digits[static_cast<unsigned char>(Byte) / 16];
    Hex += Digits[static_cast<unsigned char>(Byte) % 16];
  }
  return Hex;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DecoderFuzz)

// Guards against input from callers, targets, operators, peers and the disk
// that crashes a process or leaves a decoder by an exception.
BOOST_AUTO_TEST_CASE(ChangedInputsNeverLeaveADecoderByAnException) {
  std::uint64_t Seed = numberFrom("VANILLAFERRY_FUZZ_SEED", DefaultSeed);
  std::uint64_t Runs = numberFrom("VANILLAFERRY_FUZZ_RUNS", DefaultRuns);
  for (const Decoder &Tested : allDecoders()) {
    std::mt19937_64 Random(Seed);
    std::vector<std::string> Seeds = Tested.m_Seeds();
    std::uint64_t Failed = 0;
    for (std::uint64_t Run = 0; Run < Runs && Failed < 3; ++Run) {
      const std::string &Valid = Seeds[Random() % Seeds.size()];
      std::string Input = Run == 0 ? "" : changed(Valid, Seeds, Random);
      try {
        Tested.m_Decode(Input);
      } catch (const std::exception &E) {
        ++Failed;
        BOOST_ERROR(Tested.m_Name << ", seed " << Seed << ", run " << Run
                                  << ": " << E.what() << ", input "
                                  << hexOf(Input));
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
