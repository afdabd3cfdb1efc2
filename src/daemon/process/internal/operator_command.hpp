#pragma once

#include "connection/operator_client.hpp"

#include <CLI/CLI.hpp>
#include <functional>
#include <memory>
#include <string>

namespace vanillaferry::internal {

/// Options that all operator commands share.
struct OperatorOptions {
  std::string m_SettingsPath;
  bool m_Json = false;
  std::int64_t m_LimitMs = 15000;
};

/// Adds --settings, --json and --timeout-ms to a command.
std::shared_ptr<OperatorOptions> addOperatorOptions(CLI::App &Command);

/// Loads the settings and runs the body; returns the exit code.
int withSettings(const OperatorOptions &Options,
                 const std::function<int(const OperatorCliSettings &)> &Body);

/// Sends a request within the command's limit.
OperatorReply call(const OperatorCliSettings &Settings,
                   const OperatorOptions &Options,
                   const OperatorRequest &Request);

/// Prints a refusal to standard error and returns its exit code.
int reportRefusal(const OperatorReply &Reply);

/// A random id for one edit or order.
std::string newEditId(const char *Prefix = "edit");

struct EditInput {
  std::string m_Section;
  std::string m_Json;
  std::uint64_t m_Expected = 0;
  std::string m_EditId;
};

/// Sends an edit and waits until it is in force; the reply's status is 200,
/// 202 (accepted, not in force within the limit) or a refusal's.
OperatorReply sendEdit(const OperatorCliSettings &Settings,
                       const OperatorOptions &Options, const EditInput &Edit);

/// Prints the outcome of an edit and returns its exit code.
int reportEdit(const OperatorOptions &Options, const OperatorReply &Reply);

} // namespace vanillaferry::internal
