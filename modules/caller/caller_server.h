/// The entry's side towards callers: PostgreSQL's v3 protocol, sessions and
/// their tokens, and what each statement may do.
#pragma once

#include "modules/membership/member_agent.h"
#include "modules/routing/statement_router.h"

#include <functional>
#include <memory>
#include <string>

namespace teasellock {

/// How callers are served.
struct caller_settings {
  endpoint Listen;
  /// Signs session tokens; the same on all entries.
  std::string TokenSecret;
  /// Time for one statement unless the caller sets statement_timeout.
  duration StatementTimeout = fromMilliseconds(30000);
  /// Callers served at once; more are refused with 53300.
  std::size_t MostCallers = 20000;
};

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
