#include "vanillaferry/process/log_record.hpp"

#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

using namespace vanillaferry;

namespace {

LogRecord record(std::uint64_t Batch, bool EndsBatch,
                 const std::string &Payload) {
  LogRecord Made;
  Made.m_Batch = Batch;
  Made.m_EndsBatch = EndsBatch;
  Made.m_Payload = Payload;
  return Made;
}

/// Batches of two records each.
std::string segment(std::uint64_t Batches, std::size_t PayloadSize) {
  std::string Data;
  for (std::uint64_t I = 1; I <= Batches; ++I) {
    appendRecord(Data, record(I, false, std::string(PayloadSize, 'a')));
    appendRecord(Data, record(I, true, std::string(PayloadSize, 'b')));
  }
  return Data;
}

constexpr std::size_t Payload = 100;
const std::size_t RecordSize =
    Payload + static_cast<std::size_t>(RecordOverhead.m_Value);

} // namespace

BOOST_AUTO_TEST_SUITE(LogRecords)

// Guards against records that read back differently.
BOOST_AUTO_TEST_CASE(RecordsReadBackAsWritten) {
  std::string Data;
  appendRecord(Data, record(1, false, ""));
  appendRecord(Data, record(1, true, std::string("\0\x01vf", 4)));
  Result<SegmentScan> Scan = scanSegment(Data, false);
  BOOST_REQUIRE(Scan);
  BOOST_REQUIRE_EQUAL(Scan.value().m_Records.size(), 2u);
  BOOST_TEST(Scan.value().m_Records[1].m_Payload == std::string("\0\x01vf", 4));
  BOOST_TEST(Scan.value().m_Records[1].m_EndsBatch);
  BOOST_TEST(Scan.value().m_Torn == Bytes(0));
}

// Guards against an unfinished write that stops a keeper for good, or of which
// half a record is taken for whole.
BOOST_AUTO_TEST_CASE(EveryCutOfTheLastBatchIsATornTail) {
  std::string Data = segment(3, Payload);
  std::size_t LastBatch = 4 * RecordSize;
  for (std::size_t Size = LastBatch; Size < Data.size(); ++Size) {
    Result<SegmentScan> Scan = scanSegment(Data.substr(0, Size), true);
    BOOST_REQUIRE(Scan);
    std::size_t Whole = Size / RecordSize;
    BOOST_REQUIRE_EQUAL(Scan.value().m_Records.size(), Whole);
    BOOST_REQUIRE_EQUAL(Scan.value().m_Torn.m_Value,
                        static_cast<std::int64_t>(Size % RecordSize));
  }
}

// Guards against pages of one unsynced batch that reach the disk out of order.
BOOST_AUTO_TEST_CASE(DamageWithinTheLastBatchIsATornTail) {
  std::string Data = segment(3, Payload);
  for (std::size_t I = 0; I < RecordSize; ++I)
    Data[4 * RecordSize + I] = '\0';
  Result<SegmentScan> Scan = scanSegment(Data, true);
  BOOST_REQUIRE(Scan);
  BOOST_TEST(Scan.value().m_Records.size() == 4u);
  BOOST_TEST(Scan.value().m_Torn.m_Value ==
             static_cast<std::int64_t>(2 * RecordSize));
}

// Guards against acknowledged entries that are cut as if they were a torn tail.
BOOST_AUTO_TEST_CASE(DamageBeforeTheLastBatchIsAnErrorThatNamesTheOffset) {
  std::string Whole = segment(4, Payload);
  for (std::size_t Number = 0; Number < 6; ++Number)
    for (std::size_t At : {std::size_t(0), std::size_t(5), std::size_t(8),
                           std::size_t(17), RecordSize - 1}) {
      std::string Data = Whole;
      Data[Number * RecordSize + At] ^= 0x21;
      Result<SegmentScan> Scan = scanSegment(Data, true);
      BOOST_REQUIRE(!Scan);
      BOOST_TEST((Scan.error().m_Code == ErrorCode::Corrupt));
      BOOST_TEST(Scan.error().m_Text.find(
                     "offset " + std::to_string(Number * RecordSize)) !=
                 std::string::npos);
    }
}

// Guards against a torn tail in a segment that was closed after its sync.
BOOST_AUTO_TEST_CASE(ClosedSegmentsHaveNoTornTail) {
  std::string Data = segment(2, Payload);
  Result<SegmentScan> Scan =
      scanSegment(Data.substr(0, Data.size() - 1), false);
  BOOST_REQUIRE(!Scan);
  BOOST_TEST(
      Scan.error().m_Text.find("offset " + std::to_string(3 * RecordSize)) !=
      std::string::npos);
}

// Guards against a crash on bytes that no keeper wrote.
BOOST_AUTO_TEST_CASE(RandomBytesAreNeverTakenForRecords) {
  std::mt19937_64 Random(3);
  for (int I = 0; I < 2000; ++I) {
    std::string Data(Random() % 300, '\0');
    for (char &C : Data)
      C = static_cast<char>(Random());
    Result<SegmentScan> Scan = scanSegment(Data, true);
    BOOST_REQUIRE(Scan);
    BOOST_REQUIRE(Scan.value().m_Records.empty());
    decodeEntry(Data).has_value();
    decodeHardState(Data).has_value();
    decodeSegmentHead(Data).has_value();
    decodePosition(Data).has_value();
  }
}

BOOST_AUTO_TEST_SUITE_END()
