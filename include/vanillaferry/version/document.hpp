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

/// How long an edit's answer is kept for resends.
constexpr Millis EditAnswerRetention{24LL * 3600 * 1000};
/// Versions of a section that the history keeps.
constexpr std::size_t SectionHistoryLimit = 64;
/// Bytes of past content that a section's history keeps; the newest revision
/// stays in any case. Bounds the snapshot when a section is megabytes long.
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

/// One past version of a section.
struct SectionRevision {
  SectionVersion m_Version;
  DocumentVersion m_Document;
  OperatorId m_Operator;
  UnixMillis m_At;
  std::string m_Json;
};

struct Section {
  SectionVersion m_Version;
  DocumentVersion m_Changed;
  std::string m_Json;
  std::deque<SectionRevision> m_History;
};

/// The first answer to an edit id, kept for resends. The content of a conflict
/// is not kept; a resend gets it from the history, or the current content.
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

/// Compare-and-set of one section at a log index; a resend of an edit id gets
/// the first answer again.
EditAnswer applyEdit(Document &Doc, LogIndex Index, const EditSection &Edit);

/// Sections changed after this version, for a router that acknowledged it.
std::vector<SectionContent> changedSections(const Document &Doc,
                                            DocumentVersion Since);

/// Forgets answers older than EditAnswerRetention.
void expireEditAnswers(Document &Doc, UnixMillis Now);

} // namespace vanillaferry
