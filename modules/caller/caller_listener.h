/// Accepts callers and moves bytes between their sockets and the decisions of
/// caller_state.
#pragma once

#include "core/daemon_context.h"
#include "modules/caller/caller_settings.h"
#include "modules/gateway/gen/gateway_messages_types.h"

#include <functional>
#include <memory>

namespace teasellock {

/// What callers' statements are handed to.
struct caller_upstream {
  std::function<bool(const group_id &)> GroupKnown;
  std::function<request_id(wire::statement_request, const std::string &,
                           std::function<void(wire::statement_reply)>)>
      Submit;
  std::function<void(request_id)> Cancel;
  /// Whether a gateway may be working on a request.
  std::function<bool(request_id)> WasSent;
  std::function<transaction_id()> NextTransaction;
  std::function<void(transaction_id)> Release;
};

/// Serves callers on one port.
class caller_listener {
public:
  caller_listener(daemon_context &Context, caller_upstream Upstream,
                  const caller_settings &Settings);
  ~caller_listener();

  /// Starts to accept. Returns the endpoint bound.
  endpoint start();

  /// See caller_server::drain().
  void drain(std::function<void()> Done);

  std::size_t callers() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
