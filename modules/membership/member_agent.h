/// This VM's membership: renews its lease with the control leader, applies
/// the views it is sent, and answers the leader's fences and promotions.
#pragma once

#include "modules/consensus/control_member.h"
#include "modules/control/group_view.h"
#include "modules/deployment/deployment.h"
#include "modules/link/link_hub.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace teasellock {

/// What the gateway task provides to membership.
struct gateway_hooks {
  /// Reports on all groups assigned to this VM.
  std::function<std::vector<wire::group_report>()> Reports;
  /// Stops acknowledging in the term or pauses the replicas, probes, then
  /// calls back.
  std::function<void(const wire::fence &,
                     std::function<void(wire::fence_reply)>)>
      Fence;
  /// Lets paused replicas of a group receive again.
  std::function<void(const group_id &)> Resume;
  /// Promotes an upstream, then calls back.
  std::function<void(const wire::promote &,
                     std::function<void(wire::promote_reply)>)>
      Promote;
};

/// Where control is and how often it is told of this VM.
struct membership_settings {
  std::vector<endpoint> Control;
  duration RenewalPeriod = fromMilliseconds(400);
  /// An unanswered renewal goes to another control VM after this.
  duration RenewalTimeout = fromMilliseconds(350);
  /// Whether groups may be assigned to this VM.
  bool Gateway = true;
  /// See member_state.
  bool InheritsShares = false;
};

/// The lease, the views and the reports of this VM.
class member_agent {
public:
  member_agent(daemon_context &Context, link_hub &Hub,
               membership_settings Settings);
  ~member_agent();

  /// Sets what the gateway provides. Before start().
  void attachGateway(gateway_hooks Hooks);

  void start();

  /// Whether this VM's lease is valid now. Ask again after every answer that
  /// is only good under a lease.
  bool leaseValid() const;

  /// The views, by group.
  const std::map<group_id, group_view> &views() const;
  const group_view *find(const group_id &Group) const;

  /// Called after a group's view changed.
  void onViewChanged(std::function<void(const group_view &)> Callback);

  /// The deployment in force here. Version 0: none has come yet.
  const deployment &currentDeployment() const;

  /// Tells control of this VM's control store with every renewal.
  void attachControlStore(store_id Store);

  /// Replaces the addresses at which control is sought.
  void setControl(std::vector<endpoint> Control);

  /// Highest revision whose changes are all applied here.
  revision applied() const;

  /// Passes an upstream's announcement on to control with the next renewal,
  /// which is hurried.
  void announce(const upstream_announcement &Announcement);

  /// Sends the next renewal now: something worth telling has happened.
  void hurry();

  /// Forwards an operator's request to the leader.
  void forward(const std::string &Method, const std::string &Path,
               const std::string &Body,
               std::function<void(int Status, std::string Body)> Answer);

  /// Hands all assignments back; calls back once control has released them.
  void drain(std::function<void()> Released);

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
