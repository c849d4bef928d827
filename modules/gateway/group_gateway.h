/// The gateway's work for one database group.
#pragma once

#include "modules/gateway/gateway_service.h"
#include "modules/gateway/group_port.h"

#include <functional>
#include <memory>

namespace teasellock {

/// Pools, probes, admission, replica choice and acknowledgement for one group.
/// Lives on when the group is assigned elsewhere: fences are remembered.
class group_gateway : public group_port {
public:
  group_gateway(daemon_context &Context, membership_hooks Member,
                const gateway_settings &Settings, group_id Group);
  ~group_gateway() override;

  /// Takes a newer view of the group.
  void apply(const group_view &View) override;

  void submit(arrived_statement Arrived) override;
  void cancel(const caller_request &Caller) override;
  /// Rolls back a transaction whose caller is gone.
  void release(link_id Link, transaction_id Transaction) override;
  /// The link to an entry closed: all of its work here ends.
  void callerGone(link_id Link) override;

  /// Whether the view lists this VM as a gateway of the group.
  bool assigned() const;

  /// Whether it may still acknowledge a write of the group: it is assigned, or
  /// statements and transactions of an earlier assignment have not ended.
  /// Control must hear of the group until then.
  bool holdsGroup() const override;
  wire::group_report report() const override;
  void fence(const wire::fence &Fence,
             std::function<void(wire::fence_reply)> Answer) override;
  /// SQL upstreams are not paused: nothing to do.
  void resume() override {}
  void promote(const wire::promote &Order,
               std::function<void(wire::promote_reply)> Answer) override;

  /// Statements and transactions not yet ended.
  std::size_t inFlight() const override;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace teasellock
