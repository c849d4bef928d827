/// Accepts callers' connections that speak the line protocol and connects their
/// sockets to the session logic of line_caller_state.h.
#pragma once

#include "core/daemon_context.h"
#include "modules/limits/limit_service.h"
#include "modules/line/caller_limits.h"
#include "modules/line/line_protocol.h"
#include "modules/membership/member_agent.h"
#include "modules/routing/statement_router.h"

#include <functional>
#include <memory>

namespace teasellock {

/// How callers are served, and how their sessions end when the VM shuts down.
struct line_listener_settings {
  endpoint Listen;
  const line_protocol *Protocol = nullptr;
  caller_limits Limits;
  /// Idle sessions stay open for this long after a drain has begun: until the
  /// load balancer has noticed the drain, callers would reconnect to this VM.
  duration DrainNoticePeriod = fromMilliseconds(2500);
  /// Sessions with an open transaction are closed this long after the drain has
  /// begun, once no statement is in flight.
  duration DrainTransactionPeriod = fromMilliseconds(3000);
};

/// Serves the callers of one listening endpoint.
class line_listener {
public:
  line_listener(daemon_context &Context, member_agent &Member,
                statement_router &Router, limit_service &Limits,
                line_listener_settings Settings);
  ~line_listener();

  /// Starts to accept connections and returns the endpoint it listens on.
  /// Throws error "caller.listen" when the endpoint can't be bound.
  endpoint start();

  /// Closes the sessions as they become idle, within the periods of the
  /// settings. Done is called when all are closed and DrainNoticePeriod has
  /// passed. New connections are still accepted meanwhile.
  void drain(std::function<void()> Done);

  /// Returns the number of open sessions.
  std::size_t callers() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
