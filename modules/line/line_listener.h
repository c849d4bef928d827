/// Accepts sessions of the line protocol and moves bytes between their sockets
/// and the decisions of line_caller_state.
#pragma once

#include "core/daemon_context.h"
#include "modules/line/line_protocol.h"
#include "modules/membership/member_agent.h"
#include "modules/routing/statement_router.h"

#include <functional>
#include <memory>

namespace teasellock {

/// How callers are served, and how they leave a VM that shuts down.
struct line_listener_settings {
  endpoint Listen;
  const line_protocol *Protocol = nullptr;
  /// Sessions served at once; more are refused.
  std::size_t MostCallers = 4000;
  /// Idle sessions are kept so long after a drain began: until the balancer
  /// has noticed, they would come back here.
  duration DrainNotice = fromMilliseconds(2500);
  /// Open transactions may go on so long after that.
  duration DrainTransactions = fromMilliseconds(3000);
};

/// Serves callers on one port.
class line_listener {
public:
  line_listener(daemon_context &Context, member_agent &Member,
                statement_router &Router, line_listener_settings Settings);
  ~line_listener();

  /// Starts to accept. Returns the endpoint bound.
  endpoint start();

  /// Lets what is under way finish, then ends the sessions and calls back.
  void drain(std::function<void()> Done);

  std::size_t callers() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
