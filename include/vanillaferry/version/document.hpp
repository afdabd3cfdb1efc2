#pragma once

#include "vanillaferry/connection/message.hpp"
#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/process/units.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace vanillaferry {

/// How long the answer to an edit is kept for resends of the same edit id.
constexpr Millis EditAnswerRetention{24LL * 3600 * 1000};
/// Revisions of a section that its history keeps.
constexpr std::size_t SectionHistoryLimit = 64;
/// Limit for the content kept in a section's history; the newest revision is
/// kept even when it is larger. Bounds the size of the snapshot when a section
/// is megabytes long.
constexpr Bytes SectionHistoryBytes{8 * 1024 * 1024};

/// Replaces a section's content if it still has the expected version.
struct EditSection {
  EditId m_Edit;
  OperatorId m_Operator;
  SectionName m_Section;
  /// 0 when the section must not exist yet.
  SectionVersion m_Expected;
  std::string m_Json;
  UnixMillis m_At;
};

enum class EditStatus : std::uint8_t {
  Accepted,
  /// The section has another version; the current one is attached.
  Conflict,
  /// The edit id was used for another edit.
  EditIdReused,
};

struct EditAnswer {
  EditStatus m_Status = EditStatus::Accepted;
  EditId m_Edit;
  SectionName m_Section;
  /// After the edit, or the current one in a conflict.
  SectionVersion m_Version;
  DocumentVersion m_Document;
  /// Current content in a conflict.
  std::string m_CurrentJson;
};

/// One version of a section, as kept in its history.
struct SectionRevision {
  SectionVersion m_Version;
  DocumentVersion m_Document;
  OperatorId m_Operator;
  UnixMillis m_At;
  std::string m_Json;
};

struct Section {
  SectionVersion m_Version;
  /// Document version of the last change.
  DocumentVersion m_Changed;
  std::string m_Json;
  std::deque<SectionRevision> m_History;
};

/// The first answer to an edit id, kept for resends. The content reported with
/// a conflict is not stored; a resend gets it from the history or, when the
/// history has dropped it, gets the current content.
struct KeptEditAnswer {
  EditAnswer m_Answer;
  std::string m_Fingerprint;
  UnixMillis m_At;
};

struct Document {
  DocumentVersion m_Version;
  std::map<SectionName, Section> m_Sections;
  std::map<EditId, KeptEditAnswer> m_Answers;
};

/// Applies the log entry at Index as a compare-and-set of one section; a resend
/// of an edit id gets the first answer again.
EditAnswer applyEdit(Document &Doc, LogIndex Index, const EditSection &Edit);

/// Sections changed after version Since, for a router that acknowledged Since.
std::vector<SectionContent> changedSections(const Document &Doc,
                                            DocumentVersion Since);

/// Removes answers older than EditAnswerRetention.
void expireEditAnswers(Document &Doc, UnixMillis Now);

} // namespace vanillaferry
