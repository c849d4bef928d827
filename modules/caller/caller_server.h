/// Serves callers on an entry: implements the server side of PostgreSQL's v3
/// protocol, keeps sessions and their tokens, classifies each statement and
/// submits it to the statement router.
#pragma once

#include "modules/caller/caller_settings.h"
#include "modules/membership/member_agent.h"
#include "modules/routing/statement_router.h"

#include <functional>
#include <memory>

namespace teasellock {

/// Serves callers on one port. Created by the daemon.
class caller_server {
public:
  caller_server(daemon_context &Context, member_agent &Member,
                statement_router &Router, caller_settings Settings);
  ~caller_server();

  /// Starts to accept connections. Returns the bound endpoint, whose port was
  /// chosen by the system if the settings say 0. Throws error with step
  /// "caller.listen" when the port can't be bound.
  endpoint start();

  /// Refuses new connections, closes idle ones with 57P01 and the others as
  /// soon as their open statements and transactions have finished. Calls Done
  /// once no connection is left.
  void drain(std::function<void()> Done);

  /// Returns the number of open connections.
  std::size_t callers() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
