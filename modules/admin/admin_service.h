/// The HTTP API of this VM: health check, metrics, announcements of upstreams
/// and calls of operators.
#pragma once

#include "core/process_resources.h"
#include "modules/admin/http_server.h"
#include "modules/control/control_service.h"
#include "modules/membership/member_agent.h"

#include <memory>
#include <string>

namespace teasellock {

/// Settings of the HTTP API.
struct admin_settings {
  /// Address to listen at.
  endpoint Listen;
  /// Empty: operators' calls need no token.
  std::string OperatorToken;
  /// Empty: the platform's calls need no token.
  std::string PlatformToken;
  process_resources Resources;
  /// Called first for each request, to handle platform-specific calls. Returns
  /// false if the request is not one of them. May be empty.
  std::function<bool(const http_request &, const http_reply &)> PlatformHandler;
};

/// Serves the HTTP API. Calls that only the control leader can process are
/// forwarded to it.
class admin_service {
public:
  /// Control is null if this VM has no control role. Throws error with step
  /// "http.listen" when the endpoint can't be bound.
  admin_service(daemon_context &Context, member_agent &Member,
                control_service *Control, admin_settings Settings);
  ~admin_service();

  /// Makes the health check fail from now on, so that load balancers send new
  /// callers to other VMs.
  void startDraining();

  /// The endpoint that is listened at, with the actual port if it was set to 0.
  endpoint boundEndpoint() const;

  /// Requests whose response has not been written completely.
  std::size_t inFlight() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
