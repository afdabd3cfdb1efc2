#include "http_server.hpp"

#include <fstream>
#include <glib-unix.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace vanillaferry::standin {

namespace {

void handleRequest(SoupServer *, SoupServerMessage *Message, const char *Path,
                   GHashTable *, gpointer Data) {
  (*static_cast<RequestHandler *>(Data))(Message, Path);
}

gboolean quitLoop(gpointer Data) {
  g_main_loop_quit(static_cast<GMainLoop *>(Data));
  return G_SOURCE_REMOVE;
}

} // namespace

int serve(std::uint16_t Port, RequestHandler OnRequest) {
  SoupServer *Server = soup_server_new(nullptr, nullptr);
  soup_server_add_handler(Server, nullptr, &handleRequest, &OnRequest, nullptr);
  GSocketAddress *Address =
      g_inet_socket_address_new_from_string("127.0.0.1", Port);
  GError *Fault = nullptr;
  if (!soup_server_listen(Server, Address, SoupServerListenOptions(0),
                          &Fault)) {
    std::cerr << "cannot listen on port " << Port << ": " << Fault->message
              << "\n";
    return 1;
  }
  g_object_unref(Address);
  GMainLoop *Loop = g_main_loop_new(nullptr, FALSE);
  g_unix_signal_add(SIGTERM, &quitLoop, Loop);
  g_unix_signal_add(SIGINT, &quitLoop, Loop);
  g_main_loop_run(Loop);
  soup_server_disconnect(Server);
  g_object_unref(Server);
  g_main_loop_unref(Loop);
  return 0;
}

std::string requestBody(SoupServerMessage *Message) {
  SoupMessageBody *Body = soup_server_message_get_request_body(Message);
  GBytes *Data = soup_message_body_flatten(Body);
  gsize Size = 0;
  const char *Text = static_cast<const char *>(g_bytes_get_data(Data, &Size));
  std::string Copy(Text ? Text : "", Size);
  g_bytes_unref(Data);
  return Copy;
}

std::string requestHeader(SoupServerMessage *Message, const char *Name) {
  const char *Value = soup_message_headers_get_one(
      soup_server_message_get_request_headers(Message), Name);
  return Value ? Value : "";
}

std::string queryValue(SoupServerMessage *Message, const char *Name) {
  const char *Query = g_uri_get_query(soup_server_message_get_uri(Message));
  if (!Query)
    return "";
  GHashTable *Fields = soup_form_decode(Query);
  const char *Value =
      static_cast<const char *>(g_hash_table_lookup(Fields, Name));
  std::string Copy = Value ? Value : "";
  g_hash_table_destroy(Fields);
  return Copy;
}

void answerJson(SoupServerMessage *Message, int HttpStatus,
                const nlohmann::json &Body) {
  std::string Text = Body.dump();
  soup_server_message_set_status(Message, static_cast<guint>(HttpStatus),
                                 nullptr);
  soup_server_message_set_response(Message, "application/json",
                                   SOUP_MEMORY_COPY, Text.data(), Text.size());
}

void recordRun(const std::string &File, const std::string &Target,
               const std::string &Request, const std::string &Key) {
  if (File.empty())
    return;
  nlohmann::json Line = {
      {"op", "run"},
      {"target", Target},
      {"request", Request},
      {"time", static_cast<double>(g_get_monotonic_time()) / 1000}};
  if (!Key.empty())
    Line["key"] = Key;
  std::ofstream(File, std::ios_base::app) << Line << "\n";
}

void dropConnection(SoupServerMessage *Message) {
  GSocket *Socket = soup_server_message_get_socket(Message);
  if (Socket)
    g_socket_shutdown(Socket, TRUE, TRUE, nullptr);
}

} // namespace vanillaferry::standin
