/// The membership of this VM in the deployment.
///
/// The agent renews the VM's lease at the leader of the control group, applies
/// the views of groups and the deployment that the replies contain, and handles
/// the leader's fence, resume and promote requests. It runs on the event loop
/// of the process and is not thread-safe.
#pragma once

#include "modules/consensus/control_member.h"
#include "modules/control/group_view.h"
#include "modules/deployment/deployment.h"
#include "modules/limits/limiter_view.h"
#include "modules/link/link_hub.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace teasellock {

/// Callbacks into the gateway of this VM.
struct gateway_hooks {
  /// Returns reports on all groups assigned to this VM, for a renewal.
  std::function<std::vector<wire::group_report>()> BuildReports;
  /// Stops acknowledging statements in the request's term or pauses the
  /// replicas, probes the upstreams, then passes the result to the callback.
  std::function<void(const wire::fence &,
                     std::function<void(wire::fence_reply)>)>
      Fence;
  /// Resumes replication at the paused replicas of a group.
  std::function<void(const group_id &)> Resume;
  /// Promotes an upstream, then passes the result to the callback.
  std::function<void(const wire::promote &,
                     std::function<void(wire::promote_reply)>)>
      Promote;
};

/// The control VMs and how often this VM contacts them.
struct membership_settings {
  /// The internal endpoints of the control VMs.
  std::vector<endpoint> ControlEndpoints;
  /// Interval of regular renewals.
  duration RenewalPeriod = fromMilliseconds(400);
  /// Time without a reply after which a renewal is sent to another control VM.
  duration RenewalTimeout = fromMilliseconds(350);
  /// Whether groups may be assigned to this VM.
  bool IsGateway = true;
  /// See member_state::InheritsShares.
  bool InheritsShares = false;
};

/// Maintains the lease and the views of this VM.
class member_agent {
public:
  member_agent(daemon_context &Context, link_hub &Hub,
               membership_settings Settings);
  ~member_agent();

  /// Sets the gateway's callbacks. To be called before start(), if this VM has
  /// the gateway role.
  void attachGateway(gateway_hooks Hooks);

  /// Starts to handle messages and to send renewals.
  void start();

  /// Reports whether this VM's lease is valid now. A result that depends on the
  /// lease is valid only if this is still true after the result was obtained.
  bool isLeaseValid() const;

  /// Returns a time at which, or after which, control confirmed that all views
  /// are in force.
  time_point confirmedAt() const;

  /// Returns the views, by group.
  const std::map<group_id, group_view> &views() const;
  /// Returns the view of a group, or nullptr if there is none.
  const group_view *find(const group_id &Group) const;

  /// Registers a callback that is called after the view of a group has changed.
  void onViewChanged(std::function<void(const group_view &)> Callback);

  /// Returns the newest deployment received. Its version is 0 if none has been
  /// received yet.
  const deployment &currentDeployment() const;

  /// Returns the assignment of limiters and this VM's limiter lease.
  const limiter_view &limiters() const;

  /// Registers a callback that is called after the assignment of limiters has
  /// changed; not when only the lease is extended.
  void onLimitersChanged(std::function<void()> Callback);

  /// Sets the id of this VM's control store, which every renewal then reports.
  void attachControlStore(store_id Store);

  /// Replaces the endpoints of the control VMs in the settings.
  void setControlEndpoints(std::vector<endpoint> Endpoints);

  /// Returns the highest revision up to which all changes are applied here.
  revision appliedRevision() const;

  /// Forwards an upstream's announcement to control with the next renewal,
  /// which is sent early.
  void announce(const upstream_announcement &Announcement);

  /// Sends the next renewal now, because there is something new to report.
  /// Early renewals are at least 5 ms apart.
  void renewEarly();

  /// Forwards an operator's HTTP request to the control leader. The callback is
  /// called once with the HTTP status and body: 503 if no control VM is
  /// reachable, 504 if there is no reply within 10 s.
  void forward(const std::string &Method, const std::string &Path,
               const std::string &Body,
               std::function<void(int Status, std::string Body)> Callback);

  /// Asks control to release all assignments of this VM. The callback is called
  /// once control has released them.
  void drain(std::function<void()> Callback);

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
