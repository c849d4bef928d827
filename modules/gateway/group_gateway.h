/// The handler of one group whose upstreams are PostgreSQL servers.
#pragma once

#include "modules/gateway/gateway_service.h"
#include "modules/gateway/group_handler.h"

#include <functional>
#include <memory>

namespace teasellock {

/// Implements connection pools, probes, admission, replica choice and
/// acknowledgement for one group. It is kept after the group has been assigned
/// to other gateways, as it must remember fences.
class group_gateway : public group_handler {
public:
  group_gateway(daemon_context &Context, membership_hooks Member,
                const gateway_settings &Settings, group_id Group);
  ~group_gateway() override;

  /// Applies a newer view of the group.
  void apply(const group_view &View) override;

  void submit(incoming_statement Arrived) override;
  void cancel(const statement_key &Key) override;
  /// Rolls back a transaction whose caller has disconnected.
  void release(link_id Link, transaction_id Transaction) override;
  /// Cancels the statements and rolls back the transactions of an entry whose
  /// link has closed.
  void handleLinkClosed(link_id Link) override;

  /// Reports whether the view lists this VM as a gateway of the group.
  bool assigned() const;

  /// Reports whether this gateway may still acknowledge a write of the group:
  /// it is assigned, or statements or transactions of an earlier assignment
  /// have not ended. Until then the group is included in reports to control.
  bool isActive() const override;
  wire::group_report report() const override;
  void fence(const wire::fence &Fence,
             std::function<void(wire::fence_reply)> Answer) override;
  /// Does nothing: replication of SQL upstreams is never paused.
  void resume() override {}
  void promote(const wire::promote &Order,
               std::function<void(wire::promote_reply)> Answer) override;

  /// Returns the number of open statements and transactions.
  std::size_t inFlight() const override;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace teasellock
