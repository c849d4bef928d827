/// The gateway's work for one database group.
#pragma once

#include "modules/gateway/gateway_service.h"

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

/// A statement as it arrived.
struct arrived_statement {
  caller_request Caller;
  wire::statement_request Statement;
  std::string TraceParent;
  std::function<void(wire::statement_reply)> Reply;
};

/// Pools, probes, admission, replica choice and acknowledgement for one group.
/// Lives on when the group is assigned elsewhere: fences are remembered.
class group_gateway {
public:
  group_gateway(daemon_context &Context, membership_hooks Member,
                const gateway_settings &Settings, group_id Group);
  ~group_gateway();

  /// Takes a newer view of the group.
  void apply(const group_view &View);

  void submit(arrived_statement Arrived);
  void cancel(const caller_request &Caller);
  /// Rolls back a transaction whose caller is gone.
  void release(link_id Link, transaction_id Transaction);
  /// The link to an entry closed: all of its work here ends.
  void callerGone(link_id Link);

  /// Whether the view lists this VM as a gateway of the group.
  bool assigned() const;

  /// Whether it may still acknowledge a write of the group: it is assigned, or
  /// statements and transactions of an earlier assignment have not ended.
  /// Control must hear of the group until then.
  bool holdsGroup() const;
  wire::group_report report() const;
  void fence(term Term, std::function<void(wire::fence_reply)> Answer);
  void promote(const wire::promote &Order,
               std::function<void(wire::promote_reply)> Answer);

  /// Statements and transactions not yet ended.
  std::size_t inFlight() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace teasellock
