#include "modules/control/renewal_reply.h"
#include "modules/control/view_pushes.h"
#include "modules/membership/member_state.h"

#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

/// What the leader sends to the VM: a push or a reply.
struct sent_message {
  wire::view_push Push;
  std::optional<wire::renewal_reply> Reply;
};

/// A leader and a VM with a link between them that delivers in order, and that
/// may end and lose what is on its way.
struct simulated_pushes {
  control_state Control;
  sent_pushes Pushes;
  member_state Member;
  vm_id Vm = vm_id("vm");
  /// What the leader knows of the VM.
  revision Reported;
  link_id Link = link_id(1);
  std::deque<sent_message> OnLink;
  time_point Now = time_point(std::chrono::seconds(100));
  std::size_t Messages = 0;

  void change(const std::string &Name) {
    Control.AppliedRevision.Value += 1;
    auto &Group = Control.Groups[group_id(Name)];
    Group.Group = group_id(Name);
    Group.Revision = Control.AppliedRevision;
    Control.Index = buildGroupIndex(Control);
  }

  void push() {
    revision Base = expectedRevision(Pushes, Vm, Link, Reported, Now);
    if (Base >= Control.Index.LatestRevision)
      return;
    auto Changes = changesSince(Control, Base, {});
    sent_message Message;
    Message.Push.base_revision = static_cast<std::int64_t>(Base.Value);
    Message.Push.revision = Changes.revision;
    Message.Push.groups = Changes.groups;
    OnLink.push_back(std::move(Message));
    Pushes[Vm] = {Link, Control.AppliedRevision, Now};
    ++Messages;
  }

  /// A renewal that the VM has sent some time ago arrives.
  void reply() {
    revision Base = expectedRevision(Pushes, Vm, Link, Reported, Now);
    sent_message Message;
    Message.Reply = changesSince(Control, Base, {});
    Message.Reply->granted = true;
    Message.Reply->base_revision = static_cast<std::int64_t>(Base.Value);
    OnLink.push_back(std::move(Message));
  }

  void report() { Reported = std::max(Reported, Member.Applied); }

  void deliver() {
    if (OnLink.empty())
      return;
    auto Message = std::move(OnLink.front());
    OnLink.pop_front();
    if (Message.Reply)
      applyRenewalReply(Member, *Message.Reply, Now);
    else
      applyViewPush(Member, Message.Push);
  }

  void breakLink() {
    OnLink.clear();
    Link.Value += 1;
  }

  /// The VM has the newest view of every group that has not changed since the
  /// revision up to which it claims to have all changes.
  void check() const {
    for (const auto &[Name, Group] : Control.Groups) {
      if (Group.Revision > Member.Applied)
        continue;
      auto View = Member.Views.find(Name);
      RC_ASSERT(View != Member.Views.end());
      RC_ASSERT(View->second.Revision == Group.Revision);
    }
  }
};

} // namespace

TEST_CASE("membership: no change is missed, whatever pushes and replies are "
          "lost with their links") {
  bool Passed = rc::check("pushes", [] {
    simulated_pushes Simulation;
    for (int Step = *rc::gen::inRange(1, 200); Step > 0; --Step) {
      Simulation.Now += fromMilliseconds(*rc::gen::inRange(0, 400));
      switch (*rc::gen::inRange(0, 9)) {
      case 0:
      case 1:
        Simulation.change("g" + std::to_string(*rc::gen::inRange(0, 4)));
        break;
      case 2:
      case 3:
        Simulation.push();
        break;
      case 4:
        Simulation.reply();
        break;
      case 5:
        Simulation.report();
        break;
      case 6:
        if (*rc::gen::inRange(0, 4) == 0)
          Simulation.breakLink();
        break;
      default:
        Simulation.deliver();
      }
      Simulation.check();
    }
    // Without further losses the VM gets everything with its next renewals.
    for (int Round = 0; Round < 3; ++Round) {
      Simulation.Now += std::chrono::seconds(2);
      Simulation.report();
      Simulation.reply();
      while (!Simulation.OnLink.empty())
        Simulation.deliver();
    }
    Simulation.check();
    RC_ASSERT(Simulation.Member.Applied == Simulation.Control.AppliedRevision);
  });
  CHECK(Passed);
}

TEST_CASE("membership: messages that grow with VMs and changes: one push for "
          "each series of changes, however late the VM reports") {
  simulated_pushes Simulation;
  for (int Change = 0; Change < 20; ++Change) {
    Simulation.change("g" + std::to_string(Change % 3));
    Simulation.push();
    // The next update finds nothing to send.
    Simulation.push();
    Simulation.Now += fromMilliseconds(25);
  }
  CHECK(Simulation.Messages == 20u);
  for (const auto &Message : Simulation.OnLink)
    CHECK(Message.Push.groups.size() == 1u);
}

TEST_CASE("control: updates take a fifth of the leader's time at most, and a "
          "frozen one delays the next by half a second at most") {
  CHECK((nextUpdateInterval(duration::zero()) == fromMilliseconds(25)));
  CHECK((nextUpdateInterval(fromMilliseconds(20)) == fromMilliseconds(100)));
  CHECK((nextUpdateInterval(std::chrono::seconds(7)) == fromMilliseconds(500)));
}

TEST_CASE("membership: only gateways of a changed group report at once") {
  member_state State;
  State.Self = vm_id("me");
  wire::group_view View;
  View.group = "g";
  View.revision = 1;
  wire::gateway_share Share;
  Share.vm = "other";
  Share.address = "10.0.0.1:1";
  View.gateways.push_back(Share);
  CHECK_FALSE(concernsOwnGateways(State, {View}));
  Share.vm = "me";
  View.gateways.push_back(Share);
  CHECK(concernsOwnGateways(State, {View}));
  wire::view_push Push;
  Push.revision = 1;
  Push.groups = {View};
  applyViewPush(State, Push);
  View.revision = 2;
  View.gateways.clear();
  // It has lost the group and control waits for it to release it.
  CHECK(concernsOwnGateways(State, {View}));
}
