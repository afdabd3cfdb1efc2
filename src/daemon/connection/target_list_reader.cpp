#include "connection/target_list_reader.hpp"

#include "connection/platform_protocol.hpp"
#include "connection/text_fetch.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

namespace vanillaferry {

namespace {

constexpr std::int64_t PageTimeoutMs = 1500;
constexpr Millis SlowReading{1000};

} // namespace

TargetListReader::TargetListReader(const PlatformProtocol &Protocol,
                                   std::string Address, OnRead Read)
    : m_Protocol(Protocol), m_Address(std::move(Address)),
      m_OnRead(std::move(Read)), m_Session(makeTargetSession()) {}

void TargetListReader::read() {
  if (m_Reading)
    return;
  m_Reading = true;
  m_BeganAt = monotonicNow();
  m_CallsBefore = m_Calls;
  m_PageToken.clear();
  m_Collected.clear();
  m_Unreadable = 0;
  readPage();
}

void TargetListReader::readPage() {
  ++m_Calls;
  fetchText(m_Session.get(),
            "http://" + m_Address + m_Protocol.m_TargetListPath(m_PageToken),
            PageTimeoutMs, [Weak = weak_from_this()](const std::string &Text) {
              if (std::shared_ptr<TargetListReader> Self = Weak.lock())
                Self->takePage(Text);
            });
}

void TargetListReader::takePage(const std::string &Text) {
  if (Text.empty())
    return finish(makeError(ErrorCode::Unavailable, "no answer"));
  Result<TargetPage> Page = m_Protocol.m_ReadTargetPage(Text);
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
void TargetListReader::logUnreadable() {
  if (m_Unreadable == m_UnreadableBefore)
    return;
  m_UnreadableBefore = m_Unreadable;
  logEvent(Event::TargetListFailed,
           {{"why", "entries that name no target are skipped"},
            {"entries", static_cast<std::uint64_t>(m_Unreadable)}});
}

void TargetListReader::finish(Result<std::vector<ListedTarget>> Read) {
  m_Reading = false;
  Millis Took = monotonicNow() - m_BeganAt;
  if (Took >= SlowReading)
    logEvent(Event::TargetListSlow,
             {{"took_ms", Took.m_Value}, {"pages", m_Calls - m_CallsBefore}});
  m_OnRead(std::move(Read));
}

} // namespace vanillaferry
