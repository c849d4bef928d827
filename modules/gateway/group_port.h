/// What the gateway role asks of its work for one group, whatever protocol the
/// group's upstreams speak.
#pragma once

#include "modules/gateway/gen/gateway_messages_types.h"
#include "modules/link/link_hub.h"
#include "modules/membership/member_agent.h"

#include <functional>
#include <memory>

namespace teasellock {

/// What a group's gateway asks of this VM's membership.
struct membership_hooks {
  /// Whether this VM's lease is valid now.
  std::function<bool()> LeaseValid;
  /// Tells control soon: something worth telling has happened.
  std::function<void()> Hurry;
};

/// Who sent a statement. Link 0 is this VM's own entry.
struct caller_request {
  link_id Link;
  request_id Request;

  auto operator<=>(const caller_request &) const = default;
};

/// Names a transaction among all entries.
struct transaction_key {
  link_id Link;
  transaction_id Transaction;

  auto operator<=>(const transaction_key &) const = default;
};

/// The transaction that a statement belongs to.
inline transaction_key
transactionKeyOf(const caller_request &Caller,
                 const wire::statement_request &Request) {
  return {Caller.Link,
          transaction_id(static_cast<std::uint64_t>(Request.transaction))};
}

/// This run's share of a group. Null when it has none.
const gateway_share *findOwnShare(const group_view &View,
                                  const vm_identity &Self);

/// A statement as it arrived.
struct arrived_statement {
  caller_request Caller;
  wire::statement_request Statement;
  std::string TraceParent;
  std::function<void(wire::statement_reply)> Reply;
};

/// The gateway's work for one group. Lives on when the group is assigned
/// elsewhere.
class group_port {
public:
  virtual ~group_port() = default;

  /// Takes a newer view of the group.
  virtual void apply(const group_view &View) = 0;

  virtual void submit(arrived_statement Arrived) = 0;
  virtual void cancel(const caller_request &Caller) = 0;
  /// Rolls back a transaction whose caller is gone.
  virtual void release(link_id Link, transaction_id Transaction) = 0;
  /// The link to an entry closed: all of its work here ends.
  virtual void callerGone(link_id Link) = 0;

  /// Whether control must hear of the group: it is assigned here, or work of
  /// an earlier assignment has not ended.
  virtual bool holdsGroup() const = 0;
  virtual wire::group_report report() const = 0;
  virtual void fence(const wire::fence &Fence,
                     std::function<void(wire::fence_reply)> Answer) = 0;
  /// Lets paused replicas receive again.
  virtual void resume() = 0;
  virtual void promote(const wire::promote &Order,
                       std::function<void(wire::promote_reply)> Answer) = 0;

  /// Statements and transactions not yet ended.
  virtual std::size_t inFlight() const = 0;
};

/// Makes the work for a group.
using group_port_factory = std::function<std::shared_ptr<group_port>(
    daemon_context &, membership_hooks, const group_id &)>;

} // namespace teasellock
