#pragma once

#include "modules/control/pause_promotion.h"
#include "modules/line/write_fence.h"

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
  /// The run ends when a primary is replaced that was not demoted. Used where
  /// control may never hear of the further replica: commits that only that
  /// replica has confirmed are then lost. LosesAnnouncements covers the case
  /// with announcements as upstreams send them.
  bool StopsAtFailover = false;
};

/// A primary that works leaves while a replica that control does not know
/// confirms commits.
inline constexpr scenario Handover{.PrimaryCrashes = false,
                                   .PrimaryLeaves = true,
                                   .HasUnknownReplica = true,
                                   .StopsAtFailover = true};
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
/// All upstreams are replaced again and again while leaders of control change.
inline constexpr scenario Replacements{.Replaces = true};

/// Simulates upstreams with logs, a platform that executes orders late, and a
/// control leader that uses the real decisions. The oracle is the log of
/// acknowledged commits.
class pause_simulation {
public:
  pause_simulation(std::uint64_t Seed, const pause_rules &Rules,
                   const scenario &Scenario = {});

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

  /// Reports whether the run ends here; see scenario::StopsAtFailover.
  bool hasStopped() const;

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
  static constexpr int EntriesPerTurn = 20;
  static constexpr std::uint64_t MaxControlDownMs = 1500;
  static constexpr std::int64_t AnnouncementRetryMs = 1000;
  /// From the acceptance of an order until its upstream leads.
  static constexpr std::int64_t PromotionMs = 600;
  using entry = std::pair<std::uint64_t, std::uint64_t>;

  struct upstream {
    std::vector<entry> Log;
    std::uint64_t Incarnation = 0;
    bool Paused = false;
    bool Alive = true;
    time_point ConnectedAt;
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
    /// Its answer is lost, and it is carried out at any later time.
    bool IsLate = false;
  };

  /// An accepted order; it can't be refused any more.
  struct accepted_promotion {
    std::size_t Upstream = 0;
    upstream_id Name;
    time_point DueAt;
  };

  upstream_id name(std::size_t Id) const;
  static std::size_t numberOf(const upstream_id &Id);
  std::uint64_t pick(std::uint64_t Bound) { return Random() % Bound; }
  position lastPosition(const upstream &Upstream) const;
  void advanceTime(std::int64_t Milliseconds);

  /// Control receives an announcement of the upstream.
  void announce(std::size_t Id);

  void apply(const wire::control_command &Command);

  /// Control receives a report of the gateway, which has applied all changes.
  void report();

  /// Returns the length of the common prefix.
  static std::size_t commonPrefixLength(const std::vector<entry> &Left,
                                        const std::vector<entry> &Right);

  void commit();
  void replicate(std::size_t Id);

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

  void pause(const std::optional<upstream_id> &DemotionTarget, term PauseTerm);

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
  /// The newest term that an upstream has told the gateway.
  std::uint64_t ReportedTerm = 0;
  std::vector<entry> Acknowledged;
  /// The highest end of the primary's log when it confirmed a commit.
  position AcknowledgedEnd;
  std::vector<order> Orders;
  std::vector<accepted_promotion> AcceptedPromotions;
  std::uint64_t Fence = 0;
  write_fence WriteFence;
  time_point ControlUpAt;
  bool Lost = false;
  int Promotions = 0;
  int Replacements = 0;
  time_point NextReplacementAt;
};

} // namespace teasellock
