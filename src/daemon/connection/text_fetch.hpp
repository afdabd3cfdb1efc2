#pragma once

#include "connection/glib_handle.hpp"

#include <cstdint>
#include <functional>
#include <libsoup/soup.h>
#include <string>

namespace vanillaferry {

/// A libsoup session for small documents of targets and the platform: no
/// redirects, no cookies, no decoding, no proxy.
GHandle<SoupSession> makeTargetSession();

/// Fetches a small document, such as a load report; the handler gets an empty
/// text when the status is not 200 or the exchange failed.
void fetchText(SoupSession *Session, const std::string &Url,
               std::int64_t TimeoutMs,
               std::function<void(const std::string &)> OnText);

} // namespace vanillaferry
