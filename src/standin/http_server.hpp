#pragma once

#include <cstdint>
#include <functional>
#include <libsoup/soup.h>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace vanillaferry::standin {

using RequestHandler =
    std::function<void(SoupServerMessage *Message, const std::string &Path)>;

/// Listens on 127.0.0.1 and runs the GLib main loop until SIGTERM; returns the
/// exit code.
int serve(std::uint16_t Port, RequestHandler OnRequest);

std::string requestBody(SoupServerMessage *Message);
std::string requestHeader(SoupServerMessage *Message, const char *Name);
std::string queryValue(SoupServerMessage *Message, const char *Name);
void answerJson(SoupServerMessage *Message, int HttpStatus,
                const nlohmann::json &Body);
/// Appends a "run" line, in the format of docs/history.md, to a file; does
/// nothing when the file name is empty.
void recordRun(const std::string &File, const std::string &Target,
               const std::string &Request, const std::string &Key);
/// Closes the connection without an answer.
void dropConnection(SoupServerMessage *Message);

} // namespace vanillaferry::standin
