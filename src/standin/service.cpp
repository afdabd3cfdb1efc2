#include "service.hpp"

#include "http_server.hpp"

#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

namespace vanillaferry::standin {

namespace {

using nlohmann::json;

/// Faults that tests switch on through POST /fault.
struct ServiceFaults {
  /// Run this many requests and close without an answer.
  std::uint32_t m_RunAndClose = 0;
  /// Read this many requests and close without running them.
  std::uint32_t m_ReadAndClose = 0;
  std::uint32_t m_DelayMs = 0;
};

struct ServiceState {
  ServiceOptions m_Options;
  ServiceFaults m_Faults;
  std::uint64_t m_Arrivals = 0;
  std::uint64_t m_NextRun = 1;
  /// Number of runs by idempotency key or, without one, by request id.
  std::map<std::string, std::uint32_t> m_Runs;
  gint64 m_LastArrivalMs = 0;
};

struct DelayedAnswer {
  SoupServerMessage *m_Message = nullptr;
  json m_Body;
};

gboolean sendAnswer(gpointer Data) {
  DelayedAnswer *Delayed = static_cast<DelayedAnswer *>(Data);
  answerJson(Delayed->m_Message, 200, Delayed->m_Body);
  soup_server_message_unpause(Delayed->m_Message);
  g_object_unref(Delayed->m_Message);
  delete Delayed;
  return G_SOURCE_REMOVE;
}

void handleFault(ServiceState &Service, SoupServerMessage *Message) {
  json Body = json::parse(requestBody(Message), nullptr, false);
  if (!Body.is_object()) {
    answerJson(Message, 400, {{"error", "the body is not a JSON object"}});
    return;
  }
  Service.m_Faults.m_RunAndClose = Body.value("run_and_close", 0u);
  Service.m_Faults.m_ReadAndClose = Body.value("read_and_close", 0u);
  Service.m_Faults.m_DelayMs = Body.value("delay_ms", 0u);
  answerJson(Message, 200, {{"ok", true}});
}

void handleStats(const ServiceState &Service, SoupServerMessage *Message) {
  answerJson(Message, 200,
             {{"name", Service.m_Options.m_Name},
              {"arrivals", Service.m_Arrivals},
              {"last_arrival_unix_ms", Service.m_LastArrivalMs},
              {"runs", Service.m_Runs}});
}

void handleCall(ServiceState &Service, SoupServerMessage *Message,
                const std::string &Path) {
  ++Service.m_Arrivals;
  Service.m_LastArrivalMs = g_get_real_time() / 1000;
  ServiceFaults &Faults = Service.m_Faults;
  if (Faults.m_ReadAndClose != 0) {
    --Faults.m_ReadAndClose;
    dropConnection(Message);
    return;
  }
  std::string Key = requestHeader(Message, "Idempotency-Key");
  if (Key.empty())
    Key = requestHeader(Message, "X-Request-Id");
  ++Service.m_Runs[Key];
  recordRun(Service.m_Options.m_Record, Service.m_Options.m_Name,
            requestHeader(Message, "X-Request-Id"),
            requestHeader(Message, "Idempotency-Key"));
  std::uint64_t Run = Service.m_NextRun++;
  if (Faults.m_RunAndClose != 0) {
    --Faults.m_RunAndClose;
    dropConnection(Message);
    return;
  }
  DelayedAnswer *Delayed = new DelayedAnswer;
  Delayed->m_Message = Message;
  g_object_ref(Message);
  Delayed->m_Body = {{"service", Service.m_Options.m_Name},
                     {"path", Path},
                     {"run", Run},
                     {"received", requestBody(Message)}};
  soup_server_message_pause(Message);
  g_timeout_add(Service.m_Options.m_DelayMs + Faults.m_DelayMs, &sendAnswer,
                Delayed);
}

struct VmList {
  gint64 m_AtUs = 0;
  std::string m_Json;
};

struct PlatformState {
  PlatformOptions m_Options;
  std::vector<VmList> m_Lists;
};

void handleVms(PlatformState &Platform, SoupServerMessage *Message) {
  if (soup_server_message_get_method(Message) == SOUP_METHOD_POST) {
    Platform.m_Lists.push_back({g_get_monotonic_time(), requestBody(Message)});
    answerJson(Message, 200, {{"ok", true}});
    return;
  }
  // Each reader may set a lag of its own, to emulate readers that see different
  // lists.
  std::string LagText = queryValue(Message, "lag_ms");
  gint64 LagMs = LagText.empty()
                     ? gint64(Platform.m_Options.m_LagMs)
                     : g_ascii_strtoll(LagText.c_str(), nullptr, 10);
  gint64 AsOfUs = g_get_monotonic_time() - LagMs * 1000;
  std::string Shown = Platform.m_Lists.front().m_Json;
  for (const VmList &List : Platform.m_Lists)
    if (List.m_AtUs <= AsOfUs)
      Shown = List.m_Json;
  soup_server_message_set_status(Message, 200, nullptr);
  soup_server_message_set_response(Message, "application/json",
                                   SOUP_MEMORY_COPY, Shown.data(),
                                   Shown.size());
}

} // namespace

int runService(const ServiceOptions &Options) {
  ServiceState Service;
  Service.m_Options = Options;
  return serve(Options.m_Port,
               [&Service](SoupServerMessage *Message, const std::string &Path) {
                 if (Path == "/fault")
                   handleFault(Service, Message);
                 else if (Path == "/stats")
                   handleStats(Service, Message);
                 else
                   handleCall(Service, Message, Path);
               });
}

int runPlatform(const PlatformOptions &Options) {
  PlatformState Platform;
  Platform.m_Options = Options;
  std::ifstream File(Options.m_File);
  std::string First((std::istreambuf_iterator<char>(File)),
                    std::istreambuf_iterator<char>());
  Platform.m_Lists.push_back({0, First.empty() ? "{\"vms\":[]}" : First});
  return serve(Options.m_Port,
               [&Platform](SoupServerMessage *Message, const std::string &) {
                 handleVms(Platform, Message);
               });
}

} // namespace vanillaferry::standin
