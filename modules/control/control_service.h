/// Control: the leader's decisions on leases, promotion, assignment, budgets
/// and the table. Decisions are in control_state.h as free functions; this is
/// the task that feeds them from links, the log and timers.
#pragma once

#include "modules/consensus/consensus_service.h"
#include "modules/control/leader_state.h"

#include <functional>
#include <memory>
#include <string>

namespace teasellock {

/// How long control grants and waits.
struct control_settings {
  duration LeaseTime = fromMilliseconds(2000);
  /// Added to a lease before control takes it for expired: covers clocks that
  /// run at different speeds.
  duration LeaseMargin = fromMilliseconds(200);
  /// How long a fence or promotion answer is awaited before asking again.
  duration OrderTimeout = fromMilliseconds(300);
  /// A VM unheard for so long loses its gateway assignments.
  duration VmTimeout = fromMilliseconds(3000);
  promotion_method Method = promotion_method::Fence;
  /// With promotion_method::Pause: tells the platform to promote.
  std::function<void(const promotion_order &,
                     std::function<void(promotion_answer)>)>
      OrderPromotion;
  /// Control stores that vote once all have joined by themselves. 0: operators
  /// found and change the group.
  std::size_t Voters = 0;
  /// Called when the control store has failed. May be empty.
  std::function<void()> StoreFailed;
  /// This process founds the control group if its store is empty.
  bool Founder = false;
};

/// Answers an operator's or the platform's HTTP request: status and JSON body.
using operator_answer = std::function<void(int Status, std::string Body)>;

/// One control VM.
class control_service {
public:
  control_service(daemon_context &Context, link_hub &Hub,
                  control_settings Settings,
                  consensus_settings ConsensusSettings);
  ~control_service();

  void start();

  /// Handles a request of the HTTP API on this VM. Requests that need the
  /// leader are forwarded by the caller (member_agent) first; here a
  /// non-leader answers 503 with the leader's address.
  void handleOperator(const std::string &Method, const std::string &Path,
                      const std::string &Body, operator_answer Answer);

  bool isLeader() const;

  /// Notes that an upstream announced itself to this VM, which is forwarded to
  /// the leader besides: should this VM lead one day, it knows.
  void noteHeard(const upstream_announcement &Announcement);

  /// Identity of this VM's control store.
  store_id store() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
