#pragma once

#include "modules/control/gen/control_messages_types.h"
#include "modules/line/write_fence.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace teasellock {

/// A commit in a simulated log: its term and number.
using log_entry = std::pair<std::uint64_t, std::uint64_t>;

/// Returns the length of the common prefix.
std::size_t commonPrefixLength(const std::vector<log_entry> &Left,
                               const std::vector<log_entry> &Right);

position endOf(const std::vector<log_entry> &Log);

/// What a simulated upstream tells a gateway that reaches it.
struct upstream_answer {
  upstream_id Name;
  /// Number of the process; differs after each start.
  std::uint64_t Process = 0;
  bool IsReplica = true;
  position Received;
};

/// Which parts of the gateways' rule are enabled; see pause_rules.
struct gateway_rules {
  /// A commit is acknowledged only once a replica of the view has it.
  bool AwaitReplica = true;
  /// Only connections count that are older than control's last confirmation.
  bool RequireOldConnection = true;
  /// Positions of a term before the confirmed one don't count.
  bool RequireConfirmedTerm = true;
  /// The position of an upstream that led the commit's term doesn't count.
  bool ExcludeFormerPrimary = true;
};

/// A gateway of one group, with the real write fence and coverage. Its
/// connections, and what callers have sent, are simulated.
class simulated_gateway {
public:
  /// A commit that the primary has confirmed and that is not answered yet.
  struct held_commit {
    /// The log up to the commit.
    std::vector<log_entry> Log;
    /// Where the primary's log ended when it confirmed the commit.
    position Position;
    /// The confirmation has arrived.
    bool HasArrived = false;
  };

  simulated_gateway(std::string Vm, const gateway_rules &Rules)
      : Vm(std::move(Vm)), Rules(Rules) {}

  /// Control's answer to a renewal that was sent at SentAt, or a view that
  /// control pushed, without SentAt.
  void applyView(const group_view &NewView, std::optional<time_point> SentAt);

  /// Closes the fence, as an order to pause does.
  void closeFence(term Term, revision Revision);
  /// Records the end of an attempt to pause the replicas.
  void endPauses();

  bool mayWriteTo(term Term) const { return mayWrite(Fence, Term); }
  bool knows(const upstream_id &Name) const;

  /// Records what a known upstream has answered. Returns when the connection
  /// was opened.
  time_point recordAnswer(const upstream_answer &Answer, time_point Now);

  /// Records a commit that was sent to the primary.
  void send(const log_entry &Commit) { Sent.push_back(Commit); }

  /// The primary has confirmed all commits up to Last; its log is Log.
  void confirm(const std::vector<log_entry> &Log, const log_entry &Last,
               const upstream_id &Primary, bool Arrives);
  void receiveConfirmations();

  /// Answers the confirmed commits that can be. Returns the log up to each that
  /// is acknowledged now.
  std::vector<std::vector<log_entry>> answerCommits();

  /// Ends the process: nothing that it has not answered is acknowledged.
  void restart();

  /// The highest position that it has acknowledged, and that it may still
  /// acknowledge.
  position acknowledged() const { return Acknowledged; }
  position covered() const { return Coverage.Covered; }

  std::string Vm;
  /// It reaches control from this time on.
  time_point CutOffUntil;
  /// The newest term that an upstream has told it.
  std::uint64_t ReportedTerm = 0;

private:
  struct connection {
    std::uint64_t Process = 0;
    time_point OpenedAt;
    term LedTerm;
    std::optional<replica_sighting> Sighting;
  };

  void refreshCoverage();

  gateway_rules Rules;
  group_view View;
  write_fence Fence;
  commit_coverage Coverage;
  time_point ConfirmedAt;
  std::map<upstream_id, connection> Connections;
  std::vector<log_entry> Sent;
  std::vector<held_commit> Held;
  position Acknowledged;
};

} // namespace teasellock
