#include "process/json_schema.hpp"
#include "version/section_values.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>
#include <set>

namespace vanillaferry {

namespace {

using nlohmann::json;

constexpr std::size_t Sha256HexLength = 64;

bool isId(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(), [](unsigned char Letter) {
    return std::isalnum(Letter) || Letter == '.' || Letter == '_' ||
           Letter == ':' || Letter == '-';
  });
}

bool isSha256Hex(const std::string &Text) {
  return Text.size() == Sha256HexLength &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool isHttpUrl(const std::string &Text) {
  const std::string Prefix = "http://";
  return Text.compare(0, Prefix.size(), Prefix) == 0 &&
         Text.size() > Prefix.size() && Text[Prefix.size()] != '/' &&
         Text.find_first_of(" \t\r\n") == std::string::npos;
}

bool isMethod(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(), [](unsigned char Letter) {
    return Letter >= 'A' && Letter <= 'Z';
  });
}

/// Collects the errors of one section.
struct ValueChecker {
  SectionName m_Section;
  SectionCheck m_Check;

  void addError(const std::string &Path, const json &Value,
                const std::string &Expected) {
    m_Check.m_Errors.push_back(
        {m_Section, Path, abbreviatedJson(Value), Expected});
  }

  /// Calls Visit for a field that holds a string.
  template <typename Visitor>
  void visitString(const json &Row, const std::string &Path, const char *Field,
                   const Visitor &Visit) {
    if (!Row.is_object())
      return;
    json::const_iterator Found = Row.find(Field);
    if (Found != Row.end() && Found->is_string())
      Visit(Path + "/" + Field, Found->get<std::string>());
  }

  /// Calls Visit for each item of a field that holds an array.
  template <typename Visitor>
  void visitItems(const json &Row, const std::string &Path, const char *Field,
                  const Visitor &Visit) {
    if (!Row.is_object())
      return;
    json::const_iterator Found = Row.find(Field);
    if (Found == Row.end() || !Found->is_array())
      return;
    for (std::size_t I = 0; I < Found->size(); ++I)
      Visit((*Found)[I], Path + "/" + Field + "/" + std::to_string(I));
  }

  void checkId(const json &Row, const std::string &Path, const char *Field) {
    visitString(
        Row, Path, Field, [&](const std::string &At, const std::string &Id) {
          if (!isId(Id))
            addError(At, Id, "only letters, digits and the characters . _ : -");
        });
  }

