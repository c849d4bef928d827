/// The inside of group_gateway, shared by its sources.
#pragma once

#include "modules/gateway/acknowledgement_gate.h"
#include "modules/gateway/admission_state.h"
#include "modules/gateway/connection_pool.h"
#include "modules/gateway/group_gateway.h"
#include "modules/gateway/replica_choice.h"
#include "modules/gateway/upstream_health.h"
#include "modules/gateway/upstream_prober.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace teasellock {

/// Where a statement is on its way.
enum class statement_phase {
  AwaitingFloor,
  AwaitingReplica,
  Queued,
  Acquiring,
  Running,
  AwaitingAcknowledgement,
  /// Its outcome is unknown and its key will tell.
  AwaitingKey,
};

/// An open transaction and the connection it is pinned to.
struct pinned_transaction {
  upstream_id Upstream;
  term Term;
  bool ByReplica = false;
  std::unique_ptr<pooled_connection> Connection;
  /// The statement that runs in it now, or 0.
  std::uint64_t Statement = 0;
};

/// What a run on the upstream is for.
enum class run_purpose { Statement, Tombstone, KeyLookup };

/// A statement on its way through the gateway.
struct gateway_statement {
  std::uint64_t Id = 0;
  caller_request Caller;
  wire::statement_request Request;
  std::function<void(wire::statement_reply)> Reply;
  statement_phase Phase = statement_phase::Queued;
  run_purpose Purpose = run_purpose::Statement;
  time_point ArrivedAt;
  time_point Deadline;
  time_point QueuedAt;
  time_point SentAt;
  time_point CatchupDeadline;
  std::optional<position> Floor;
  std::set<upstream_id> Excluded;
  upstream_id Upstream;
  bool ByReplica = false;
  /// Term in which it was sent to the primary.
  term Term;
  std::uint32_t Attempts = 0;
  std::unique_ptr<pooled_connection> Connection;
  /// When the back-end was last known to work on it.
  time_point LastAlive;
  bool CheckingSilence = false;
  bool CheckEarly = false;
  /// Parts of the answer went to the caller already.
  bool Forwarded = false;
  /// The answer of a write, held back until it is acknowledged.
  std::vector<std::string> Held;
  /// The key was found to be used; what its row says.
  std::optional<key_outcome> KeyOutcome;
  span Span;
  span UpstreamSpan;

  bool isRead() const { return Request.access == wire::statement_access::read; }
  bool inTransaction() const { return Request.transaction != 0; }
  transaction_key transactionKey() const {
    return transactionKeyOf(Caller, Request);
  }
};

/// All that belongs to one upstream of the group.
struct upstream_slot {
  upstream_announcement Announcement;
  upstream_health Health;
  std::unique_ptr<upstream_prober> Prober;
  std::unique_ptr<connection_pool> Pool;
  std::optional<time_point> LeavingSince;
  time_point LastRepointed;
  gauge *ConnectionGauge = nullptr;
};

/// A fence that waits for fresh probes.
struct pending_fence {
  term Term;
  time_point StartedAt;
  std::set<upstream_id> Awaited;
  std::function<void(wire::fence_reply)> Answer;
};

