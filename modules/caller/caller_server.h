/// The entry's side towards callers: PostgreSQL's v3 protocol, sessions and
/// their tokens, and what each statement may do.
#pragma once

#include "modules/caller/caller_settings.h"
#include "modules/membership/member_agent.h"
#include "modules/routing/statement_router.h"

#include <functional>
#include <memory>

namespace teasellock {

/// Serves callers on one port.
class caller_server {
public:
  caller_server(daemon_context &Context, member_agent &Member,
                statement_router &Router, caller_settings Settings);
  ~caller_server();

  /// Starts to accept. Returns the endpoint bound, for port 0.
  endpoint start();

  /// Refuses new callers, lets open transactions and statements finish, closes
  /// idle callers with 57P01, then calls back.
  void drain(std::function<void()> Done);

  std::size_t callers() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