  void checkUniqueId(const json &Row, const std::string &Path,
                     const char *Field, std::set<std::string> &Seen,
                     const char *Kind) {
    checkId(Row, Path, Field);
    visitString(
        Row, Path, Field, [&](const std::string &At, const std::string &Id) {
          if (!Seen.insert(Id).second)
            addError(At, Id, std::string("a ") + Kind + " that appears once");
        });
  }
};

void checkAccounts(ValueChecker &Checker, const json &Value) {
  std::set<std::string> Ids;
  std::set<std::string> Hashes;
  Checker.visitItems(
      Value, "", "accounts", [&](const json &Row, const std::string &Path) {
        Checker.checkUniqueId(Row, Path, "id", Ids, "client account");
        Checker.visitItems(
            Row, Path, "api_key_sha256",
            [&](const json &Hash, const std::string &At) {
              if (!Hash.is_string())
                return;
              std::string Text = Hash.get<std::string>();
              if (!isSha256Hex(Text))
                Checker.addError(At, Hash,
                                 "64 hexadecimal digits in lower case");
              else if (!Hashes.insert(Text).second)
                Checker.addError(At, Hash,
                                 "an API key that belongs to one account");
            });
      });
}

void checkTargets(ValueChecker &Checker, const json &Service,
                  const std::string &Path, std::set<std::string> &Ids) {
  Checker.visitItems(
      Service, Path, "targets", [&](const json &Row, const std::string &At) {
        Checker.checkUniqueId(Row, At, "id", Ids, "target");
        Checker.checkId(Row, At, "vm");
        Checker.checkId(Row, At, "zone");
        Checker.visitString(
            Row, At, "url",
            [&](const std::string &UrlPath, const std::string &Url) {
              if (!isHttpUrl(Url))
                Checker.addError(UrlPath, Url,
                                 "a URL that starts with http://");
            });
        if (Row.is_object() && Row.contains("cold_limit") &&
            Row.contains("max_concurrent") &&
            Row["cold_limit"].is_number_integer() &&
            Row["max_concurrent"].is_number_integer() &&
            Row["cold_limit"] > Row["max_concurrent"])
          Checker.addError(At + "/cold_limit", Row["cold_limit"],
                           "at most max_concurrent");
      });
}

void checkServices(ValueChecker &Checker, const json &Value) {
  std::set<std::string> Names;
  // Target ids are unique across services, because ownership and the journal
  // identify a target without its service.
  std::set<std::string> TargetIds;
  Checker.visitItems(
      Value, "", "services", [&](const json &Row, const std::string &Path) {
        Checker.checkUniqueId(Row, Path, "name", Names, "service");
        Checker.visitItems(
            Row, Path, "idempotent_methods",
            [&](const json &Method, const std::string &At) {
              if (Method.is_string() && !isMethod(Method.get<std::string>()))
                Checker.addError(At, Method, "an HTTP method in upper case");
            });
        checkTargets(Checker, Row, Path, TargetIds);
      });
}

void checkModels(ValueChecker &Checker, const json &Value) {
  std::set<std::string> Names;
  Checker.visitItems(Value, "", "models",
                     [&](const json &Row, const std::string &Path) {
                       Checker.checkUniqueId(Row, Path, "name", Names, "model");
                       Checker.checkId(Row, Path, "service");
                     });
}

void checkZones(ValueChecker &Checker, const json &Value) {
  std::set<std::string> Ids;
  Checker.visitItems(
      Value, "", "zones", [&](const json &Row, const std::string &Path) {
        Checker.checkUniqueId(Row, Path, "id", Ids, "availability zone");
      });
}

} // namespace

SectionCheck checkValues(const SectionName &Name, const json &Value) {
  ValueChecker Checker{Name, {}};
  if (Name.m_Value == AccountsSectionName)
    checkAccounts(Checker, Value);
  else if (Name.m_Value == ServicesSectionName)
    checkServices(Checker, Value);
  else if (Name.m_Value == ModelVersionsSectionName)
    checkModels(Checker, Value);
  else if (Name.m_Value == ZonesSectionName)
    checkZones(Checker, Value);
  return Checker.m_Check;
}

SectionCheck checkReferences(const DocumentSettings &Settings) {
  SectionCheck Check;
  std::set<PoolId> Engines;
  std::set<ZoneId> Zones;
  for (const PoolSettings &Pool : Settings.m_Services)
    if (Pool.m_Kind == ServiceKind::Engine)
      Engines.insert(Pool.m_Id);
  for (const ZoneSettings &Zone : Settings.m_Zones)
    Zones.insert(Zone.m_Id);
  for (std::size_t I = 0; I < Settings.m_Models.size(); ++I)
    if (Engines.count(Settings.m_Models[I].m_Service) == 0)
      Check.m_Errors.push_back(
          {SectionName(ModelVersionsSectionName),
           "/models/" + std::to_string(I) + "/service",
           abbreviatedJson(json(Settings.m_Models[I].m_Service.m_Value)),
           "a service of kind engine in section services"});
  for (std::size_t I = 0; I < Settings.m_Services.size(); ++I) {
    const std::vector<TargetSettings> &Targets =
        Settings.m_Services[I].m_Targets;
    for (std::size_t J = 0; J < Targets.size(); ++J)
      if (Zones.count(Targets[J].m_Zone) == 0)
        Check.m_Warnings.push_back(
            {SectionName(ServicesSectionName),
             "/services/" + std::to_string(I) + "/targets/" +
                 std::to_string(J) + "/zone",
             abbreviatedJson(json(Targets[J].m_Zone.m_Value)),
             "a zone in section zones (the target gets no work until it is "
             "listed)"});
  }
  return Check;
}

} // namespace vanillaferry
