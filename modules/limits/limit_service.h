/// Limits of organisations over all VMs: acquires operations for the callers of
/// this VM, and counts the operations of the slots that this VM holds.
#pragma once

#include "modules/limits/limit_holdings.h"
#include "modules/limits/limiter_view.h"
#include "modules/link/link_hub.h"

#include <functional>
#include <memory>

namespace teasellock {

/// What the service reads from the VM's membership.
struct limit_hooks {
  /// The assignment of slots and this VM's limiter lease.
  std::function<const limiter_view &()> View;
  /// The deployment in force.
  std::function<const deployment &()> Deployment;
};

/// The answer to a caller that asked for an operation.
struct limit_outcome {
  limit_verdict Verdict = limit_verdict::Unavailable;
  /// Granted: until when the operation can be given back.
  time_point ValidUntil;
};

/// Both sides of the limits. Receives messages of kinds 400 and 401.
class limit_service {
public:
  limit_service(daemon_context &Context, link_hub &Hub, limit_hooks Hooks);
  ~limit_service();

  /// Subscribes to messages and links. Called once. A VM that serves callers
  /// keeps links to all limiters, so that no operation waits for a connection.
  void start(bool ServesCallers);

  /// Asks for an operation. Done is called once: before this function returns
  /// if an operation is in hand or this VM is the limiter, and after 300 ms at
  /// the latest. An organisation without a limit is always granted one.
  void acquire(const organisation_id &Organisation,
               std::function<void(const limit_outcome &)> Done);

  /// Gives back an operation that certainly did not reach an upstream. Does
  /// nothing after its validity: the limiter has gained others since.
  void giveBack(const organisation_id &Organisation, time_point ValidUntil);

  /// Applies a changed assignment. To be called at every change: a slot that
  /// is lost and regained within a second needs new buckets.
  void handleViewChange();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
