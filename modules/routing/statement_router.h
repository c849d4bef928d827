/// Routing: takes a caller's statement to a gateway of its group, within its
/// deadline, retrying only what certainly did not run.
#pragma once

#include "modules/gateway/gateway_service.h"
#include "modules/routing/routing_state.h"

#include <functional>
#include <memory>

namespace teasellock {

/// The entry's way to gateways, its own VM's among them.
class statement_router {
public:
  /// Gateway is null when this VM has no gateway role.
  statement_router(daemon_context &Context, link_hub &Hub, member_agent &Member,
                   gateway_service *Gateway, routing_settings Settings);
  ~statement_router();

  void start();

  /// Sends a statement. Replies come in order until one is the last; they stop
  /// after cancel(). A statement of an open transaction always goes to the
  /// gateway that opened it.
  request_id submit(wire::statement_request Statement,
                    const std::string &TraceParent,
                    std::function<void(wire::statement_reply)> Reply);

  /// Forgets a statement: its late answers are dropped and counted.
  void cancel(request_id Request);

  /// How far a statement got. Answered when it is not known.
  statement_life lifeOf(request_id Request) const;

  /// A number for a new transaction.
  transaction_id nextTransaction();

  /// Ends a transaction whose caller is gone.
  void release(transaction_id Transaction);

  std::size_t inFlight() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