struct group_gateway::state
    : std::enable_shared_from_this<group_gateway::state> {
  state(daemon_context &Context, membership_hooks Member,
        const gateway_settings &Settings, group_id Group);

  daemon_context &Context;
  membership_hooks Member;
  const gateway_settings &Settings;
  group_view View;
  bool Assigned = false;
  gateway_share Share;
  admission_state Admission;
  acknowledgement_gate Gate;
  position_history History;
  std::map<upstream_id, upstream_slot> Upstreams;
  std::unordered_map<std::uint64_t, std::unique_ptr<gateway_statement>>
      Statements;
  std::uint64_t LastStatement = 0;
  std::map<transaction_key, pinned_transaction> Transactions;
  std::vector<pending_fence> Fences;
  /// The last share all connections were within.
  std::uint64_t ConfirmedEpoch = 0;
  timer_subscription Ticker;
  /// When gateways that are gone may have their back-ends ended.
  std::map<vm_id, time_point> RemovedGateways;
  latency_histogram &QueueSeconds;
  latency_histogram &AcknowledgementSeconds;
  latency_histogram &StatementSeconds;

  time_point now() const { return Context.Timers.now(); }
  gateway_statement *find(std::uint64_t Id);
  upstream_slot *findUpstream(const upstream_id &Upstream);

  // group_gateway.cpp: the view and the end of statements.
  void apply(const group_view &NewView);
  void applyUpstreams();
  void addUpstream(const upstream_announcement &Announcement);
  void applyLimits();
  void moveQueuedFrom(const upstream_id &Upstream);
  void refuseQueued();
  void stopWhenUnused();
  bool withinShare() const;
  void noteGatewayChanges(const std::vector<gateway_share> &Before);
  void endLeftoversOf(const vm_id &Vm, incarnation Kept);
  void endLostWork();
  void tick();
  void tickStatement(gateway_statement &Statement);
  void reply(gateway_statement &Statement, wire::statement_reply Reply);
  void answer(gateway_statement &Statement, const position &Reached,
              char TransactionStatus);
  void refuse(gateway_statement &Statement, const std::string &Code,
              const std::string &Problem, bool NotAssigned = false);
  void giveUpUnknown(gateway_statement &Statement, const std::string &Problem);
  void forget(gateway_statement &Statement);

  // group_statements.cpp: from arrival to the upstream and back.
  void submit(arrived_statement Arrived);
  void begin(gateway_statement &Statement);
  void beginRead(gateway_statement &Statement);
  void beginWrite(gateway_statement &Statement);
  void continueTransaction(gateway_statement &Statement);
  bool chooseUpstream(gateway_statement &Statement);
  void readFromPrimary(gateway_statement &Statement);
  bool mayWrite() const;
  bool serves(const upstream_slot &Slot) const;
  void admit(gateway_statement &Statement, work_class Class);
  void applyEffects(const upstream_id &Upstream, admission_effects Effects);
  void onAdmitted(const upstream_id &Upstream, const queued_work &Work);
  void onAcquired(std::uint64_t Id, const upstream_id &Upstream,
                  acquired_connection Acquired);
  void run(gateway_statement &Statement, pooled_connection &Connection);
  void onPart(std::uint64_t Id, std::string Part);
  void onDone(std::uint64_t Id, run_result Result);
  void onBroken(gateway_statement &Statement, const run_result &Result);
  void conclude(gateway_statement &Statement, run_result Result);
  void giveBack(gateway_statement &Statement, char TransactionStatus,
                bool SessionChanged);
  void freeConnection(gateway_statement &Statement, connection_fate Fate);
  void retryRead(gateway_statement &Statement, const std::string &Problem);
  void startGate(gateway_statement &Statement);
  pooled_connection *connectionOf(gateway_statement &Statement);

  // group_keys.cpp: idempotency keys.
  bool hasKeyToRecord(const gateway_statement &Statement) const;
  std::vector<upstream_operation>
  operationsOf(const gateway_statement &Statement) const;
  bool isKeyConflict(const gateway_statement &Statement,
                     const run_result &Result) const;
  void lookUpKey(gateway_statement &Statement);
  void onKeyLookup(std::uint64_t Id, run_result Result);
  void resolveKey(gateway_statement &Statement, const std::string &Problem);
  void onTombstone(gateway_statement &Statement, run_result Result);
  void answerByKey(gateway_statement &Statement, const position &Reached);

  // group_probes.cpp: probes, the gate, fences and repointing.
  void onProbe(const upstream_id &Upstream, const probe_result &Probe);
  void onPrimaryProbe(upstream_slot &Primary);
  void serveVerdicts(const std::vector<gate_verdict> &Verdicts);
  void serveFloorWaiters(const upstream_slot &Primary);
  void serveCatchupWaiters();
  void probePrimary();
  void probeReplicas();
  void probeAgainIfAwaited();
  void repoint(const upstream_slot &Primary);
  void breakConnectionsTo(const upstream_id &Upstream,
                          const std::string &Problem);
  void checkSilence(gateway_statement &Statement);
  void distrustConnectionsTo(const upstream_id &Upstream);
  void fenceTerm(term Term, std::function<void(wire::fence_reply)> Answer);
  void serveFences(const upstream_id &Upstream, const probe_result &Probe);
  void answerFence(pending_fence &Fence);
  void promote(const wire::promote &Order,
               std::function<void(wire::promote_reply)> Answer);
  wire::group_report report() const;

  // Callers that went away.
  void cancel(gateway_statement &Statement);
  void release(const transaction_key &Key);
  void callerGone(link_id Link);

  upstream_target targetOf(const upstream_announcement &Announcement) const;
};

} // namespace teasellock
