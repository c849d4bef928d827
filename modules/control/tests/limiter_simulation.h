/// A deployment whose VMs, leaders and messages are simulated, with the real
/// decisions on limiters.
#pragma once

#include "modules/control/limiter_assignment.h"
#include "modules/membership/member_state.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace teasellock {

/// The clock of one machine, in terms of the simulated time in microseconds.
struct simulated_clock {
  double Rate = 1;
  std::int64_t Offset = 0;

  time_point at(std::int64_t Time) const {
    return time_point(duration(
        Offset + static_cast<std::int64_t>(static_cast<double>(Time) * Rate)));
  }
};

struct simulated_vm {
  simulated_clock Clock;
  member_state Member;
  bool IsRunning = true;
  bool Draining = false;
  /// Its process does nothing until then, but its clock goes on.
  std::int64_t FrozenUntil = 0;
  /// All messages from and to it are lost until then.
  std::int64_t CutOffUntil = 0;
  std::int64_t NextRenewalAt = 0;
};

struct simulated_renewal {
  std::size_t Vm = 0;
  wire::renewal Renewal;
  std::int64_t SentAt = 0;
  std::int64_t ArrivesAt = 0;
  bool GoesToFormerLeader = false;
};

struct simulated_reply {
  std::size_t Vm = 0;
  incarnation Incarnation;
  wire::renewal_reply Reply;
  std::int64_t ArrivesAt = 0;
};

/// A proposed entry of the log.
struct simulated_proposal {
  wire::control_command Command;
  std::int64_t CommittedAt = 0;
  bool IsAssignment = false;
};

struct simulated_leader {
  simulated_clock Clock;
  control_state State;
  leader_state Leader;
  std::int64_t ElectedAt = 0;
  std::int64_t FrozenUntil = 0;
  std::vector<simulated_proposal> Proposals;
};

/// Six VMs and control, which changes its leader now and then.
struct limiter_simulation {
  std::mt19937_64 Random;
  decision_settings Settings;
  std::int64_t Now = 1000000;
  bool IsDisturbed = true;
  control_state Committed;
  simulated_leader Current;
  /// It still answers renewals that were sent before the current leader's
  /// election.
  std::optional<simulated_leader> Former;
  std::vector<simulated_vm> Vms;
  std::vector<simulated_renewal> Renewals;
  std::vector<simulated_reply> Replies;

  limiter_simulation(std::uint64_t Seed, const limiter_rules &Rules);

  /// Plays some milliseconds.
  void step();
  /// Ends all disturbances: leaves some VMs stopped or draining, but not all.
  void calm();
  /// Returns the number of VM processes that may act on a slot now.
  std::size_t activeHolders(std::size_t Slot) const;
  bool hasTwoHolders() const;
  /// Reports whether each slot has exactly one process that runs and may act.
  bool isCovered() const;

private:
  std::int64_t random(std::int64_t Min, std::int64_t Max);
  bool happens(double PerSecond);
  std::int64_t delay();
  simulated_clock randomClock();
  void apply(const wire::control_command &Command);
  void setLimits(bool HasLimits);
  void start(std::size_t Index, std::uint64_t Incarnation);
  void disturb();
  void disturbVm(std::size_t Index);
  void changeLeader();
  void sendRenewals();
  void handleRenewals();
  void handleRenewal(simulated_leader &Leader, const simulated_renewal &Sent);
  void commitProposals();
  void decide();
  void deliverReplies();
};

} // namespace teasellock
