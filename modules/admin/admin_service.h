/// The HTTP API of this VM: health, metrics, announcements, operators.
#pragma once

#include "modules/admin/http_server.h"
#include "modules/control/control_service.h"
#include "modules/membership/member_agent.h"

#include <memory>
#include <string>

namespace teasellock {

/// Where the API listens and which tokens it asks for.
struct admin_settings {
  endpoint Listen;
  /// Empty: operators' calls need no token.
  std::string OperatorToken;
  /// Empty: the platform's calls need no token.
  std::string PlatformToken;
  /// Handles a platform's own calls first. False: the path is not one of them.
  std::function<bool(const http_request &, const http_reply &)> Adapter;
};

/// Serves the HTTP API. Calls that need the control leader are forwarded.
class admin_service {
public:
  /// Control is null when this VM has no control role.
  admin_service(daemon_context &Context, member_agent &Member,
                control_service *Control, admin_settings Settings);
  ~admin_service();

  /// From now on the health check fails, so that the balancer looks elsewhere.
  void startDraining();

  endpoint bound() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
