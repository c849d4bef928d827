/// The leader's fence, resume and promote requests to the gateway of this VM.
#pragma once

#include "modules/link/link_hub.h"
#include "modules/membership/member_agent.h"
#include "modules/membership/member_state.h"

#include <cstdint>
#include <vector>

namespace teasellock {

/// Receives the requests, passes them to the gateway and sends its replies.
class gateway_orders {
public:
  /// Member is what this VM has received from control.
  gateway_orders(link_hub &Hub, const member_state &Member);
  gateway_orders(const gateway_orders &) = delete;
  gateway_orders &operator=(const gateway_orders &) = delete;

  /// Sets the gateway's callbacks. Without them, requests are answered as by a
  /// VM that is not a gateway.
  void attach(gateway_hooks Hooks);

  /// Starts to receive requests. Called once.
  void start();

  /// Returns the gateway's reports on the groups assigned to this VM.
  std::vector<wire::group_report> buildReports() const;

private:
  void onFence(link_id Link, const link_message &Message);
  void onResume(const link_message &Message);
  void onPromote(link_id Link, const link_message &Message);
  template <typename Reply>
  void sendReply(link_id Link, request_id Request, std::int16_t Kind,
                 const Reply &Body);

  link_hub &Hub;
  const member_state &Member;
  gateway_hooks Gateway;
};

} // namespace teasellock
