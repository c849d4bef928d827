/// Control: the leader's decisions on leases, promotion, assignment, budgets
/// and the table. The decisions are free functions (promotion.h,
/// pause_promotion.h, assignment.h, leases.h); the service calls them with the
/// input from links, the replicated log and timers.
#pragma once

#include "modules/consensus/consensus_service.h"
#include "modules/control/leader_state.h"

#include <functional>
#include <memory>
#include <string>

namespace teasellock {

/// Settings of the control service.
struct control_settings {
  duration LeaseTime = fromMilliseconds(2000);
  /// Added to a lease before control considers it expired, for clocks that run
  /// at different speeds.
  duration LeaseMargin = fromMilliseconds(200);
  /// A fence or promote order without a reply is sent again after this.
  duration OrderTimeout = fromMilliseconds(300);
  /// A VM without a renewal for this long loses its gateway assignments.
  duration VmTimeout = fromMilliseconds(3000);
  /// See decision_settings.
  duration RegistrationPause = fromMilliseconds(200);
  /// How often upstreams announce themselves, about.
  duration AnnouncementInterval = fromMilliseconds(1200);
  promotion_method Method = promotion_method::Fence;
  /// With promotion_method::Pause: sends an order to the platform and calls
  /// back with its answer.
  std::function<void(const promotion_order &,
                     std::function<void(promotion_answer)>)>
      OrderPromotion;
  /// Target number of voting control stores. Control adds and replaces members
  /// automatically; with 0, operators initialise and change the group.
  std::size_t TargetVoters = 0;
  /// Called when the control store has failed. May be empty.
  std::function<void()> OnStoreFailed;
  /// This process initialises the control group if its store is empty.
  bool InitialisesGroup = false;
};

/// Receives the answer to an HTTP request of an operator or the platform:
/// status and body.
using answer_callback = std::function<void(int Status, std::string Body)>;

/// A member of the control group.
class control_service {
public:
  control_service(daemon_context &Context, link_hub &Hub,
                  control_settings Settings,
                  consensus_settings ConsensusSettings);
  ~control_service();

  void start();

  /// Handles a request of the HTTP API. The member_agent forwards requests that
  /// need the leader before it calls this function; a member that is not the
  /// leader answers them with 503 and the leader's address.
  void handleOperator(const std::string &Method, const std::string &Path,
                      const std::string &Body, answer_callback Answer);

  bool isLeader() const;

  /// Records an announcement that this VM received and forwarded to the leader,
  /// so that the time is known if this VM becomes the leader.
  void recordAnnouncement(const upstream_announcement &Announcement);

  /// Returns the identity of this VM's control store.
  store_id store() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
