#include "version/router_document.hpp"

namespace vanillaferry {

namespace {

void indexDocument(RouterDocument &Document) {
  Document.m_Accounts.clear();
  Document.m_Keys.clear();
  Document.m_Services.clear();
  Document.m_Models.clear();
  for (const AccountEntry &Entry : Document.m_Settings.m_Accounts) {
    Document.m_Accounts.push_back(Entry.m_Settings);
    for (const std::string &Hash : Entry.m_ApiKeyHashes)
      Document.m_Keys.push_back({Entry.m_Settings.m_Id, Hash});
  }
  for (const PoolSettings &Pool : Document.m_Settings.m_Services)
    Document.m_Services[Pool.m_Id] = Pool;
  for (const ModelVersion &Model : Document.m_Settings.m_Models)
    Document.m_Models[Model.m_Name] = Model.m_Service;
}

} // namespace

Status applySection(RouterDocument &Document, const SectionContent &Section) {
  SectionCheck Check =
      readSection(Section.m_Name, Section.m_Json, Document.m_Settings);
  if (!Check.m_Errors.empty())
    return makeError(ErrorCode::InvalidDocument,
                     issueText(Check.m_Errors.front()));
  indexDocument(Document);
  return boost::outcome_v2::success();
}

} // namespace vanillaferry
