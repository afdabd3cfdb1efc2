#include "connection/text_fetch.hpp"

#include <memory>

namespace vanillaferry {

namespace {

constexpr int MaxConnections = 20000;

} // namespace

GHandle<SoupSession> makeTargetSession() {
  SoupSession *Session = soup_session_new_with_options(
      "max-conns", MaxConnections, "max-conns-per-host", MaxConnections,
      "timeout", 0, "idle-timeout", 0, "user-agent", "vanillaferry",
      "proxy-resolver", nullptr, nullptr);
  soup_session_remove_feature_by_type(Session, SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type(Session, SOUP_TYPE_AUTH_MANAGER);
  return GHandle<SoupSession>(Session);
}

void fetchText(SoupSession *Session, const std::string &Url,
               std::int64_t TimeoutMs,
               std::function<void(const std::string &)> OnText) {
  struct Fetch {
    GHandle<SoupMessage> m_Message;
    GHandle<GCancellable> m_Cancel;
    Timer m_Timer;
    std::function<void(const std::string &)> m_OnText;
  };
  std::unique_ptr<Fetch> State(new Fetch);
  State->m_Message.reset(soup_message_new("GET", Url.c_str()));
  State->m_OnText = std::move(OnText);
  if (!State->m_Message) {
    State->m_OnText("");
    return;
  }
  soup_message_add_flags(State->m_Message.get(), SOUP_MESSAGE_NO_REDIRECT);
  State->m_Cancel.reset(g_cancellable_new());
  GCancellable *Cancel = State->m_Cancel.get();
  State->m_Timer.start(TimeoutMs, [Cancel] {
    g_cancellable_cancel(Cancel);
    return false;
  });
  SoupMessage *Message = State->m_Message.get();
  soup_session_send_and_read_async(
      Session, Message, G_PRIORITY_DEFAULT, Cancel,
      [](GObject *Source, GAsyncResult *Result, gpointer Data) {
        std::unique_ptr<Fetch> Done(static_cast<Fetch *>(Data));
        GError *Fault = nullptr;
        GBytes *Bytes = soup_session_send_and_read_finish(SOUP_SESSION(Source),
                                                          Result, &Fault);
        GErrorHandle Owned(Fault);
        std::string Text;
        if (Bytes) {
          gsize Size = 0;
          const char *Start =
              static_cast<const char *>(g_bytes_get_data(Bytes, &Size));
          if (soup_message_get_status(Done->m_Message.get()) ==
                  SOUP_STATUS_OK &&
              Size > 0)
            Text.assign(Start, Size);
          g_bytes_unref(Bytes);
        }
        Done->m_OnText(Text);
      },
      State.release());
}

} // namespace vanillaferry
