/// The gateway role of a VM: for each group assigned to it, holds the
/// connections to the upstreams, admits statements, chooses replicas for reads
/// and decides when writes are acknowledged.
#pragma once

#include "modules/gateway/gen/gateway_messages_types.h"
#include "modules/gateway/group_handler.h"
#include "modules/membership/member_agent.h"

#include <functional>
#include <memory>

namespace teasellock {

/// How the gateway connects to upstreams and how often it probes them.
struct gateway_settings {
  std::string User = "teasellock";
  std::string Password;
  duration ProbePeriod = fromMilliseconds(200);
  duration ProbeTimeout = fromMilliseconds(500);
  duration ConnectTimeout = fromMilliseconds(1000);
  /// libpq sslmode towards upstreams: disable, require or verify-ca.
  std::string SslMode = "disable";
  std::string SslRootCertificate;
  /// Bytes of the statements that may wait or execute at the same time, beyond
  /// those of ordinary size.
  std::size_t MaxStatementBytes = 128 * 1024 * 1024;
  /// Creates the handler of a group. Empty: group_gateway, for SQL upstreams
  /// with the settings above.
  group_handler_factory MakeGroupHandler;
};

/// The gateway role of this VM. Serves messages of kinds 300 to 399 that arrive
/// over links, and the requests of this VM's own entry by direct calls.
class gateway_service {
public:
  gateway_service(daemon_context &Context, link_hub &Hub, member_agent &Member,
                  gateway_settings Settings);
  ~gateway_service();

  /// Subscribes to views and links. Called once, before any statement.
  void start();

  /// Executes a statement of this VM's own entry. Reply is called once for each
  /// part of the answer, in order; the last part is marked.
  void submitLocal(request_id Request, wire::statement_request Statement,
                   const std::string &TraceParent,
                   std::function<void(wire::statement_reply)> Reply);

  /// Cancels a local statement whose caller has disconnected or cancelled it.
  void cancelLocal(request_id Request);

  /// Rolls back a local transaction whose caller has disconnected.
  void releaseLocal(transaction_id Transaction);

  /// Returns the number of open statements and transactions; draining waits
  /// until it is 0.
  std::size_t inFlight() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
