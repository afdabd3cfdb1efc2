#include "connection/target_client.hpp"

#include "process/clock.hpp"

#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace vanillaferry {

namespace {

constexpr std::size_t ReadBytes = 64 * 1024;
/// Reads of one call in one round, so that a fast target does not hold up the
/// others.
constexpr int ReadsPerRound = 8;
constexpr int MaxConnections = 20000;

std::string fieldOf(SoupMessageHeaders *Headers, const char *Name) {
  const char *Value = soup_message_headers_get_one(Headers, Name);
  return Value ? Value : "";
}

HttpFields allFields(SoupMessageHeaders *Headers) {
  HttpFields Fields;
  SoupMessageHeadersIter Iter;
  const char *Name = nullptr;
  const char *Value = nullptr;
  soup_message_headers_iter_init(&Iter, Headers);
  while (soup_message_headers_iter_next(&Iter, &Name, &Value))
    Fields.emplace_back(Name, Value);
  return Fields;
}

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

std::shared_ptr<TargetCall> TargetCall::start(SoupSession *Session,
                                              FdWatcher &Watcher,
                                              const TargetRequest &Request,
                                              CallHandlers Handlers) {
  std::shared_ptr<TargetCall> Call(new TargetCall(Watcher));
  Call->m_Handlers = std::make_shared<CallHandlers>(std::move(Handlers));
  Call->m_SendBy = Request.m_SendBy;
  Call->m_Message.reset(
      soup_message_new(Request.m_Method.c_str(), Request.m_Url.c_str()));
  if (!Call->m_Message) {
    postIdle([Call] { Call->end(CallEnd::NotSent, "the URL is invalid"); });
    return Call;
  }
  SoupMessage *Message = Call->m_Message.get();
  soup_message_add_flags(
      Message, static_cast<SoupMessageFlags>(SOUP_MESSAGE_NEW_CONNECTION |
                                             SOUP_MESSAGE_NO_REDIRECT));
  SoupMessageHeaders *Headers = soup_message_get_request_headers(Message);
  soup_message_headers_append(Headers, "Connection", "close");
  for (const std::pair<std::string, std::string> &Field : Request.m_Fields)
    soup_message_headers_replace(Headers, Field.first.c_str(),
                                 Field.second.c_str());
  if (!Request.m_Body.empty()) {
    GBytes *Body = g_bytes_new(Request.m_Body.data(), Request.m_Body.size());
    soup_message_set_request_body_from_bytes(
        Message,
        Request.m_ContentType.empty() ? nullptr : Request.m_ContentType.c_str(),
        Body);
    g_bytes_unref(Body);
  }
  g_signal_connect(Message, "network-event",
                   G_CALLBACK(+[](SoupMessage *, GSocketClientEvent Event,
                                  GIOStream *Stream, gpointer Data) {
                     if (Event == G_SOCKET_CLIENT_CONNECTED &&
                         G_IS_SOCKET_CONNECTION(Stream))
                       static_cast<TargetCall *>(Data)->m_Fd =
                           g_socket_get_fd(g_socket_connection_get_socket(
                               G_SOCKET_CONNECTION(Stream)));
                   }),
                   Call.get());
  g_signal_connect(
      Message, "starting", G_CALLBACK(+[](SoupMessage *, gpointer Data) {
        TargetCall *Self = static_cast<TargetCall *>(Data);
        if (!Self->limitSending() || (Self->m_Handlers->m_MayDispatch &&
                                      !Self->m_Handlers->m_MayDispatch())) {
          Self->m_Refused = true;
          g_cancellable_cancel(Self->m_Cancel.get());
          // A closed socket makes sure that nothing leaves.
          shutdown(Self->m_Fd, SHUT_RDWR);
          return;
        }
        Self->m_MayBeSent = true;
      }),
      Call.get());
  Call->m_Cancel.reset(g_cancellable_new());
  soup_session_send_async(
      Session, Message, G_PRIORITY_DEFAULT, Call->m_Cancel.get(),
      [](GObject *Source, GAsyncResult *Result, gpointer Data) {
        std::unique_ptr<std::shared_ptr<TargetCall>> Self(
            static_cast<std::shared_ptr<TargetCall> *>(Data));
        GError *Fault = nullptr;
        GInputStream *Body =
            soup_session_send_finish(SOUP_SESSION(Source), Result, &Fault);
        (*Self)->onSent(Body, Fault);
      },
      new std::shared_ptr<TargetCall>(Call));
  return Call;
}

TargetCall::~TargetCall() { release(); }

void TargetCall::onSent(GInputStream *Body, GError *Fault) {
  m_Body.reset(Body);
  GErrorHandle Owned(Fault);
  if (m_Done) {
    release();
    return;
  }
  if (!Body) {
    CallEnd How = m_Refused     ? CallEnd::Forbidden
                  : m_MayBeSent ? CallEnd::Broken
                                : CallEnd::NotSent;
    end(How, m_Refused ? "the lease or the time ended before the dispatch"
                       : (Owned ? Owned->message : "no answer"));
    return;
  }
  SoupMessageHeaders *Headers =
      soup_message_get_response_headers(m_Message.get());
  if (soup_message_headers_get_encoding(Headers) ==
      SOUP_ENCODING_CONTENT_LENGTH)
    m_Length = soup_message_headers_get_content_length(Headers);
  TargetHead Head;
  Head.m_Status = static_cast<int>(soup_message_get_status(m_Message.get()));
  Head.m_ContentType = fieldOf(Headers, "Content-Type");
  Head.m_RequestId = fieldOf(Headers, "X-Request-Id");
  Head.m_Fields = allFields(Headers);
  std::shared_ptr<CallHandlers> Handlers = m_Handlers;
  Handlers->m_OnHead(Head);
  if (m_Done)
    return;
  m_Watch = m_Watcher->add(m_Fd, EPOLLIN | EPOLLRDHUP,
                           [Weak = weak_from_this()](std::uint32_t) {
                             if (std::shared_ptr<TargetCall> Self = Weak.lock())
                               Self->read();
                           });
  read();
}

void TargetCall::read() {
  if (m_Reading || m_Done)
    return;
  std::shared_ptr<TargetCall> Self = shared_from_this();
  static std::array<char, ReadBytes> Buffer;
  m_Reading = true;
  std::shared_ptr<CallHandlers> Handlers = m_Handlers;
  for (int Round = 0; !m_Done && !m_Paused; ++Round) {
    if (Round == ReadsPerRound) {
      // libsoup may hold bytes that the socket no longer signals.
      postIdle([Self] { Self->read(); });
      break;
    }
    // Cheaper than a read that fails, whose error text costs more than the
    // relay of an event.
    if (Round > 0 && !g_pollable_input_stream_is_readable(
                         G_POLLABLE_INPUT_STREAM(m_Body.get())))
      break;
    GError *Fault = nullptr;
    gssize Count = g_pollable_input_stream_read_nonblocking(
        G_POLLABLE_INPUT_STREAM(m_Body.get()), Buffer.data(), Buffer.size(),
        nullptr, &Fault);
    GErrorHandle Owned(Fault);
    if (Count > 0) {
      m_Received += Count;
      Handlers->m_OnData(Buffer.data(), static_cast<std::size_t>(Count));
      continue;
    }
    if (Count < 0 && g_error_matches(Fault, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
      break;
    // libsoup reports an early end of a body with a stated length as its end.
    bool Short = m_Length >= 0 && m_Received < m_Length;
    end(Count == 0 && !Short ? CallEnd::Complete : CallEnd::Broken,
        Owned   ? Owned->message
        : Short ? "the answer is shorter than its stated length"
                : "");
  }
  m_Reading = false;
}

bool TargetCall::limitSending() const {
  if (m_SendBy == Millis(0))
    return true;
  std::int64_t Left = (m_SendBy - monotonicNow()).m_Value;
  if (Left <= 0)
    return false;
  unsigned int Limit = static_cast<unsigned int>(Left);
  return setsockopt(m_Fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &Limit,
                    sizeof Limit) == 0;
}

void TargetCall::pause() {
  if (m_Done || m_Paused)
    return;
  m_Paused = true;
  m_Watcher->change(m_Watch, EPOLLRDHUP | EPOLLET);
}

void TargetCall::resume() {
  if (m_Done || !m_Paused)
    return;
  m_Paused = false;
  m_Watcher->change(m_Watch, EPOLLIN | EPOLLRDHUP);
  std::shared_ptr<TargetCall> Self = shared_from_this();
  postIdle([Self] { Self->read(); });
}

void TargetCall::cancel() {
  if (m_Done)
    return;
  m_Done = true;
  m_Handlers.reset();
  g_cancellable_cancel(m_Cancel.get());
  release();
}

void TargetCall::end(CallEnd How, const std::string &Detail) {
  if (m_Done)
    return;
  m_Done = true;
  std::shared_ptr<CallHandlers> Handlers = std::move(m_Handlers);
  release();
  if (Handlers->m_OnEnd)
    Handlers->m_OnEnd(How, Detail);
}

void TargetCall::release() {
  if (m_Watch)
    m_Watcher->remove(m_Watch);
  m_Watch = 0;
  if (m_Message)
    g_signal_handlers_disconnect_by_data(m_Message.get(), this);
  if (m_Body) {
    // Closed at once: the connection is used for one request only.
    g_input_stream_close(m_Body.get(), nullptr, nullptr);
    m_Body.reset();
  }
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
