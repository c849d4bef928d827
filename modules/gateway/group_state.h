/// The private state of group_gateway, shared by its source files.
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

/// The phases of a statement at the gateway.
enum class statement_phase {
  /// A read whose session has no known floor waits for the primary's position.
  AwaitingFloor,
  /// A read waits until a replica has replayed the log up to its floor.
  AwaitingReplica,
  /// Waits for a slot and a connection.
  Queued,
  AcquiringConnection,
  Executing,
  /// A write that the upstream has answered waits for its replicas.
  AwaitingAcknowledgement,
  /// A write was lost after it was sent. The row of its idempotency key will
  /// show whether it was executed.
  ResolvingKey,
};

/// An open transaction and the connection that it is pinned to.
struct pinned_transaction {
  upstream_id Upstream;
  term Term;
  bool ByReplica = false;
  std::unique_ptr<pooled_connection> Connection;
  /// The id of the statement that is queued or executing in it, or 0.
  std::uint64_t Statement = 0;
};

/// What is currently executed on the upstream for a statement: itself, the
/// insertion of a tombstone for its key, or the query for its key's row.
enum class execution_purpose { Statement, Tombstone, KeyLookup };

/// A statement that the gateway has received and not yet answered.
struct gateway_statement {
  std::uint64_t Id = 0;
  statement_key Key;
  wire::statement_request Request;
  std::function<void(wire::statement_reply)> Reply;
  statement_phase Phase = statement_phase::Queued;
  execution_purpose Purpose = execution_purpose::Statement;
  time_point ArrivedAt;
  time_point Deadline;
  time_point QueuedAt;
  time_point SentAt;
  time_point CatchupDeadline;
  std::optional<position> Floor;
  /// Upstreams that must not be tried (again).
  std::set<upstream_id> Excluded;
  upstream_id Upstream;
  bool ByReplica = false;
  /// The term in which it was sent to the primary.
  term Term;
  /// Failed attempts to execute the read.
  std::uint32_t Attempts = 0;
  std::unique_ptr<pooled_connection> Connection;
  /// When the back-end was last known to be executing it.
  time_point LastActiveAt;
  /// A query for the back-end's state is in progress.
  bool IsCheckingBackEnd = false;
  /// Another connection to the upstream became unresponsive: the back-end is
  /// checked after the probe timeout if that is shorter.
  bool ShouldCheckEarly = false;
  /// A part of the answer has been sent to the caller.
  bool PartForwarded = false;
  /// Messages of the answer that are held back: a write's until it is
  /// acknowledged, a read's until the primary is known to be current.
  std::vector<std::string> HeldMessages;
  /// What the row of the statement's idempotency key says, once known.
  std::optional<key_outcome> KeyOutcome;
  span Span;
  span UpstreamSpan;

  bool isRead() const { return Request.access == wire::statement_access::read; }
  bool inTransaction() const { return Request.transaction != 0; }
  transaction_key transactionKey() const {
    return transactionKeyOf(Key, Request);
  }
};

/// The gateway's state for one upstream of the group.
struct upstream_state {
  upstream_announcement Announcement;
  upstream_health Health;
  std::unique_ptr<upstream_prober> Prober;
  std::unique_ptr<connection_pool> Pool;
  std::optional<time_point> LeavingSince;
  time_point LastRepointedAt;
  gauge *ConnectionGauge = nullptr;
};

/// A fence request that waits for probes started after it.
struct pending_fence {
  term Term;
  time_point StartedAt;
  /// Upstreams whose probe has not ended yet.
  std::set<upstream_id> AwaitedUpstreams;
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
  std::map<upstream_id, upstream_state> Upstreams;
  std::unordered_map<std::uint64_t, std::unique_ptr<gateway_statement>>
      Statements;
  std::uint64_t LastStatementId = 0;
  std::map<transaction_key, pinned_transaction> Transactions;
  std::vector<pending_fence> Fences;
  /// The budget epoch of the last share that the open connections did not
  /// exceed.
  std::uint64_t ConfirmedEpoch = 0;
  timer_subscription MaintenanceTimer;
  /// When the back-ends of gateways that left the group are terminated.
  std::map<vm_id, time_point> RemovedGatewayDeadlines;
  latency_histogram &QueueSeconds;
  latency_histogram &AcknowledgementSeconds;
  latency_histogram &StatementSeconds;

  time_point now() const { return Context.Timers.now(); }
  gateway_statement *find(std::uint64_t Id);
  upstream_state *findUpstream(const upstream_id &Upstream);

