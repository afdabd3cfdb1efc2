#include "process/FaultCallers.hpp"

#include <chrono>

namespace vanillaferry::tests {

namespace {

using nlohmann::json;

constexpr std::size_t Operators = 3;
constexpr std::size_t OrderCallers = 3;
constexpr int EditLimitMs = 20000;
/// Longer than any freeze, so that only a dead router gives no answer.
constexpr int OrderLimitMs = 40000;

void pause(std::uint64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

/// A valid content of the section that differs for each edit.
json contentFor(const std::string &Section, const std::string &EditId,
                std::uint64_t Number) {
  if (Section == "limits")
    return {{"queue_length", 1000 + Number % 1000},
            {"default_deadline_ms", 30000},
            {"retry_share", 0.1},
            {"retry_floor", 10},
            {"max_header_bytes", 16384},
            {"max_body_bytes", 1048576},
            {"max_stream_bytes", 16777216},
            {"slow_sender_ms", 10000},
            {"stream_silence_ms", 2000},
            {"weight_store_loads_per_minute", 6}};
  return {{"models",
           {{{"name", "workshop"}, {"version", "1"}, {"service", "assistant"}},
            {{"name", EditId}, {"version", "1"}, {"service", "assistant"}}}}};
}

} // namespace

void RouterOutages::begin(std::size_t Router) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Outages.push_back({Router, historyNow(), 1e18});
}

void RouterOutages::end(std::size_t Router) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  for (Outage &One : m_Outages)
    if (One.m_Router == Router && One.m_End >= 1e18)
      One.m_End = historyNow();
}

bool RouterOutages::overlaps(std::size_t Router, double Start,
                             double End) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  for (const Outage &One : m_Outages)
    if (One.m_Router == Router && One.m_Start <= End && Start <= One.m_End)
      return true;
  return false;
}

void FoundFaults::add(const std::string &Fault) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Faults.push_back(Fault);
}

std::vector<std::string> FoundFaults::all() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Faults;
}

FaultCallers::FaultCallers(RouterFleet &Fleet, const RouterOutages &Outages,
                           FoundFaults &Found, std::size_t Routers,
                           std::uint64_t Seed)
    : m_Fleet(Fleet), m_Outages(Outages), m_Found(Found), m_Routers(Routers) {
  for (std::size_t I = 0; I < Operators; ++I)
    m_Threads.emplace_back([this, Seed, I] { operate(Seed + 100 + I, I); });
  for (std::size_t I = 0; I < OrderCallers; ++I)
    m_Threads.emplace_back([this, Seed, I] { sendOrders(Seed + 200 + I, I); });
}

FaultCallers::~FaultCallers() { stop(); }

void FaultCallers::stop() {
  m_Stop = true;
  for (std::thread &One : m_Threads)
    One.join();
  m_Threads.clear();
}

void FaultCallers::operate(std::uint64_t Seed, std::size_t Operator) {
  std::mt19937_64 Random(Seed);
  for (std::uint64_t Number = 0; !m_Stop; ++Number) {
    std::string Section = Random() % 2 == 0 ? "limits" : "model_versions";
    editOnce(Random, Section,
             "edit-" + std::to_string(Operator) + "-" + std::to_string(Number));
    pause(50 + Random() % 400);
  }
}

void FaultCallers::editOnce(std::mt19937_64 &Random, const std::string &Section,
                            const std::string &EditId) {
  double Start = historyNow();
  OperatorReply Read =
      m_Fleet.keepers().get("/document/" + Section, EditLimitMs);
  if (Read.m_HttpStatus != 200)
    return;
  ++m_Reads;
  std::uint64_t Version = Read.m_Body["version"].get<std::uint64_t>();
  m_Fleet.note({{"op", "read"},
                {"section", Section},
                {"start", Start},
                {"end", historyNow()},
                {"version", Version},
                {"content", Read.m_Body["content"].dump()}});
  json Content = contentFor(Section, EditId, Random());
  OperatorReply Reply =
      m_Fleet.recordedEdit(Section, Version, EditId, Content, EditLimitMs);
  ++m_Edits;
  if (Reply.m_HttpStatus == 200 || Reply.m_HttpStatus == 202)
    ++m_Accepted;
  else if (Reply.m_HttpStatus != 409 && Reply.m_HttpStatus != 0)
    m_Found.add("edit " + EditId + ": " + Reply.m_Body.dump());
  if (Random() % 4 == 0)
    m_Fleet.recordedEdit(Section, Version, EditId, Content, EditLimitMs);
}

