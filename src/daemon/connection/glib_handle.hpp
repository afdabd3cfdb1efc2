#pragma once

#include <cstdint>
#include <functional>
#include <glib-object.h>
#include <glib.h>
#include <memory>
#include <utility>

namespace vanillaferry {

struct GObjectUnref {
  void operator()(gpointer Object) const { g_object_unref(Object); }
};
struct GErrorFree {
  void operator()(GError *Fault) const { g_error_free(Fault); }
};
struct GUriUnref {
  void operator()(GUri *Uri) const { g_uri_unref(Uri); }
};

/// One owned reference to a GObject.
template <typename T> using GHandle = std::unique_ptr<T, GObjectUnref>;
using GErrorHandle = std::unique_ptr<GError, GErrorFree>;
using GUriHandle = std::unique_ptr<GUri, GUriUnref>;

/// A timer on the thread's default main context; ends with its owner.
class Timer {
public:
  Timer() = default;
  ~Timer() { stop(); }
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Calls the function once after so many milliseconds, or again and again
  /// while it returns true.
  void start(std::int64_t AfterMs, std::function<bool()> OnTime) {
    stop();
    m_OnTime = std::make_shared<std::function<bool()>>(std::move(OnTime));
    m_Source =
        g_timeout_source_new(static_cast<guint>(AfterMs < 0 ? 0 : AfterMs));
    g_source_set_callback(m_Source, &Timer::fire,
                          new std::shared_ptr<std::function<bool()>>(m_OnTime),
                          &Timer::release);
    g_source_attach(m_Source, g_main_context_get_thread_default());
  }

  void stop() {
    if (!m_Source)
      return;
    g_source_destroy(m_Source);
    g_source_unref(m_Source);
    m_Source = nullptr;
    m_OnTime.reset();
  }

private:
  static gboolean fire(gpointer Data) {
    // The callback may stop the timer or destroy its owner.
    std::shared_ptr<std::function<bool()>> OnTime =
        *static_cast<std::shared_ptr<std::function<bool()>> *>(Data);
    return (*OnTime)() ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
  }
  static void release(gpointer Data) {
    delete static_cast<std::shared_ptr<std::function<bool()>> *>(Data);
  }

  GSource *m_Source = nullptr;
  std::shared_ptr<std::function<bool()>> m_OnTime;
};

/// Calls the function from the main loop, after the present callback.
inline void postIdle(std::function<void()> Work) {
  GSource *Source = g_idle_source_new();
  g_source_set_priority(Source, G_PRIORITY_DEFAULT);
  g_source_set_callback(
      Source,
      [](gpointer Data) -> gboolean {
        (*static_cast<std::function<void()> *>(Data))();
        return G_SOURCE_REMOVE;
      },
      new std::function<void()>(std::move(Work)),
      [](gpointer Data) { delete static_cast<std::function<void()> *>(Data); });
  g_source_attach(Source, g_main_context_get_thread_default());
  g_source_unref(Source);
}

} // namespace vanillaferry
