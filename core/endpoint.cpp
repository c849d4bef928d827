#include "core/endpoint.h"

#include "core/error.h"

#include <arpa/inet.h>
#include <charconv>

namespace teasellock {

endpoint parseEndpoint(const std::string &Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    throw error("endpoint.parse", Text, "expected address:port");
  endpoint Result;
  Result.Address = Text.substr(0, Colon);
  const char *First = Text.data() + Colon + 1;
  const char *Last = Text.data() + Text.size();
  auto [End, Status] = std::from_chars(First, Last, Result.Port);
  if (Status != std::errc() || End != Last || First == Last)
    throw error("endpoint.parse", Text, "port must be 0 to 65535");
  toSocketAddress(Result);
  return Result;
}

std::string toString(const endpoint &Endpoint) {
  return Endpoint.Address + ":" + std::to_string(Endpoint.Port);
}

sockaddr_in toSocketAddress(const endpoint &Endpoint) {
  sockaddr_in Result = {};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Endpoint.Port);
  if (inet_pton(AF_INET, Endpoint.Address.c_str(), &Result.sin_addr) != 1)
    throw error("endpoint.parse", Endpoint.Address,
                "address must be an IPv4 address such as 10.0.0.7");
  return Result;
}

} // namespace teasellock
