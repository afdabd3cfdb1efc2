#pragma once

#include "vanillaferry/process/ids.hpp"
#include "vanillaferry/request/account_limit.hpp"
#include "vanillaferry/version/pool.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace vanillaferry {

/// Names of the document's sections.
constexpr const char *AccountsSectionName = "accounts";
constexpr const char *ServicesSectionName = "services";
constexpr const char *ModelVersionsSectionName = "model_versions";
constexpr const char *ZonesSectionName = "zones";
constexpr const char *LimitsSectionName = "limits";

struct AccountEntry {
  AccountSettings m_Settings;
  /// Lower-case hex SHA-256 of each API key.
  std::vector<std::string> m_ApiKeyHashes;
};

struct ModelVersion {
  std::string m_Name;
  std::string m_Version;
  /// Service whose engines run the model.
  PoolId m_Service;
};

struct LimitSettings {
  std::uint32_t m_QueueLength = 1024;
  Millis m_DefaultDeadline{60000};
  double m_RetryShare = 0.1;
  std::uint32_t m_RetryFloor = 3;
  Bytes m_MaxHeader{16 * 1024};
  Bytes m_MaxBody{4 * 1024 * 1024};
  Bytes m_MaxStream{64 * 1024 * 1024};
  /// Time limit for a caller to send its request.
  Millis m_SlowSender{10000};
  /// A caller that reads nothing for this long while stream data waits for it
  /// counts as disconnected.
  Millis m_SlowReader{30000};
  /// A target's stream without data for this long counts as broken.
  Millis m_StreamSilence{5000};
  double m_WeightStoreLoadsPerMinute = 6;
};

/// The typed content of all sections; a missing section is empty.
struct DocumentSettings {
  std::vector<AccountEntry> m_Accounts;
  std::vector<PoolSettings> m_Services;
  std::vector<ModelVersion> m_Models;
  std::vector<ZoneSettings> m_Zones;
  LimitSettings m_Limits;
};

/// An error or a warning about one value of a section.
struct SectionIssue {
  SectionName m_Section;
  /// JSON pointer to the value.
  std::string m_Path;
  /// The value as JSON text, truncated; "nothing" when it is missing.
  std::string m_Value;
  std::string m_Expected;
};

/// The issue as "section path: expected ..., got value".
std::string issueText(const SectionIssue &Issue);

/// Result of a check. Warnings do not prevent an edit.
struct SectionCheck {
  std::vector<SectionIssue> m_Errors;
  std::vector<SectionIssue> m_Warnings;
};

/// Names of all sections.
std::vector<SectionName> sectionNames();

/// Parses and checks one section, and replaces its content in the settings. The
/// settings stay unchanged when there are errors.
SectionCheck readSection(const SectionName &Name, const std::string &Json,
                         DocumentSettings &Settings);

/// Checks the references between sections: models to services and targets to
/// zones.
SectionCheck checkReferences(const DocumentSettings &Settings);

/// Checks an edit of one section against the other sections of the document.
SectionCheck checkEdit(const std::map<SectionName, std::string> &Document,
                       const SectionName &Name, const std::string &Json);

} // namespace vanillaferry
