#include "load_sampler.hpp"

#include <memory>
#include <nlohmann/json.hpp>

namespace vanillaferry::standin {

namespace {

using nlohmann::json;

struct Sample {
  std::size_t m_Open = 0;
  std::vector<double> m_Loads;
  std::function<void(const std::vector<double> &)> m_OnLoads;
};

void onLoad(GObject *Source, GAsyncResult *Result, gpointer Data) {
  std::unique_ptr<std::shared_ptr<Sample>> Held(
      static_cast<std::shared_ptr<Sample> *>(Data));
  Sample &One = **Held;
  GError *Fault = nullptr;
  GBytes *Body =
      soup_session_send_and_read_finish(SOUP_SESSION(Source), Result, &Fault);
  g_clear_error(&Fault);
  if (Body) {
    gsize Size = 0;
    const char *Text = static_cast<const char *>(g_bytes_get_data(Body, &Size));
    json Value =
        json::parse(std::string(Text ? Text : "", Size), nullptr, false);
    if (Value.is_object() && Value.contains("running"))
      One.m_Loads.push_back(Value["running"].get<double>());
    g_bytes_unref(Body);
  }
  if (--One.m_Open == 0)
    One.m_OnLoads(One.m_Loads);
}

} // namespace

void sampleLoads(SoupSession *Session, const std::vector<std::string> &Engines,
                 std::function<void(const std::vector<double> &)> OnLoads) {
  std::shared_ptr<Sample> One = std::make_shared<Sample>();
  One->m_Open = Engines.size();
  One->m_OnLoads = std::move(OnLoads);
  for (const std::string &Engine : Engines) {
    SoupMessage *Message = soup_message_new("GET", (Engine + "/load").c_str());
    soup_session_send_and_read_async(Session, Message, G_PRIORITY_DEFAULT,
                                     nullptr, &onLoad,
                                     new std::shared_ptr<Sample>(One));
    g_object_unref(Message);
  }
}

} // namespace vanillaferry::standin
