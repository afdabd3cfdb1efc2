#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <glib.h>
#include <iterator>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace vanillaferry {

struct MailboxOptions {
  /// GLib priority of the handler among the context's other sources.
  gint m_Priority = G_PRIORITY_DEFAULT;
  /// Messages handled before the context's other sources get a turn.
  std::size_t m_PerTurn = static_cast<std::size_t>(-1);
};

/// Queue of messages into a task on a GLib main context. Any thread may post;
/// the handler runs on the context's thread. The lock covers only the queue
/// itself, never a task's state.
template <typename Message> class Mailbox {
public:
  using Handler = std::function<void(Message)>;

  Mailbox(GMainContext *Context, Handler OnMessage, MailboxOptions Options = {})
      : m_State(std::make_shared<State>()) {
    m_State->m_OnMessage = std::move(OnMessage);
    m_State->m_PerTurn = Options.m_PerTurn;
    m_Priority = Options.m_Priority;
    m_Context = Context;
  }
  ~Mailbox() { m_State->m_Closed = true; }
  Mailbox(const Mailbox &) = delete;
  Mailbox &operator=(const Mailbox &) = delete;

  void post(Message Input) {
    {
      std::lock_guard<std::mutex> Guard(m_State->m_Mutex);
      m_State->m_Queue.push_back(std::move(Input));
      if (m_State->m_Scheduled)
        return;
      m_State->m_Scheduled = true;
    }
    GSource *Source = g_idle_source_new();
    g_source_set_priority(Source, m_Priority);
    g_source_set_callback(Source, &Mailbox::dispatch,
                          new std::shared_ptr<State>(m_State),
                          &Mailbox::release);
    g_source_attach(Source, m_Context);
    g_source_unref(Source);
  }

private:
  struct State {
    std::mutex m_Mutex;
    std::deque<Message> m_Queue;
    std::size_t m_PerTurn = 0;
    bool m_Scheduled = false;
    /// Read and written on the context's thread only.
    bool m_Closed = false;
    Handler m_OnMessage;
  };

  static gboolean dispatch(gpointer Data) {
    std::shared_ptr<State> Self = *static_cast<std::shared_ptr<State> *>(Data);
    std::vector<Message> Batch;
    bool More = false;
    {
      std::lock_guard<std::mutex> Guard(Self->m_Mutex);
      std::deque<Message> &Queue = Self->m_Queue;
      std::size_t Count = std::min(Queue.size(), Self->m_PerTurn);
      Batch.assign(std::make_move_iterator(Queue.begin()),
                   std::make_move_iterator(Queue.begin() + Count));
      Queue.erase(Queue.begin(), Queue.begin() + Count);
      More = !Queue.empty();
      Self->m_Scheduled = More;
    }
    for (Message &Input : Batch) {
      if (Self->m_Closed)
        return G_SOURCE_REMOVE;
      Self->m_OnMessage(std::move(Input));
    }
    return More ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
  }

  static void release(gpointer Data) {
    delete static_cast<std::shared_ptr<State> *>(Data);
  }

  std::shared_ptr<State> m_State;
  GMainContext *m_Context = nullptr;
  gint m_Priority = G_PRIORITY_DEFAULT;
};

} // namespace vanillaferry
