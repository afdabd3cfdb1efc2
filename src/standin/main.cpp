#include "engine.hpp"
#include "load.hpp"
#include "service.hpp"

#include <CLI/CLI.hpp>

using namespace vanillaferry::standin;

namespace {

void addEngine(CLI::App &App, EngineOptions &Options, int &Code) {
  CLI::App *Command = App.add_subcommand("engine", "Emulate a model engine");
  Command->add_option("--name", Options.m_Name, "Name in answers");
  Command->add_option("--port", Options.m_Port, "Port")->required();
  Command->add_option("--token-interval-ms", Options.m_TokenIntervalMs,
                      "Time between tokens");
  Command->add_option("--first-token-ms", Options.m_FirstTokenMs,
                      "Time to the first token");
  Command->add_option("--prefill-us", Options.m_PrefillUsPerToken,
                      "Time for each prompt token that is not cached");
  Command->add_option("--cache-tokens", Options.m_CacheTokens,
                      "Size of the prefix cache");
  Command->add_option(
      "--cold-limit", Options.m_ColdLimit,
      "Concurrent requests sustained while cold; 0 for no cold start");
  Command->add_option("--warm-after", Options.m_WarmAfter,
                      "Completed requests until the engine is warm");
  Command->add_option("--cold-slowdown", Options.m_ColdSlowdown,
                      "Factor of the first-token time while cold");
  Command->add_option("--checks-fencing", Options.m_ChecksFencing,
                      "Refuse orders with an outdated fencing token");
  Command->add_option("--report-lag-ms", Options.m_ReportLagMs,
                      "Age of load reports");
  Command->add_option("--event-lag-ms", Options.m_EventLagMs,
                      "Delay of cache events");
  Command->add_option("--event-loss", Options.m_EventLoss,
                      "Drop every Nth cache event; 0 for none");
  Command->add_option("--copy-ms", Options.m_CopyMs,
                      "Time to copy a prefix from another engine");
  Command->add_option("--record", Options.m_Record,
                      "File to append run lines of a history to");
  Command->add_option("--crash-on", Options.m_CrashOn,
                      "Exit at the start of an answer to messages of which "
                      "one before the last contains this text");
  Command->add_option("--crash-on-last", Options.m_CrashOnLast,
                      "Exit at the start of an answer to messages of which "
                      "the last one contains this text");
  Command->add_option("--resume-window-ms", Options.m_ResumeWindowMs,
                      "How long a broken stream can be resumed");
  Command->callback([&Options, &Code] { Code = runEngine(Options); });
}

void addService(CLI::App &App, ServiceOptions &Options, int &Code) {
  CLI::App *Command = App.add_subcommand("service", "Emulate a plain service");
  Command->add_option("--name", Options.m_Name, "Name in answers");
  Command->add_option("--port", Options.m_Port, "Port")->required();
  Command->add_option("--delay-ms", Options.m_DelayMs, "Time for each call");
  Command->add_option("--record", Options.m_Record,
                      "File to append run lines of a history to");
  Command->callback([&Options, &Code] { Code = runService(Options); });
}

void addPlatform(CLI::App &App, PlatformOptions &Options, int &Code) {
  CLI::App *Command = App.add_subcommand("platform", "Emulate the VM list");
  Command->add_option("--port", Options.m_Port, "Port")->required();
  Command->add_option("--lag-ms", Options.m_LagMs,
                      "Delay until a new list is shown");
  Command->add_option("--file", Options.m_File,
                      "JSON file with the initial list");
  Command->callback([&Options, &Code] { Code = runPlatform(Options); });
}

void addLoad(CLI::App &App, LoadOptions &Options, int &Code) {
  CLI::App *Command =
      App.add_subcommand("load", "Send chats and check every answer");
  Command->add_option("--router", Options.m_Routers, "Router URLs")->required();
  Command->add_option("--api-key", Options.m_ApiKey, "API key")->required();
  Command->add_option("--model", Options.m_Model, "Model")->required();
  Command->add_option("--chats", Options.m_Chats, "Concurrent chats");
  Command->add_option("--rate", Options.m_RequestsPerSecond,
                      "Requests per second");
  Command->add_option("--seconds", Options.m_Seconds, "Duration");
  Command->add_option("--max-tokens", Options.m_MaxTokens, "Answer length");
  Command->add_option("--turns", Options.m_Turns,
                      "Turns until a chat is replaced");
  Command->add_option("--seed", Options.m_Seed, "Seed");
  Command->add_option("--batch-share", Options.m_BatchShare,
                      "Share of batch requests");
  Command->add_option(
      "--retries", Options.m_Retries,
      "Retries at other routers after a refusal or a lost connection");
  Command->add_option("--history", Options.m_History, "History file");
  Command->add_option(
      "--warm-up", Options.m_WarmUpSeconds,
      "Seconds at the start that are not counted in reuse and times");
  Command->add_option("--min-pause", Options.m_MinPauseSeconds,
                      "Minimum seconds between two turns of a chat");
  Command->add_option("--engine", Options.m_Engines,
                      "Engine URLs whose load is sampled for the skew");
  Command->callback([&Options, &Code] { Code = runLoad(Options); });
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("vanillaferry-standin: emulated engines, services and platform "
               "for tests and the demo");
  App.require_subcommand(1);
  int Code = 0;
  EngineOptions Engine;
  ServiceOptions Service;
  PlatformOptions Platform;
  LoadOptions Load;
  addEngine(App, Engine, Code);
  addService(App, Service, Code);
  addPlatform(App, Platform, Code);
  addLoad(App, Load, Code);
  CLI11_PARSE(App, Count, Arguments);
  return Code;
}
