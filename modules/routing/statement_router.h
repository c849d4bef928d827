/// Routing at an entry: sends a caller's statement to a gateway of its group,
/// within its deadline, and retries only what certainly was not executed or is
/// protected by an idempotency key.
#pragma once

#include "modules/gateway/gateway_service.h"
#include "modules/routing/routing_state.h"

#include <functional>
#include <memory>

namespace teasellock {

/// Sends statements to gateways over links, or to the gateway of its own VM by
/// direct calls. Executes the effects that routing_state decides on.
class statement_router {
public:
  /// Gateway is null when this VM has no gateway role.
  statement_router(daemon_context &Context, link_hub &Hub, member_agent &Member,
                   gateway_service *Gateway, routing_settings Settings);
  ~statement_router();

  /// Subscribes to views and links. Called once, before any statement.
  void start();

  /// Sends a statement and returns its id. Reply is called once for each part
  /// of the answer, in order, up to the part marked as the last; not after
  /// cancel() and not before this function returns. A statement of an open
  /// transaction is always sent to the gateway that opened the transaction.
  request_id submit(wire::statement_request Statement,
                    const std::string &TraceParent,
                    std::function<void(wire::statement_reply)> Reply);

  /// Removes a statement. Answers that arrive later are dropped and counted.
  void cancel(request_id Request);

  /// Returns the progress of a statement: Answered if it is unknown.
  statement_progress progressOf(request_id Request) const;

  /// Returns the id for a new transaction.
  transaction_id nextTransaction();

  /// Rolls back a transaction whose caller has disconnected.
  void release(transaction_id Transaction);

  /// Returns the number of statements that have not been answered.
  std::size_t inFlight() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
