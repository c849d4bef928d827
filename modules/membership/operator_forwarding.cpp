#include "modules/membership/operator_forwarding.h"

#include "core/error.h"

#include <nlohmann/json.hpp>

namespace teasellock {

namespace {

constexpr int MaxRedirects = 3;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

std::string errorJson(const std::string &Reason) {
  return nlohmann::json{{"error", Reason}}.dump();
}

} // namespace

std::optional<endpoint> redirectionOf(const forwarded_request &Request,
                                      const wire::operator_reply &Reply) {
  if (Request.Redirects >= MaxRedirects || Reply.status != ServiceUnavailable)
    return std::nullopt;
  auto Json = nlohmann::json::parse(Reply.body, nullptr, false);
  if (!Json.is_object() || !Json.contains("leader") ||
      !Json["leader"].is_string())
    return std::nullopt;
  try {
    return parseEndpoint(Json["leader"].get<std::string>());
  } catch (const error &) {
    // Not an address: the reply goes to the operator as it is.
    return std::nullopt;
  }
}

void failUnreachable(const forwarded_request &Request) {
  Request.Callback(ServiceUnavailable,
                   errorJson("no control VM can be reached"));
}

void expireRequests(forwarded_requests &Requests, time_point Now) {
  // A callback may forward another request.
  forwarded_requests Expired;
  for (auto It = Requests.begin(); It != Requests.end();) {
    auto Next = std::next(It);
    if (Now >= It->second.Deadline)
      Expired.insert(Requests.extract(It));
    It = Next;
  }
  for (auto &[Number, Request] : Expired)
    Request.Callback(GatewayTimeout,
                     errorJson("no answer from control; the outcome is "
                               "unknown"));
}

} // namespace teasellock
