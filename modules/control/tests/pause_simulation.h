#pragma once

#include "modules/control/pause_promotion.h"
#include "modules/control/tests/simulated_gateway.h"

#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace teasellock {

/// What happens in a simulation besides commits, restarts and late orders.
struct scenario {
  /// The primary crashes.
  bool PrimaryCrashes = true;
  /// The primary announces that it is leaving, and a gateway reaches it.
  bool PrimaryLeaves = false;
  /// A further replica receives and confirms commits before control knows it.
  bool HasUnknownReplica = false;
  /// A further replica starts while the primary is replaced.
  bool ReplicaJoins = false;
  /// Any upstream crashes, and comes back with its log under another id. None
  /// loses its log.
  bool ChangesIds = false;
  /// The primary is lost for good at the end.
  bool PrimaryIsLost = false;
  /// Control is down for a while now and then, and a further replica starts at
  /// any time. Upstreams announce themselves when they start and then once per
  /// AnnouncementInterval. The gateway restarts with control, and forgets what
  /// it has acknowledged.
  bool ControlRestarts = false;
  /// A further replica starts at any time while control works. Its first
  /// announcement may go to a control VM that does not answer; it then repeats
  /// it after a second.
  bool LosesAnnouncements = false;
  /// Upstreams are replaced one after the other: an empty one starts under
  /// another id, and one drains and ends with its log. Half of the departures
  /// are not recorded. Upstreams crash, and come back with their log.
  bool Replaces = false;
  /// The upstream that is chosen may start again under its id, without its log.
  bool RestartsChosen = false;
};

/// A primary that works leaves while a replica that control does not know
/// confirms commits.
inline constexpr scenario Handover{
    .PrimaryCrashes = false, .PrimaryLeaves = true, .HasUnknownReplica = true};
/// Primaries leave and crash, and orders are carried out late.
inline constexpr scenario CrashDuringHandover{true, true, false};
/// A primary crashes and may be back before another upstream leads, while a
/// replica joins.
inline constexpr scenario JoinDuringFailover{true, false, false, true};
/// Upstreams come back under other ids.
inline constexpr scenario ChangedIds{true, false, false, false, true};
inline constexpr scenario ChangedIdsThenLoss{true,  false, false,
                                             false, true,  true};
/// A replica starts while control is down, and the primary crashes.
inline constexpr scenario ControlRestart{true,  false, false, false,
                                         false, false, true};
/// The same while primaries leave.
inline constexpr scenario ChangedIdsDuringHandover{.PrimaryLeaves = true,
                                                   .ChangesIds = true};
inline constexpr scenario ControlRestartDuringHandover{.PrimaryLeaves = true,
                                                       .ControlRestarts = true};
/// A replica starts and is announced late, and the primary crashes.
inline constexpr scenario LateAnnouncement{.LosesAnnouncements = true};
/// An upstream starts again without its log after it was chosen.
inline constexpr scenario RestartedChoice{.RestartsChosen = true};
/// All upstreams are replaced again and again while leaders of control change.
inline constexpr scenario Replacements{.Replaces = true};

/// Simulates upstreams with logs, gateways of which some are cut off from
/// control and answer late, a platform that executes orders late, and a control
/// leader that uses the real decisions. The oracle is the log of acknowledged
/// commits.
class pause_simulation {
public:
  pause_simulation(std::uint64_t Seed, const pause_rules &Rules,
                   const scenario &Scenario = {},
                   const gateway_rules &GatewayRules = {});

  /// Runs the simulation; returns true if a promotion lost an acknowledged
  /// commit.
  bool losesCommit(int Steps);

  int promotions() const { return Promotions; }

  /// Ends all disturbances; returns how long the group takes to acknowledge a
  /// commit again, or nothing if it does not within maxSettlingTime().
  std::optional<duration> settlingTime();

  bool hasLost() const { return Lost; }
  int replacements() const { return Replacements; }
  /// Reports whether a running upstream has reached the highest position that
  /// control knows to be acknowledged.
  bool hasCandidate() const;

private:
  static constexpr int TurnsPerHeartbeat = 100;

  /// An order that never takes effect, the wait for earlier ones, the time that
  /// a promotion takes, and what it may have to wait for before.
  duration maxSettlingTime() const;

  /// One turn without disturbances.
  void settle(bool Announces);

  /// Reports whether a further replica starts later than the others, and
  /// announces itself then.
  bool startsReplica() const {
    return Scenario.ControlRestarts || Scenario.LosesAnnouncements ||
           Scenario.Replaces;
  }

  static constexpr std::size_t KnownCount = 3;
  /// Enough for those that drain beside those that serve.
  static constexpr std::size_t ReplacedCount = 9;
  static constexpr std::int64_t ReplacementMs = 2400;
  static constexpr std::int64_t DrainMs = 10000;
  static constexpr std::size_t EntriesPerTurn = 20;
  static constexpr std::uint64_t MaxControlDownMs = 1500;
  static constexpr std::int64_t AnnouncementRetryMs = 1000;
  /// From the acceptance of an order until its upstream leads.
  static constexpr std::int64_t PromotionMs = 600;
  static constexpr std::size_t GatewayCount = 3;
  /// Longer than control takes to notice that a gateway is gone.
  static constexpr std::uint64_t MaxGatewayCutMs = 4000;

