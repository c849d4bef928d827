/// The network side of serving callers: accepts connections and transfers bytes
/// between their sockets and the state machine in caller_state.h.
#pragma once

#include "core/daemon_context.h"
#include "modules/caller/caller_settings.h"
#include "modules/gateway/gen/gateway_messages_types.h"

#include <functional>
#include <memory>

namespace teasellock {

/// The functions of the statement router that the listener calls. Tests replace
/// them.
struct router_callbacks {
  /// Reports whether this entry serves a group of that name.
  std::function<bool(const group_id &)> IsGroupServed;
  /// Submits a request with its W3C trace parent. The callback receives one or
  /// more replies, the last one with `last` set, and is never called before
  /// this function returns.
  std::function<request_id(wire::statement_request, const std::string &,
                           std::function<void(wire::statement_reply)>)>
      Submit;
  /// Cancels a request; no further replies are delivered.
  std::function<void(request_id)> Cancel;
  /// Reports whether a request was sent, so that a gateway may be executing it.
  std::function<bool(request_id)> WasSent;
  /// Returns a new transaction number.
  std::function<transaction_id()> NextTransaction;
  /// Releases a transaction that the caller left open.
  std::function<void(transaction_id)> ReleaseTransaction;
};

/// Serves callers on one port. Used by caller_server, which connects it to the
/// statement router.
class caller_listener {
public:
  caller_listener(daemon_context &Context, router_callbacks Router,
                  const caller_settings &Settings);
  ~caller_listener();

  /// Starts to accept connections. Returns the bound endpoint. Throws error
  /// with step "caller.listen" when the port can't be bound.
  endpoint start();

  /// See caller_server::drain().
  void drain(std::function<void()> Done);

  /// Returns the number of open connections.
  std::size_t callers() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
