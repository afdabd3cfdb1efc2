#pragma once

#include <functional>
#include <glib.h>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace vanillaferry {

/// Queue of messages into a task on a GLib main context. Any thread may post;
/// the handler runs on the context's thread. The lock covers only the queue
/// itself, never a task's state.
template <typename Message> class Mailbox {
public:
  using Handler = std::function<void(Message)>;

  Mailbox(GMainContext *Context, Handler OnMessage)
      : m_State(std::make_shared<State>()) {
    m_State->m_OnMessage = std::move(OnMessage);
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
    g_source_set_priority(Source, G_PRIORITY_DEFAULT);
    g_source_set_callback(Source, &Mailbox::dispatch,
                          new std::shared_ptr<State>(m_State),
                          &Mailbox::release);
    g_source_attach(Source, m_Context);
    g_source_unref(Source);
  }

private:
  struct State {
    std::mutex m_Mutex;
    std::vector<Message> m_Queue;
    bool m_Scheduled = false;
    /// Read and written on the context's thread only.
    bool m_Closed = false;
    Handler m_OnMessage;
  };

  static gboolean dispatch(gpointer Data) {
    std::shared_ptr<State> Self = *static_cast<std::shared_ptr<State> *>(Data);
    std::vector<Message> Batch;
    {
      std::lock_guard<std::mutex> Guard(Self->m_Mutex);
      Batch.swap(Self->m_Queue);
      Self->m_Scheduled = false;
    }
    for (Message &Input : Batch) {
      if (Self->m_Closed)
        break;
      Self->m_OnMessage(std::move(Input));
    }
    return G_SOURCE_REMOVE;
  }

  static void release(gpointer Data) {
    delete static_cast<std::shared_ptr<State> *>(Data);
  }

  std::shared_ptr<State> m_State;
  GMainContext *m_Context = nullptr;
};

} // namespace vanillaferry
