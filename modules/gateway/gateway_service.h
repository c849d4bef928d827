/// Gateway: owns the connections to the upstreams of the groups assigned to
/// this VM, admits statements, chooses replicas and gates acknowledgements.
#pragma once

#include "modules/gateway/gen/gateway_messages_types.h"
#include "modules/gateway/group_port.h"
#include "modules/membership/member_agent.h"

#include <functional>
#include <memory>

namespace teasellock {

/// How the gateway speaks to upstreams and how often it looks at them.
struct gateway_settings {
  std::string User = "teasellock";
  std::string Password;
  duration ProbePeriod = fromMilliseconds(200);
  duration ProbeTimeout = fromMilliseconds(500);
  duration ConnectTimeout = fromMilliseconds(1000);
  /// libpq sslmode towards upstreams: disable, require or verify-ca.
  std::string SslMode = "disable";
  std::string SslRootCertificate;
  /// Makes the work for a group. Empty: SQL upstreams, as set above.
  group_port_factory MakeGroup;
};

/// The gateway role of this VM. Serves statement requests of kinds 300 to 399
/// that arrive over links, and of this VM's own entry without a socket.
class gateway_service {
public:
  gateway_service(daemon_context &Context, link_hub &Hub, member_agent &Member,
                  gateway_settings Settings);
  ~gateway_service();

  void start();

  /// Serves a statement of this VM's own entry. Replies come in order until
  /// one is the last.
  void submitLocal(request_id Request, wire::statement_request Statement,
                   const std::string &TraceParent,
                   std::function<void(wire::statement_reply)> Reply);

  /// The caller of a local statement went away.
  void cancelLocal(request_id Request);

  /// The caller of a local transaction went away.
  void releaseLocal(transaction_id Transaction);

  /// Statements and transactions not yet ended, for draining.
  std::size_t inFlight() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
