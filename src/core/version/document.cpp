#include "vanillaferry/version/document.hpp"

#include "process/sha256.hpp"

namespace vanillaferry {

namespace {

/// Hash of the fields that identify an edit. The time is left out, because a
/// resend may carry a new timestamp.
std::string fingerprintOf(const EditSection &Edit) {
  std::string Text;
  for (const std::string *Part :
       {&Edit.m_Operator.m_Value, &Edit.m_Section.m_Value, &Edit.m_Json})
    Text += std::to_string(Part->size()) + ":" + *Part;
  return sha256Hex(Text + std::to_string(Edit.m_Expected.m_Value));
}

/// Content of a section at a version, or the current one when the history has
/// dropped it.
std::string contentAt(const Section &Current, SectionVersion Version) {
  for (const SectionRevision &Past : Current.m_History)
    if (Past.m_Version == Version)
      return Past.m_Json;
  return Current.m_Json;
}

void trimHistory(std::deque<SectionRevision> &History) {
  std::int64_t Kept = 0;
  std::size_t Count = 0;
  while (Count < History.size() && Count < SectionHistoryLimit) {
    const SectionRevision &Past = History[History.size() - 1 - Count];
    Kept += static_cast<std::int64_t>(Past.m_Json.size());
    if (Count > 0 && Kept > SectionHistoryBytes.m_Value)
      break;
    ++Count;
  }
  while (History.size() > Count)
    History.pop_front();
}

EditAnswer acceptEdit(Document &Doc, LogIndex Index, const EditSection &Edit) {
  Section &Target = Doc.m_Sections[Edit.m_Section];
  Target.m_Version = Edit.m_Expected + SectionVersion(1);
  Target.m_Changed = DocumentVersion(Index.m_Value);
  Target.m_Json = Edit.m_Json;
  Target.m_History.push_back({Target.m_Version, Target.m_Changed,
                              Edit.m_Operator, Edit.m_At, Edit.m_Json});
  trimHistory(Target.m_History);
  Doc.m_Version = Target.m_Changed;
  return {EditStatus::Accepted, Edit.m_Edit,   Edit.m_Section,
          Target.m_Version,     Doc.m_Version, std::string()};
}

EditAnswer refuseEdit(const Document &Doc, const EditSection &Edit,
                      EditStatus Status) {
  EditAnswer Answer;
  Answer.m_Status = Status;
  Answer.m_Edit = Edit.m_Edit;
  Answer.m_Section = Edit.m_Section;
  Answer.m_Document = Doc.m_Version;
  std::map<SectionName, Section>::const_iterator Found =
      Doc.m_Sections.find(Edit.m_Section);
  if (Found != Doc.m_Sections.end()) {
    Answer.m_Version = Found->second.m_Version;
    if (Status == EditStatus::Conflict)
      Answer.m_CurrentJson = Found->second.m_Json;
  }
  return Answer;
}

} // namespace

EditAnswer applyEdit(Document &Doc, LogIndex Index, const EditSection &Edit) {
  std::string Fingerprint = fingerprintOf(Edit);
  std::map<EditId, KeptEditAnswer>::const_iterator Kept =
      Doc.m_Answers.find(Edit.m_Edit);
  std::map<SectionName, Section>::const_iterator Found =
      Doc.m_Sections.find(Edit.m_Section);
  if (Kept != Doc.m_Answers.end()) {
    if (Kept->second.m_Fingerprint != Fingerprint)
      return refuseEdit(Doc, Edit, EditStatus::EditIdReused);
    EditAnswer Answer = Kept->second.m_Answer;
    if (Answer.m_Status == EditStatus::Conflict &&
        Found != Doc.m_Sections.end())
      Answer.m_CurrentJson = contentAt(Found->second, Answer.m_Version);
    return Answer;
  }
  SectionVersion Current = Found == Doc.m_Sections.end()
                               ? SectionVersion(0)
                               : Found->second.m_Version;
  EditAnswer Answer = Current == Edit.m_Expected
                          ? acceptEdit(Doc, Index, Edit)
                          : refuseEdit(Doc, Edit, EditStatus::Conflict);
  KeptEditAnswer Keep{Answer, std::move(Fingerprint), Edit.m_At};
  Keep.m_Answer.m_CurrentJson.clear();
  Doc.m_Answers.emplace(Edit.m_Edit, std::move(Keep));
  return Answer;
}

std::vector<SectionContent> changedSections(const Document &Doc,
                                            DocumentVersion Since) {
  std::vector<SectionContent> Changed;
  for (const std::pair<const SectionName, Section> &Row : Doc.m_Sections)
    if (Row.second.m_Changed > Since)
      Changed.push_back({Row.first, Row.second.m_Version, Row.second.m_Json});
  return Changed;
}

void expireEditAnswers(Document &Doc, UnixMillis Now) {
  std::map<EditId, KeptEditAnswer>::iterator Row = Doc.m_Answers.begin();
  while (Row != Doc.m_Answers.end()) {
    bool Old =
        Row->second.m_At.m_Value + EditAnswerRetention.m_Value < Now.m_Value;
    Row = Old ? Doc.m_Answers.erase(Row) : std::next(Row);
  }
}

} // namespace vanillaferry
