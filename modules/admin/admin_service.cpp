#include "modules/admin/admin_service.h"

#include "core/error.h"
#include "core/event_log.h"
#include "modules/admin/announcement_json.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace teasellock {

namespace {

constexpr const char *TextType = "text/plain";
constexpr std::string_view ControlPrefix = "/v1/control/";

bool sameToken(const std::string &Given, const std::string &Wanted) {
  return Given.size() == Wanted.size() &&
         CRYPTO_memcmp(Given.data(), Wanted.data(), Wanted.size()) == 0;
}

http_response problem(int Status, const std::string &Reason) {
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
  bool Draining = false;
  std::unique_ptr<http_server> Server;

  void handle(http_request Request, const http_reply &Reply);
  void handleOperator(http_request Request, const http_reply &Reply);
  http_response announce(const std::string &Body);
};

void admin_service::state::handle(http_request Request,
                                  const http_reply &Reply) {
  if (Settings.Adapter && Settings.Adapter(Request, Reply))
    return;
  if (Request.Path == "/healthz")
    return Reply({Draining ? 503 : 200, TextType,
                  Draining ? "draining\n" : "serving\n"});
  if (Request.Path == "/metrics")
    return Reply(
        {200, "text/plain; version=0.0.4", Context.Metrics.prometheusText()});
  bool ByPlatform = Request.Path == "/v1/announce";
  const std::string &Wanted =
      ByPlatform ? Settings.PlatformToken : Settings.OperatorToken;
  if (!Wanted.empty() && !sameToken(Request.BearerToken, Wanted))
    return Reply(problem(401, "a valid bearer token is needed"));
  if (!ByPlatform)
    return handleOperator(std::move(Request), Reply);
  if (Request.Method != "POST")
    return Reply(problem(405, "announcements are posted"));
  Reply(announce(Request.Body));
}

http_response admin_service::state::announce(const std::string &Body) {
  try {
    Member.announce(parseAnnouncement(Body));
    return {202, "application/json", "{}"};
  } catch (const error &Problem) {
    return problem(400, Problem.peer() + ": " + Problem.reason());
  }
}

void admin_service::state::handleOperator(http_request Request,
                                          const http_reply &Reply) {
  if (!Request.Path.starts_with("/v1/"))
    return Reply(problem(404, "no such path: " + Request.Path));
  auto Answer = [Reply](int Status, std::string Body) {
    Reply({Status, "application/json", std::move(Body)});
  };
  // Calls on the control group itself are for this very VM.
  if (!Request.Path.starts_with(ControlPrefix))
    return Member.forward(Request.Method, Request.Path, Request.Body, Answer);
  if (!Control)
    return Reply(problem(404, "this VM has no control role"));
  Control->handleOperator(Request.Method, Request.Path, Request.Body, Answer);
}

admin_service::admin_service(daemon_context &Context, member_agent &Member,
                             control_service *Control, admin_settings Settings)
    : State(new state{Context, Member, Control, std::move(Settings), false,
                      nullptr}) {
  State->Server = std::make_unique<http_server>(
      Context, State->Settings.Listen,
      [Self = State.get()](http_request Request, http_reply Reply) {
        Self->handle(std::move(Request), Reply);
      });
}

admin_service::~admin_service() = default;

void admin_service::startDraining() { State->Draining = true; }

endpoint admin_service::bound() const { return State->Server->bound(); }

} // namespace teasellock
