#include "modules/admin/admin_service.h"

#include "core/error.h"
#include "core/event_log.h"
#include "modules/admin/announcement_json.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace teasellock {

namespace {

constexpr const char *TextContentType = "text/plain";
constexpr std::string_view ControlPrefix = "/v1/control/";

bool tokensEqual(const std::string &Token, const std::string &ExpectedToken) {
  return Token.size() == ExpectedToken.size() &&
         CRYPTO_memcmp(Token.data(), ExpectedToken.data(),
                       ExpectedToken.size()) == 0;
}

http_response errorResponse(int Status, const std::string &Reason) {
  nlohmann::json Body = {{"error", Reason}};
  auto Replace = nlohmann::json::error_handler_t::replace;
  return {Status, "application/json", Body.dump(-1, ' ', false, Replace)};
}

} // namespace

struct admin_service::state {
  daemon_context &Context;
  member_agent &Member;
  control_service *Control;
  admin_settings Settings;
  bool IsDraining = false;
  std::unique_ptr<http_server> Server;

  void handleRequest(http_request Request, const http_reply &Reply);
  void handleOperator(http_request Request, const http_reply &Reply);
  http_response handleAnnouncement(const std::string &Body);
};

void admin_service::state::handleRequest(http_request Request,
                                         const http_reply &Reply) {
  if (Settings.PlatformHandler && Settings.PlatformHandler(Request, Reply))
    return;
  if (Request.Path == "/healthz")
    return Reply({IsDraining ? 503 : 200, TextContentType,
                  IsDraining ? "draining\n" : "serving\n"});
  if (Request.Path == "/metrics")
    return Reply(
        {200, "text/plain; version=0.0.4", Context.Metrics.prometheusText()});
  bool IsAnnouncement = Request.Path == "/v1/announce";
  const std::string &ExpectedToken =
      IsAnnouncement ? Settings.PlatformToken : Settings.OperatorToken;
  if (!ExpectedToken.empty() &&
      !tokensEqual(Request.BearerToken, ExpectedToken))
    return Reply(errorResponse(401, "a valid bearer token is required"));
  if (!IsAnnouncement)
    return handleOperator(std::move(Request), Reply);
  if (Request.Method != "POST")
    return Reply(errorResponse(405, "announcements must use POST"));
  Reply(handleAnnouncement(Request.Body));
}

http_response
admin_service::state::handleAnnouncement(const std::string &Body) {
  try {
    Member.announce(parseAnnouncement(Body));
    return {202, "application/json", "{}"};
  } catch (const error &Problem) {
    return errorResponse(400, Problem.peer() + ": " + Problem.reason());
  }
}

void admin_service::state::handleOperator(http_request Request,
                                          const http_reply &Reply) {
  if (!Request.Path.starts_with("/v1/"))
    return Reply(errorResponse(404, "no such path: " + Request.Path));
  auto ReplyWith = [Reply](int Status, std::string Body) {
    Reply({Status, "application/json", std::move(Body)});
  };
  // Calls about the control group concern this VM and are not forwarded.
  if (!Request.Path.starts_with(ControlPrefix))
    return Member.forward(Request.Method, Request.Path, Request.Body,
                          ReplyWith);
  if (!Control)
    return Reply(errorResponse(404, "this VM has no control role"));
  Control->handleOperator(Request.Method, Request.Path, Request.Body,
                          ReplyWith);
}

admin_service::admin_service(daemon_context &Context, member_agent &Member,
                             control_service *Control, admin_settings Settings)
    : State(new state{Context, Member, Control, std::move(Settings), false,
                      nullptr}) {
  State->Server = std::make_unique<http_server>(
      Context, State->Settings.Listen,
      [Self = State.get()](http_request Request, http_reply Reply) {
        Self->handleRequest(std::move(Request), Reply);
      },
      bodyMemoryFor(State->Settings.Resources));
}

admin_service::~admin_service() = default;

void admin_service::startDraining() { State->IsDraining = true; }

std::size_t admin_service::inFlight() const {
  return State->Server->inFlight();
}

endpoint admin_service::boundEndpoint() const {
  return State->Server->boundEndpoint();
}

} // namespace teasellock
