#pragma once

#include <boost/asio/io_context.hpp>
#include <random>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace vanillaferry::internal {

/// Frame masks keep intermediaries from being confused (RFC 6455, 10.3); the
/// peers trust each other, so that a fast generator suffices.
struct MaskRandom {
  std::uint32_t operator()() { return m_Engine(); }
  std::mt19937 m_Engine{std::random_device()()};
};

/// websocketpp configuration of both ends: one thread, so no locks; no log of
/// its own; short handshakes.
struct PeerConfig : public websocketpp::config::asio_client {
  using type = PeerConfig;
  using base = websocketpp::config::asio_client;
  using concurrency_type = websocketpp::concurrency::none;
  using elog_type = websocketpp::log::stub;
  using alog_type = websocketpp::log::stub;
  using rng_type = MaskRandom;
  static bool const enable_multithreading = false; // NOLINT

  // NOLINTNEXTLINE(readability-identifier-naming): name given by websocketpp
  struct transport_config : public base::transport_config {
    using concurrency_type = type::concurrency_type;
    using alog_type = type::alog_type;
    using elog_type = type::elog_type;
    using request_type = type::request_type;
    using response_type = type::response_type;
    using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
    static bool const enable_multithreading = false; // NOLINT
    static const long timeout_connect = 2000;        // NOLINT
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;

  static const long timeout_open_handshake = 2000;  // NOLINT
  static const long timeout_close_handshake = 1000; // NOLINT
};

using PeerServer = websocketpp::server<PeerConfig>;
using PeerClient = websocketpp::client<PeerConfig>;
using PeerConnection = PeerServer::connection_type;

static_assert(std::is_same_v<PeerConnection, PeerClient::connection_type>,
              "links are handled alike whoever dialled");

} // namespace vanillaferry::internal
