#pragma once

#include <compare>
#include <cstdint>
#include <string>

struct sockaddr_in;

namespace teasellock {

/// An IPv4 address and a port. Names are never resolved.
struct endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const endpoint &) const = default;
};

/// Reads "a.b.c.d:port". Throws error with step "endpoint.parse" on bad input.
endpoint parseEndpoint(const std::string &Text);

/// "a.b.c.d:port".
std::string toString(const endpoint &Endpoint);

/// The socket address of an endpoint. Throws error when the address is not a
/// number.
sockaddr_in toSocketAddress(const endpoint &Endpoint);

} // namespace teasellock
