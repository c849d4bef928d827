#pragma once

#include "modules/control/assignment.h"
#include "modules/control/control_state.h"
#include "modules/control/leases.h"
#include "modules/control/promotion.h"
#include "modules/control/renewal_reply.h"
#include "modules/membership/member_state.h"

#include <array>
#include <deque>
#include <set>

namespace teasellock::testing {

/// One record of an upstream's log; the first of a term has id -1.
struct log_record {
  std::uint64_t Term;
  int Id;
  bool operator==(const log_record &) const = default;
};

/// Simulates two gateways and three upstreams under faults, with control's real
/// decisions. The caller chooses the steps. The oracle is the set of
/// acknowledged ids: the current primary must hold all of them.
class promotion_simulation {
public:
  /// With FollowedTerm, an upstream reports the term that it follows instead of
  /// the term of its last record.
  promotion_simulation(promotion_rules Rules, bool FollowedTerm);

  /// Performs the step that the number selects.
  void step(std::uint32_t Choice);

  /// Returns an acknowledged write that the current primary does not hold.
  std::optional<int> lostWrite() const;

  std::uint64_t promotions() const { return Promotions; }
  std::size_t acknowledged() const { return Acknowledged.size(); }

private:
  struct upstream {
    std::vector<log_record> Log{{1, -1}};
    std::uint64_t Follows = 1;
    bool Replica = true;
  };
  struct pending_write {
    int Id;
    position At;
    int Primary;
  };
  struct gateway {
    bool Alive = true;
    member_state Member;
    position Highest;
    std::uint64_t FencedTerm = 0;
    std::vector<pending_write> Pending;
    std::array<bool, 3> ReachableUpstreams{true, true, true};
  };
  struct fence_message {
    gateway_incarnation Recipient;
    std::uint64_t Term;
    time_point FenceSentAt;
    std::optional<wire::fence_reply> Reply;
  };

  position positionOf(int Upstream) const;
  std::vector<wire::upstream_report> probe(const gateway &Gateway) const;
  const group_view *viewOf(const gateway &Gateway) const;
  int primaryOf(const gateway &Gateway) const;
  const group_state &group() const { return State.Groups.begin()->second; }
  void commit(const wire::control_command &Command);
  void registerVm(const gateway &Gateway);
  void decide();
  void renew(gateway &Gateway, bool LoseReply);
  void write(gateway &Gateway);
  void acknowledge(gateway &Gateway);
  void crash(gateway &Gateway);
  void restart(gateway &Gateway);
  void replicate(std::uint32_t Choice);
  void rejoin(std::uint32_t Choice);
  void deliver(std::uint32_t Choice);
  void answerFence(fence_message &Message);
  void promote(const group_state &Group);
  gateway *find(const gateway_incarnation &Id);

  control_state State;
  leader_state Leader;
  decision_settings Settings;
  bool FollowedTerm;
  time_point Now{fromMilliseconds(100000)};
  std::uint64_t Index = 0;
  std::uint64_t NextIncarnation = 1;
  std::array<upstream, 3> Upstreams;
  std::array<gateway, 2> Gateways;
  std::vector<fence_message> Messages;
  std::set<int> Acknowledged;
  int Writes = 0;
  std::uint64_t Promotions = 0;
  bool PrimaryFails = false;
};

} // namespace teasellock::testing
