#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace vanillaferry {

/// Milliseconds of the clock that all lines of a history share.
using HistoryTime = double;

enum class EditOutcome : std::uint8_t {
  Accepted,
  Conflict,
  IdReused,
  /// No answer arrived: the edit may take effect at any time after its start,
  /// or never.
  Unknown,
};

/// An operator's edit of a section.
struct HistoryEdit {
  std::string m_Section;
  std::string m_EditId;
  std::uint64_t m_Expected = 0;
  std::string m_Content;
  HistoryTime m_Start = 0;
  HistoryTime m_End = 0;
  EditOutcome m_Outcome = EditOutcome::Unknown;
  /// The version in the answer: the one after the edit, or in a conflict the
  /// current one.
  std::uint64_t m_Version = 0;
};

/// A read of a section at a keeper; version 0 when the section does not exist.
struct HistoryRead {
  std::string m_Section;
  HistoryTime m_Start = 0;
  HistoryTime m_End = 0;
  std::uint64_t m_Version = 0;
  std::string m_Content;
};

/// The document version that a router process reported.
struct HistoryRouterVersion {
  std::string m_Router;
  std::string m_Incarnation;
  HistoryTime m_Time = 0;
  std::uint64_t m_Version = 0;
  /// Whether the router accepted new work at that time.
  bool m_Ready = false;
};

/// The keepers' leader reported that a document version is in force.
struct HistoryInForce {
  HistoryTime m_Time = 0;
  std::uint64_t m_Version = 0;
};

enum class HistoryCallEnd : std::uint8_t {
  Answer,
  /// A refusal, or an explicit error event in a stream.
  Refused,
  /// The caller received neither by its deadline.
  Nothing,
};

/// A caller's request and its outcome.
struct HistoryCall {
  std::string m_Request;
  std::string m_Key;
  /// Text in the request that the answer must repeat.
  std::string m_Sent;
  std::string m_Received;
  HistoryTime m_Start = 0;
  HistoryTime m_End = 0;
  HistoryCallEnd m_Outcome = HistoryCallEnd::Nothing;
  /// The answer arrived without a gap and with its end marker.
  bool m_Complete = false;
  /// The refusal said that the request did not run.
  bool m_NotRun = false;
};

/// Record of a target that it began to run a request.
struct HistoryRun {
  std::string m_Target;
  std::string m_Request;
  std::string m_Key;
  HistoryTime m_Time = 0;
};

/// Location of a target.
struct HistoryTarget {
  std::string m_Target;
  std::string m_Zone;
  std::string m_Vm;
};

/// A zone or VM went out of service or returned to service.
struct HistoryServiceChange {
  bool m_IsZone = true;
  std::string m_Id;
  HistoryTime m_Time = 0;
  bool m_InService = false;
};

using HistoryEvent =
    std::variant<HistoryEdit, HistoryRead, HistoryRouterVersion, HistoryInForce,
                 HistoryCall, HistoryRun, HistoryTarget, HistoryServiceChange>;

struct HistoryLine {
  /// Number of the line in the file, from 1.
  std::size_t m_Number = 0;
  std::string m_Text;
  HistoryEvent m_Event;
};

using History = std::vector<HistoryLine>;

enum class HistoryRule : std::uint8_t {
  SectionRegister,
  RouterVersion,
  InForce,
  OneRunPerKey,
  NotRunIsTrue,
  OutOfService,
  AnswerMissing,
  AnswerMixedUp,
};

/// A violated rule and the shortest part of the history that shows it.
struct HistoryViolation {
  HistoryRule m_Rule = HistoryRule::SectionRegister;
  std::string m_Text;
  /// Indexes into the history, ascending.
  std::vector<std::size_t> m_Lines;
};

struct HistoryOptions {
  /// Milliseconds after which a zone or VM out of service must get no new work.
  HistoryTime m_OutOfServiceLimit = 3000;
  /// Search steps for one section; a section that is not decided within them is
  /// reported as a violation.
  std::uint64_t m_SearchLimit = 5000000;
};

/// Parses JSON lines (docs/history.md); the error names the line.
Result<History> parseHistory(const std::string &Text);

/// Checks all rules and returns every violation.
std::vector<HistoryViolation> checkHistory(const History &Lines,
                                           const HistoryOptions &Options);

/// The rule's name in reports.
const char *historyRuleName(HistoryRule Rule);

} // namespace vanillaferry