void FaultCallers::sendOrders(std::uint64_t Seed, std::size_t Caller) {
  std::mt19937_64 Random(Seed);
  for (std::uint64_t Number = 0; !m_Stop; ++Number) {
    std::string Key =
        "order-" + std::to_string(Caller) + "-" + std::to_string(Number);
    {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      m_Orders[Key].m_Body = json({{"beams", Number}, {"key", Key}}).dump();
    }
    int Tries = 1 + static_cast<int>(Random() % 3);
    bool Together = Random() % 3 == 0;
    std::vector<std::thread> Others;
    for (int Try = 0; Try < Tries; ++Try) {
      std::size_t Router = Random() % m_Routers;
      if (Together)
        Others.emplace_back(
            [this, Key, Router, Try] { tryOrder(Key, Router, Try); });
      else
        tryOrder(Key, Router, Try);
    }
    for (std::thread &Other : Others)
      Other.join();
    pause(20 + Random() % 200);
  }
}

void FaultCallers::tryOrder(const std::string &Key, std::size_t Router,
                            int Try) {
  std::string Body;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Body = m_Orders[Key].m_Body;
  }
  double Start = historyNow();
  OperatorReply Reply = m_Fleet.order(Router, Key, Body, OrderLimitMs);
  noteOrder(Key, Router, Try, Start, Reply);
}

void FaultCallers::noteOrder(const std::string &Key, std::size_t Router,
                             int Try, double Start,
                             const OperatorReply &Reply) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  Order &Known = m_Orders[Key];
  json Line = {
      {"op", "call"},      {"request", Key + "#" + std::to_string(Try)},
      {"key", Key},        {"start", Start},
      {"complete", false}, {"end", historyNow()},
      {"not_run", false},  {"sent", Known.m_Body},
      {"received", ""},    {"outcome", "nothing"}};
  bool Object = Reply.m_Body.is_object();
  bool NotRun = false;
  if (Reply.m_HttpStatus == 200 && Object && Reply.m_Body.contains("run")) {
    Line["outcome"] = "answer";
    Line["complete"] = true;
    Line["received"] = Reply.m_Body.value("received", std::string());
    if (!Known.m_Answer.empty() && Known.m_Answer != Reply.m_Body.dump())
      m_Found.add(Key + " has two answers: " + Known.m_Answer + " and " +
                  Reply.m_Body.dump());
    Known.m_Answer = Reply.m_Body.dump();
  } else if (Reply.m_HttpStatus >= 400 && Object &&
             Reply.m_Body.contains("error")) {
    Line["outcome"] = "refused";
    const json &Error = Reply.m_Body["error"];
    ++m_Refused[Error.value("name", std::string("unnamed"))];
    NotRun = Error.value("not_run", json()) == json(true);
    Line["not_run"] = NotRun;
  } else if (m_Outages.overlaps(Router, Start, historyNow())) {
    Known.m_AllNotRun = false;
    return;
  } else {
    m_Found.add(Key + " at router " + std::to_string(Router) + ": status " +
                std::to_string(Reply.m_HttpStatus) + " after " +
                std::to_string(historyNow() - Start) + " ms " +
                Reply.m_Body.dump() + " " + Reply.m_Fault);
  }
  Known.m_AllNotRun = Known.m_AllNotRun && NotRun;
  m_Fleet.note(Line);
}

void FaultCallers::checkOrders() {
  json Runs = m_Fleet.statsOf(m_Fleet.serviceUrl())["runs"];
  std::size_t Asked = 0;
  for (const std::pair<const std::string, Order> &Row : m_Orders) {
    const Order &Sent = Row.second;
    std::uint64_t Ran = Runs.value(Row.first, std::uint64_t(0));
    if (Ran > 1)
      m_Found.add(Row.first + " ran " + std::to_string(Ran) + " times");
    if (Ran != 0 && Sent.m_AllNotRun)
      m_Found.add(Row.first + " ran, and every answer said not run");
    if (Ran == 0 && !Sent.m_Answer.empty())
      m_Found.add(Row.first + " was answered and did not run");
    // One in four, so that the check of a long run stays short.
    if (Sent.m_Answer.empty() || ++Asked % 4 != 0)
      continue;
    OperatorReply Again =
        m_Fleet.order(Asked % m_Routers, Row.first, Sent.m_Body, OrderLimitMs);
    if (Again.m_Body.dump() != Sent.m_Answer)
      m_Found.add(Row.first + " had answer " + Sent.m_Answer + ", now " +
                  Again.m_Body.dump());
  }
}

std::string FaultCallers::summary() const {
  std::size_t Answered = 0;
  for (const std::pair<const std::string, Order> &Row : m_Orders)
    if (!Row.second.m_Answer.empty())
      ++Answered;
  return std::to_string(m_Edits) + " edits, " + std::to_string(m_Accepted) +
         " accepted, " + std::to_string(m_Reads) + " reads, " +
         std::to_string(m_Orders.size()) + " orders, " +
         std::to_string(Answered) + " answered, refused " +
         json(m_Refused).dump();
}

} // namespace vanillaferry::tests
