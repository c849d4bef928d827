#pragma once

#include <compare>
#include <cstdint>
#include <string>

struct sockaddr_in;

namespace teasellock {

/// An IPv4 address in dotted decimal form and a port. Host names are not
/// resolved.
struct endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  auto operator<=>(const endpoint &) const = default;
};

/// Parses "a.b.c.d:port". Throws error with step "endpoint.parse" on bad input.
endpoint parseEndpoint(const std::string &Text);

/// Formats an endpoint as "a.b.c.d:port".
std::string toString(const endpoint &Endpoint);

/// Converts an endpoint to a socket address. Throws error with step
/// "endpoint.parse" when the address is not in dotted decimal form.
sockaddr_in toSocketAddress(const endpoint &Endpoint);

} // namespace teasellock
