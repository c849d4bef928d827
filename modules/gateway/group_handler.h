/// The interface between gateway_service and the handler of one group, which
/// does not depend on the protocol of the group's upstreams.
#pragma once

#include "modules/gateway/gen/gateway_messages_types.h"
#include "modules/link/link_hub.h"
#include "modules/membership/member_agent.h"

#include <functional>
#include <memory>

namespace teasellock {

/// What the handler of a group needs from this VM's membership.
struct membership_hooks {
  /// Reports whether this VM's lease is valid now.
  std::function<bool()> IsLeaseValid;
  /// Requests that the next report to control is sent without delay.
  std::function<void()> RenewEarly;
  /// Reports whether the deployment has organisations.
  std::function<bool()> HasOrganisations = [] { return false; };
  /// Returns a time at which, or after which, control confirmed that the view
  /// is in force.
  std::function<time_point()> ConfirmedAt = [] { return time_point(); };
};

/// Identifies a statement among those of all entries. Link 0 is this VM's own
/// entry.
struct statement_key {
  link_id Link;
  request_id Request;

  auto operator<=>(const statement_key &) const = default;
};

/// Identifies a transaction among those of all entries.
struct transaction_key {
  link_id Link;
  transaction_id Transaction;

  auto operator<=>(const transaction_key &) const = default;
};

/// Returns the key of the transaction that a statement belongs to.
inline transaction_key
transactionKeyOf(const statement_key &Key,
                 const wire::statement_request &Request) {
  return {Key.Link,
          transaction_id(static_cast<std::uint64_t>(Request.transaction))};
}

/// Returns the share of a group that the view assigns to this incarnation of
/// the VM, or null if there is none.
const gateway_share *findOwnShare(const group_view &View,
                                  const vm_identity &Self);

/// A statement as received from an entry.
struct incoming_statement {
  statement_key Key;
  wire::statement_request Statement;
  std::string TraceParent;
  std::function<void(wire::statement_reply)> Reply;
};

/// Handles the statements of one group at a gateway. It is kept after the group
/// has been assigned to other gateways, as it must remember fences.
class group_handler {
public:
  virtual ~group_handler() = default;

  /// Applies a newer view of the group.
  virtual void apply(const group_view &View) = 0;

  /// Executes a statement and reports the outcome to its Reply callback.
  virtual void submit(incoming_statement Arrived) = 0;
  /// Cancels a statement if it has not ended.
  virtual void cancel(const statement_key &Key) = 0;
  /// Rolls back a transaction whose caller has disconnected.
  virtual void release(link_id Link, transaction_id Transaction) = 0;
  /// Handles the loss of the link to an entry: cancels its statements and rolls
  /// back its transactions.
  virtual void handleLinkClosed(link_id Link) = 0;

  /// Reports whether the group must be included in reports to control: it is
  /// assigned to this VM, or statements or transactions of an earlier
  /// assignment have not ended.
  virtual bool isActive() const = 0;
  /// Returns the group's report for control.
  virtual wire::group_report report() const = 0;
  /// Stops acknowledging writes in a term and answers with the positions of the
  /// upstreams, from probes that started after the request.
  virtual void fence(const wire::fence &Fence,
                     std::function<void(wire::fence_reply)> Answer) = 0;
  /// Resumes replication on paused replicas.
  virtual void resume() = 0;
  /// Makes an upstream the primary of a term.
  virtual void promote(const wire::promote &Order,
                       std::function<void(wire::promote_reply)> Answer) = 0;

  /// Returns the number of open statements and transactions.
  virtual std::size_t inFlight() const = 0;
};

/// Creates the handler of a group.
using group_handler_factory = std::function<std::shared_ptr<group_handler>(
    daemon_context &, membership_hooks, const group_id &)>;

} // namespace teasellock
