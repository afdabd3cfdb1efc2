#include "connection/target_list_reader.hpp"

#include "connection/platform_protocol.hpp"
#include "connection/text_fetch.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/thread_meter.hpp"

#include <algorithm>
#include <libsoup/soup.h>

namespace vanillaferry {

namespace {

constexpr std::int64_t PageTimeoutMs = 1500;
constexpr Millis SlowReading{1000};

/// Where the time of one reading went.
struct ReadingTimes {
  Millis m_PageBeganAt;
  /// From requests to the last bytes of their answers.
  Millis m_Platform;
  Millis m_LongestPage;
  Millis m_Parse;
};

} // namespace

/// State of the thread that reads.
struct TargetListReader::Pages : std::enable_shared_from_this<Pages> {
  Pages(const PlatformProtocol &Protocol, std::string Address,
        Mailbox<TargetListReading> &Readings)
      : m_Protocol(Protocol), m_Address(std::move(Address)),
        m_Readings(Readings), m_Session(makeTargetSession()) {}

  void begin();
  void readPage();
  void takePage(const std::string &Text);
  void logUnreadable();
  void finish(Result<std::vector<ListedTarget>> Read);

  const PlatformProtocol &m_Protocol;
  std::string m_Address;
  Mailbox<TargetListReading> &m_Readings;
  GHandle<SoupSession> m_Session;
  std::vector<ListedTarget> m_Collected;
  /// Entries of the present and of the last reading that name no target.
  std::size_t m_Unreadable = 0;
  std::size_t m_UnreadableBefore = 0;
  std::string m_PageToken;
  std::uint64_t m_PagesRead = 0;
  Millis m_BeganAt;
  ReadingTimes m_Times;
  bool m_Waiting = false;
};

void TargetListReader::Pages::begin() {
  m_BeganAt = monotonicNow();
  m_PageToken.clear();
  m_Collected.clear();
  m_Unreadable = 0;
  m_PagesRead = 0;
  m_Times = ReadingTimes();
  readPage();
}

void TargetListReader::Pages::readPage() {
  ++m_PagesRead;
  m_Waiting = true;
  m_Times.m_PageBeganAt = monotonicNow();
  fetchText(m_Session.get(),
            "http://" + m_Address + m_Protocol.m_TargetListPath(m_PageToken),
            PageTimeoutMs, [Weak = weak_from_this()](const std::string &Text) {
              if (std::shared_ptr<Pages> Self = Weak.lock())
                Self->takePage(Text);
            });
}

void TargetListReader::Pages::takePage(const std::string &Text) {
  m_Waiting = false;
  Millis AnsweredAt = monotonicNow();
  Millis Took = AnsweredAt - m_Times.m_PageBeganAt;
  m_Times.m_Platform = m_Times.m_Platform + Took;
  m_Times.m_LongestPage = std::max(m_Times.m_LongestPage, Took);
  if (Text.empty())
    return finish(makeError(ErrorCode::Unavailable, "no answer"));
  Result<TargetPage> Page = m_Protocol.m_ReadTargetPage(Text);
  m_Times.m_Parse = m_Times.m_Parse + (monotonicNow() - AnsweredAt);
  if (!Page)
    return finish(Page.error());
  for (ListedTarget &Entry : Page.value().m_Targets)
    m_Collected.push_back(std::move(Entry));
  m_Unreadable += Page.value().m_Unreadable;
  m_PageToken = Page.value().m_Next;
  if (!m_PageToken.empty())
    return readPage();
  logUnreadable();
  finish(std::move(m_Collected));
}

/// Entries of other writers stay for long; only a change is worth a line.
void TargetListReader::Pages::logUnreadable() {
  if (m_Unreadable == m_UnreadableBefore)
    return;
  m_UnreadableBefore = m_Unreadable;
  logEvent(Event::TargetListFailed,
           {{"why", "entries that name no target are skipped"},
            {"entries", static_cast<std::uint64_t>(m_Unreadable)}});
}

void TargetListReader::Pages::finish(Result<std::vector<ListedTarget>> Read) {
  Millis Took = monotonicNow() - m_BeganAt;
  if (Took >= SlowReading)
    logEvent(Event::TargetListSlow,
             {{"took_ms", Took.m_Value},
              {"pages", m_PagesRead},
              {"platform_ms", m_Times.m_Platform.m_Value},
              {"longest_page_ms", m_Times.m_LongestPage.m_Value},
              {"parse_ms", m_Times.m_Parse.m_Value}});
  m_Readings.post({std::move(Read), m_BeganAt});
}

TargetListReader::TargetListReader(const PlatformProtocol &Protocol,
                                   std::string Address, OnRead Read)
    : m_OnRead(std::move(Read)), m_Readings(
                                     g_main_context_get_thread_default(),
                                     [this](TargetListReading Done) {
                                       m_Reading = false;
                                       m_OnRead(std::move(Done));
                                     },
                                     MailboxOptions{G_PRIORITY_HIGH}),
      m_Context(g_main_context_new()),
      m_Loop(g_main_loop_new(m_Context, FALSE)),
      m_Begin(m_Context, [this](Begin) { m_Pages->begin(); }),
      m_Thread([this, &Protocol, Address = std::move(Address)] {
        run(Protocol, Address);
      }) {}

TargetListReader::~TargetListReader() {
  GSource *Quit = g_idle_source_new();
  g_source_set_callback(
      Quit,
      [](gpointer Loop) -> gboolean {
        g_main_loop_quit(static_cast<GMainLoop *>(Loop));
        return G_SOURCE_REMOVE;
      },
      m_Loop, nullptr);
  g_source_attach(Quit, m_Context);
  g_source_unref(Quit);
  m_Thread.join();
  g_main_loop_unref(m_Loop);
  g_main_context_unref(m_Context);
}

void TargetListReader::run(const PlatformProtocol &Protocol,
                           const std::string &Address) {
  ThreadMeter Meter("list");
  g_main_context_push_thread_default(m_Context);
  m_Pages = std::make_shared<Pages>(Protocol, Address, m_Readings);
  g_main_loop_run(m_Loop);
  // A page under way ends through its callback, which owns memory.
  soup_session_abort(m_Pages->m_Session.get());
  while (m_Pages->m_Waiting)
    g_main_context_iteration(m_Context, TRUE);
  m_Pages.reset();
  g_main_context_pop_thread_default(m_Context);
}

void TargetListReader::read() {
  if (m_Reading)
    return;
  m_Reading = true;
  m_Begin.post({});
}

} // namespace vanillaferry