  struct upstream {
    std::vector<log_entry> Log;
    std::uint64_t Incarnation = 0;
    bool Paused = false;
    bool Alive = true;
    time_point StartedAt;
    time_point LastPausedAt;
    std::uint64_t Process = 0;
    /// How often it came back under another id.
    int Life = 0;
    time_point NextAnnouncementAt;
    /// It drains, and ends then.
    std::optional<time_point> EndsAt;
    /// Its process has ended for good, or has not been started.
    bool IsUnused = false;
  };

  struct order {
    std::size_t Upstream = 0;
    std::uint64_t Token = 0;
    std::uint64_t Number = 0;
    upstream_id Name;
    std::uint64_t Process = 0;
    /// Its answer is lost, and it is carried out at any later time.
    bool IsLate = false;
  };

  /// An accepted order; it can't be refused any more.
  struct accepted_promotion {
    std::size_t Upstream = 0;
    upstream_id Name;
    std::uint64_t Process = 0;
    time_point DueAt;
  };

  /// A gateway's answer to an order to pause that has not reached control.
  struct pending_reply {
    std::size_t Gateway = 0;
    wire::fence_reply Reply;
    time_point FenceSentAt;
    bool IsLate = false;
  };

  upstream_id name(std::size_t Id) const;
  static std::size_t numberOf(const upstream_id &Id);
  std::uint64_t pick(std::uint64_t Bound) { return Random() % Bound; }
  void advanceTime(std::int64_t Milliseconds);

  /// Control receives an announcement of the upstream.
  void announce(std::size_t Id);

  void apply(const wire::control_command &Command);

  bool isCutOff(const simulated_gateway &Gateway) const {
    return Now < Gateway.CutOffUntil;
  }

  /// Control receives a report of the gateway, which has applied all changes.
  void report(const simulated_gateway &Gateway);
  void reportAll();

  /// The gateway renews its lease, which brings it the view.
  void renew(simulated_gateway &Gateway);

  /// The gateway asks an upstream for its position.
  void query(simulated_gateway &Gateway, std::size_t Id);

  /// The gateway answers what it can; the oracle records what it acknowledges.
  void answerCommits(simulated_gateway &Gateway);

  /// Something happens at one of the gateways.
  void stepGateway();

  void commit();
  void replicate(std::size_t Id, std::size_t MaxEntries = 1);

  /// Replicas receive what a primary had sent before it was demoted.
  void catchUp();

  /// Sends an announcement, which is lost while control is down.
  void announceInTime(std::size_t Id);

  /// Starts an empty upstream in place of the oldest one, which drains, and
  /// ends those that have drained.
  void replaceUpstreams();

  /// Sends the announcements that are due.
  void announceAll();

  /// Another leader takes over with the replicated state and the announcements.
  void changeLeader();

  /// A crashed upstream comes back with its log.
  void revive(std::size_t Id);

  void restart(std::size_t Id);

  /// A gateway receives an order to pause the replicas.
  void pause(simulated_gateway &Gateway,
             const std::optional<upstream_id> &DemotionTarget, term PauseTerm);

  /// Delivers gateways' answers to pauses, or loses them.
  void deliverReplies();

  /// Returns the process that runs under the id when the order is made. The
  /// order promotes no later one.
  std::uint64_t processOf(const promotion_order &Order) const;

  /// The platform receives an order.
  void execute(const order &Order);

  /// The platform receives the orders that are not late.
  void receiveOrders();

  /// Carries out the orders that the platform has accepted and that are due.
  void carryOutPromotions();
  void decide();
  void step();

  std::mt19937_64 Random;
  pause_rules Rules;
  scenario Scenario;
  decision_settings Settings;
  group_state Group;
  leader_state Leader;
  time_point Now{fromMilliseconds(100000)};
  std::uint64_t Index = 0;
  std::vector<upstream> Upstreams;
  std::size_t PrimaryNumber = 0;
  bool PrimaryDemoted = false;
  std::uint64_t PrimaryTerm = 1;
  std::vector<simulated_gateway> Gateways;
  std::vector<pending_reply> Replies;
  std::vector<log_entry> Acknowledged;
  /// What was in the log of the present primary when it was promoted.
  std::vector<log_entry> PromotedLog;
  std::vector<order> Orders;
  std::vector<accepted_promotion> AcceptedPromotions;
  std::uint64_t Fence = 0;
  time_point ControlUpAt;
  bool Lost = false;
  int Promotions = 0;
  int Replacements = 0;
  time_point NextReplacementAt;
};

} // namespace teasellock