  // group_gateway.cpp: views, periodic maintenance and answers.
  void apply(const group_view &NewView);
  void applyUpstreams();
  void addUpstream(const upstream_announcement &Announcement);
  void applyLimits();
  void rerouteQueuedFrom(const upstream_id &Upstream);
  void refuseWaiting();
  void stopIfUnused();
  bool isWithinShare() const;
  void handleGatewayChanges(const std::vector<gateway_share> &Before);
  void terminateBackEndsOf(const vm_id &Vm, incarnation Kept);
  void abortUnassignedWork();
  void runMaintenance();
  void checkStatementTimeouts(gateway_statement &Statement);
  void sendReply(gateway_statement &Statement, wire::statement_reply Reply);
  void answer(gateway_statement &Statement, const position &Reached,
              char TransactionStatus);
  void answerNotRun(gateway_statement &Statement, const std::string &Code,
                    const std::string &Problem, bool NotAssigned = false);
  void answerUnknown(gateway_statement &Statement, const std::string &Problem);
  void eraseStatement(gateway_statement &Statement);

  // group_statements.cpp and group_execution.cpp: admission and execution.
  void submit(incoming_statement Arrived);
  void startStatement(gateway_statement &Statement);
  void startRead(gateway_statement &Statement);
  void startWrite(gateway_statement &Statement);
  void continueTransaction(gateway_statement &Statement);
  bool chooseUpstream(gateway_statement &Statement);
  void readFromPrimary(gateway_statement &Statement);
  bool canWrite() const;
  bool canServe(const upstream_state &State) const;
  void admit(gateway_statement &Statement, work_class Class);
  void applyEffects(const upstream_id &Upstream, admission_effects Effects);
  void onAdmitted(const upstream_id &Upstream, const queued_work &Work);
  void onAcquired(std::uint64_t Id, const upstream_id &Upstream,
                  acquire_result Acquired);
  void execute(gateway_statement &Statement, pooled_connection &Connection);
  void onPart(std::uint64_t Id, std::string Part);
  void onDone(std::uint64_t Id, execution_result Result);
  void onConnectionLost(gateway_statement &Statement,
                        const execution_result &Result);
  void finishExecution(gateway_statement &Statement, execution_result Result);
  void releaseAfterExecution(gateway_statement &Statement,
                             char TransactionStatus, bool SessionChanged);
  void releaseConnection(gateway_statement &Statement,
                         connection_disposition Disposition);
  void retryRead(gateway_statement &Statement, const std::string &Problem);
  void awaitAcknowledgement(gateway_statement &Statement);
  pooled_connection *connectionOf(gateway_statement &Statement);

  // group_idempotency.cpp: idempotency keys.
  bool shouldRecordKey(const gateway_statement &Statement) const;
  std::vector<upstream_operation>
  makeOperations(const gateway_statement &Statement) const;
  bool isKeyConflict(const gateway_statement &Statement,
                     const execution_result &Result) const;
  void lookUpKey(gateway_statement &Statement);
  void onKeyLookedUp(std::uint64_t Id, execution_result Result);
  void startKeyResolution(gateway_statement &Statement,
                          const std::string &Problem);
  void onTombstoneInserted(gateway_statement &Statement,
                           execution_result Result);
  void answerFromKey(gateway_statement &Statement, const position &Reached);

  // group_probes.cpp: probes, the gate, fences and repointing.
  void onProbe(const upstream_id &Upstream, const probe_result &Probe);
  void onPrimaryProbe(upstream_state &Primary);
  void finishWrites(const std::vector<acknowledgement_result> &Results);
  void resumeFloorWaiters(const upstream_state &Primary);
  void resumeReplicaWaiters();
  void probePrimary();
  void probeReplicas();
  void probeAgainIfAwaited();
  void repoint(const upstream_state &Primary);
  void abortWorkOn(const upstream_id &Upstream, const std::string &Problem);
  void checkResponsiveness(gateway_statement &Statement);
  void suspectConnectionsTo(const upstream_id &Upstream);
  void fenceTerm(term Term, std::function<void(wire::fence_reply)> Answer);
  void completeFences(const upstream_id &Upstream, const probe_result &Probe);
  void answerFence(pending_fence &Fence);
  void promote(const wire::promote &Order,
               std::function<void(wire::promote_reply)> Answer);
  wire::group_report report() const;

  // Callers that cancelled or disconnected.
  void cancel(gateway_statement &Statement);
  void release(const transaction_key &Key);
  void handleLinkClosed(link_id Link);

  upstream_target targetOf(const upstream_announcement &Announcement) const;
};

} // namespace teasellock
