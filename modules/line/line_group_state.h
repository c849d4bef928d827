/// Internal declarations of the group gateway for the line protocol, shared by
/// its source files: connections and scheduling in line_group.cpp,
/// line_group_connections.cpp and line_group_statements.cpp, outcomes in
/// line_group_outcomes.cpp, those of commits in line_group_commits.cpp, probes
/// and reports in line_group_probes.cpp, orders of control in
/// line_group_pauses.cpp, measures for even load in line_group_load.cpp.
#pragma once

#include "modules/line/admission_control.h"
#include "modules/line/commit_coverage.h"
#include "modules/line/connection_choice.h"
#include "modules/line/in_flight_limit.h"
#include "modules/line/line_connection.h"
#include "modules/line/line_group.h"
#include "modules/line/load_metrics.h"
#include "modules/line/queue_order.h"
#include "modules/line/read_choice.h"
#include "modules/line/session_values.h"
#include "modules/line/upstream_score.h"
#include "modules/line/write_fence.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace teasellock {

/// A connection for statements and the state of its session at the upstream.
struct line_session {
  std::unique_ptr<line_connection> Connection;
  /// The organisation that it was opened for; empty for callers without one.
  organisation_id Organisation;
  /// No statement has used it since it was opened.
  bool IsUnused = false;
  session_values Values;
  /// Whether the transaction of a read outside a transaction is still open: its
  /// ROLLBACK was rejected.
  bool IsRollbackDue = false;
  /// The changes of the batch in flight, in its order.
  std::vector<session_change> PendingChanges;
  time_point LastUsedAt;
};

/// A request on an upstream's probe connection: a probe, a status request, or
/// an order to pause or resume replication.
struct line_probe_request {
  /// The statements to send, encoded, and the kinds of their answers.
  std::string Bytes;
  std::vector<answer_kind> Kinds = {answer_kind::Status};
  /// Called with the result; not called when the request is dropped because
  /// the upstream is unreachable.
  std::function<void(const line_batch_result &)> OnResult;
};

/// This gateway's connections to one upstream, and what it knows of its state.
struct line_upstream {
  upstream_announcement Announcement;
  std::vector<std::unique_ptr<line_session>> IdleSessions;
  /// Connections that execute a statement or hold a transaction.
  std::uint32_t ConnectionsInUse = 0;
  /// Connections that are being opened.
  std::uint32_t ConnectionsOpening = 0;
  /// Statements that found no free connection in the current pass over the
  /// queue.
  std::uint32_t ConnectionDemand = 0;
  /// The connections in use and being opened, and the waiting statements, by
  /// organisation.
  std::map<organisation_id, connection_use> ConnectionUses;
  /// Statements sent to the upstream and not yet answered.
  std::uint32_t InFlight = 0;
  /// No connection is opened before this, after one has failed.
  time_point ConnectNotBefore;
  duration ConnectDelay{};
  /// No statement is sent before this: the upstream rejected one as busy.
  time_point BusyUntil;
  /// When its announcement first said that it is leaving. Long ago if it did
  /// when this gateway first saw it.
  std::optional<time_point> LeavingSince;

  /// Whether it is the primary, in Term, as far as this gateway knows.
  bool IsPrimary = false;
  term Term;
  /// Highest positions known to be applied, and to be in its log.
  position Applied;
  position Received;
  /// When the last message was received, if any was.
  time_point LastReceivedAt;
  bool HasReceived = false;
  /// The newest term in which it is known to have been the primary.
  term LedTerm;
  /// Position that it last reported as a replica, over its probe connection.
  std::optional<replica_sighting> Sighting;
  /// It was too busy for the last status request.
  bool RejectedStatus = false;
  /// Whether it is a replica that does not receive the primary's log.
  bool Paused = false;
  std::optional<time_point> UnreachableSince;
  /// Why it is unreachable, and whether it refused the TCP connection.
  bool ConnectionRefused = false;
  std::string Problem;
  /// Moving average over the latest statements, from sending to the answer.
  duration Latency{};
  latency_trend LatencyTrend;
  time_point LastAnswerAt;
  upstream_score Score;
  in_flight_limit FlightLimit;
  std::unique_ptr<load_metrics> Load;
  /// When the oldest write was sent that is unanswered, if no write has been
  /// answered since.
  std::optional<time_point> WriteUnansweredSince;

  /// A connection for probes alone, so that they never wait for statements.
  std::unique_ptr<line_connection> ProbeConnection;
  bool ProbeConnectionOpening = false;
  /// Requests that wait for the probe connection, and the one in flight.
  std::deque<line_probe_request> ProbeQueue;
  std::optional<line_probe_request> ProbeInFlight;
  time_point ProbeSentAt;
  time_point ProbeNotBefore;
  time_point PositionRequestedAt;
  time_point StatusRequestedAt;
};

/// Where a statement may be executed: on any upstream whose data is recent
/// enough, or only on the primary. PrimaryRead is a read that the primary
/// executes within a transaction, which proves that it still is the primary.
enum class line_destination { AnyUpstream, PrimaryRead, Primary };

/// The phase of a statement: queued, session being prepared, or sent.
enum class line_phase { Queued, Preparing, Executing };

/// What an upstream has shown of its load: it rejected a statement as busy,
/// executed one, or does not answer any more.
enum class limit_evidence { Busy, Executed, Unanswered };

/// Names one attempt to execute a statement.
struct line_attempt_key {
  std::uint64_t Statement = 0;
  std::uint32_t Attempt = 0;

  auto operator<=>(const line_attempt_key &) const = default;
};

/// A statement that has arrived and is not answered yet.
struct line_pending_statement {
  std::uint64_t Id = 0;
  incoming_statement Arrived;
  line_destination Destination = line_destination::AnyUpstream;
  line_phase Phase = line_phase::Queued;
  read_requirement ReadRequirement;
  queue_key QueueKey;
  time_point ArrivedAt;
  time_point Deadline;
  /// It is not retried before this.
  time_point NotBefore;
  time_point SentAt;
  /// Upstreams of earlier attempts, to be avoided.
  std::set<upstream_id> TriedUpstreams;
  std::uint32_t Attempts = 0;
  /// Of the current attempt: the upstream, the position it must have applied,
  /// and the connection.
  upstream_id Upstream;
  std::optional<position> RequiredPosition;
  std::unique_ptr<line_session> Session;
  /// The upstreams where it waits for a connection.
  std::vector<upstream_id> WaitsAt;
  /// Why it has not been executed so far.
  std::string Reason;
  /// Its caller has disconnected, or ended the transaction that it opens.
  bool IsAbandoned = false;
  span Span;

  const wire::statement_request &request() const { return Arrived.Statement; }
  const wire::line_step &step() const { return Arrived.Statement.line; }
  line_attempt_key key() const { return {Id, Attempts}; }
  organisation_id organisation() const {
    return organisation_id(request().organisation);
  }
  transaction_key transactionKey() const {
    return transactionKeyOf(Arrived.Key, request());
  }
  bool isReadOutsideTransaction() const {
    return !isInTransaction() && !isCommit() &&
           request().access == wire::statement_access::read;
  }
  statement_kind kind() const {
    return {request().max_staleness_ms, request().target_ms};
  }
  bool isInTransaction() const { return request().transaction != 0; }
  bool opensTransaction() const { return request().opens_transaction; }
  bool isCommit() const { return step().verb == wire::line_verb::commit; }
  /// Whether the outcome is unknown when the answer is lost: the statement may
  /// have changed data.
  bool changesData() const {
    return isCommit() || (!isInTransaction() &&
                          request().access == wire::statement_access::write);
  }
};

/// An attempt that its statement no longer waits for, or not for it alone: a
/// read that was sent to another upstream as well, a statement that timed out,
/// or the rollback of a transaction that nobody continues. Its connection is
/// kept open for the answer.
struct line_detached_attempt {
  upstream_id Upstream;
  std::unique_ptr<line_session> Session;
  /// The connection is closed if there is no answer by then.
  time_point ExpiresAt;
  bool IsRollback = false;
};

/// A connection that is being opened.
struct line_opening {
  upstream_id Upstream;
  organisation_id Organisation;
  std::unique_ptr<line_connection> Connection;
};

/// An open transaction and the connection that it is pinned to.
struct line_transaction {
  upstream_id Upstream;
  /// Null while a statement of the transaction is executing.
  std::unique_ptr<line_session> Session;
  bool HasWrites = false;
};

/// The answer to a commit that is not forwarded before a replica is known to
/// have the commit.
struct line_held_commit {
  line_attempt_key Attempt;
  line_answer Answer;
  time_point HeldAt;
};

/// The gateway of one group: queues statements, executes them on the group's
/// upstreams, and probes the upstreams. Used by one event loop thread.
class line_group : public group_handler,
                   public std::enable_shared_from_this<line_group> {
public:
  line_group(daemon_context &Context, membership_hooks Member,
             const line_group_settings &Settings, group_id Group);
  ~line_group() override;

  void apply(const group_view &NewView) override;
  void submit(incoming_statement Arrived) override;
  void cancel(const statement_key &Key) override;
  void release(link_id Link, transaction_id Transaction) override;
  void handleLinkClosed(link_id Link) override;
  bool isActive() const override;
  wire::group_report report() const override;
  void fence(const wire::fence &Fence,
             std::function<void(wire::fence_reply)> Answer) override;
  void resume() override;
  void promote(const wire::promote &Order,
               std::function<void(wire::promote_reply)> Answer) override;
  std::size_t inFlight() const override;

private:
  /// A fence order whose upstreams have not all answered yet.
  struct pending_pause {
    std::int64_t FencedTerm = 0;
    /// The term that the orders to demote and to pause carry.
    term PauseTerm;
    /// The primary to demote before all are paused, and whether it has not
    /// answered yet.
    std::optional<upstream_id> Demoted;
    bool AwaitsDemotion = false;
    std::set<upstream_id> Unanswered;
    /// The replicas that are paused, also the former primary.
    std::set<upstream_id> Paused;
    /// Empty once it has been called.
    std::function<void(wire::fence_reply)> Answer;
    timer_subscription Timeout;
    /// Runs between the demotion and the pauses.
    timer_subscription CatchUp;
  };

  time_point now() const { return Context.Timers.now(); }
  const line_protocol &protocol() const { return *Settings.Protocol; }
  line_upstream *findUpstream(const upstream_id &Id);
  line_pending_statement *findStatement(std::uint64_t Id);

  // line_group.cpp
  void applyUpstreams();
  void removeUpstream(const upstream_id &Id);
  void refuseQueued();
  void refuseOverlongWaits();
  void endWorkWithoutLease();
  void tick();
  void armDeadlineTimer();
  void expireStatements();
  std::uint32_t connectionLimit() const;
  bool canConnect(const line_upstream &Upstream) const;
  void connect(const upstream_id &Id, const organisation_id &Organisation);
  void onConnected(const upstream_id &Id, std::uint64_t Attempt,
                   const line_connect_result &Opening);
  void releaseSession(const upstream_id &Id,
                      std::unique_ptr<line_session> Session);
  void rollBack(const upstream_id &Id, std::unique_ptr<line_session> Session);
  void closeSession(const upstream_id &Id,
                    std::unique_ptr<line_session> Session);
  void trimIdleSessions(line_upstream &Upstream);
  bool canAccept(const line_upstream &Upstream) const;

  // line_group_connections.cpp
  bool usesOrganisations() const;
  connection_pool poolOf(const line_upstream &Upstream) const;
  void updateWaiting();
  void recordWaiting(line_pending_statement &Statement, const upstream_id &Id);
  void recordWaitingRead(line_pending_statement &Statement,
                         const position &Required);
  void forgetWaiting(line_pending_statement &Statement);
  bool hasIdleConnection(const line_upstream &Upstream,
                         const organisation_id &Organisation) const;
  bool canGetConnection(const line_upstream &Upstream,
                        const organisation_id &Organisation) const;
  bool claimConnection(line_pending_statement &Statement,
                       const upstream_id &Id);
  void takeIdleSession(line_pending_statement &Statement,
                       line_upstream &Upstream);
  void replaceIdleSession(line_upstream &Upstream, std::size_t Index);

  // line_group_load.cpp
  void learnPosition(line_upstream &Upstream, const line_ready &Ready) const;
  void learnPositions(const upstream_id &Id, const line_batch_result &Result);
  void addLoadEvidence(read_candidate &Candidate,
                       const line_upstream &Upstream) const;
  std::optional<double> drawForRead();
  std::uint32_t fixedLimitOn(const line_upstream &Upstream) const;
  std::uint32_t maxInFlightOn(const line_upstream &Upstream) const;
  void updateLoadMetrics();
  void adaptLimit(line_upstream &Upstream, limit_evidence Evidence);

  // line_group_statements.cpp
  void startQueued();
  bool tryStart(line_pending_statement &Statement);
  bool tryStartOn(line_pending_statement &Statement, const upstream_id &Id,
                  std::optional<position> After);
  std::vector<read_candidate>
  readCandidates(const organisation_id &Organisation) const;
  bool tryStartRead(line_pending_statement &Statement);
  void prepareSession(line_pending_statement &Statement);
  line_session *findSession(line_attempt_key Key);
  void onSessionPrepared(line_attempt_key Key, const line_batch_result &Result);
  void execute(line_pending_statement &Statement);
  void onExecuted(line_attempt_key Key, line_batch_result Result);
  void handleExecuted(line_attempt_key Key, line_batch_result Result);
  bool hasWrittenTransaction(const line_pending_statement &Statement) const;
  bool isFenced(const line_pending_statement &Statement) const;
  bool handleDetachedAnswer(line_attempt_key Key,
                            const line_batch_result &Result);
  void detachAttempt(line_pending_statement &Statement);
  void hedgeSlowReads();
  void closeExpiredAttempts();
  void endDetachedAttempt(line_detached_attempt &Detached);
  void updateGauges();
  std::string describeUpstreams() const;
  bool refuseIfWaitTooLong(line_pending_statement &Statement);
  queue_rate &rateOf(const line_pending_statement &Statement);
  std::size_t queueDepthBefore(const line_pending_statement &Statement) const;
  void continueTransaction(line_pending_statement &Statement,
                           line_transaction &Transaction);
  wire::statement_reply replyOf(const line_pending_statement &Statement,
                                const line_answer &Answer) const;
  void replyAnswered(line_pending_statement &Statement,
                     const line_answer &Answer);
  void handleSuccess(line_pending_statement &Statement,
                     const line_answer &Answer);
  void handleFenced(line_pending_statement &Statement);
  void recordAnswer(line_pending_statement &Statement,
                    const line_answer &Answer);
  void handleFailure(line_pending_statement &Statement,
                     const line_failure &Failure);
  void retryStatement(line_pending_statement &Statement,
                      const std::string &Reason);
  void handleLostAttempt(line_pending_statement &Statement,
                         const std::string &Reason);
  void finishStatement(line_pending_statement &Statement,
                       wire::statement_reply Reply);
  void refuseStatement(line_pending_statement &Statement, line_error Code,
                       const std::string &Reason, bool NotAssigned = false);
  void replyFailed(line_pending_statement &Statement,
                   const line_failure &Failure);
  void replyUnknown(line_pending_statement &Statement, line_error Code,
                    const std::string &Reason);
  void releaseFailedSession(line_pending_statement &Statement);

  // line_group_commits.cpp
  void handleConfirmedCommit(line_pending_statement &Statement,
                             const line_answer &Answer);
  void answerCommit(line_pending_statement &Statement,
                    const line_answer &Answer, commit_verdict Verdict);
  void holdCommit(line_pending_statement &Statement, const line_answer &Answer);
  void handleHeldCommits();
  void recordReplicaPosition(line_upstream &Upstream,
                             const line_connection &Connection,
                             const std::optional<position> &Position);
  void refreshCoverage();
  bool countsAsReplica(const line_upstream &Upstream) const;
  const upstream_id *findNearestReplica() const;
  void queryReplicas();
  void queryReplica(const upstream_id &Id);

  // line_group_probes.cpp
  std::optional<upstream_id> findPrimary() const;
  void handleLeadership(const upstream_id &Id, bool IsPrimary, term Term);
  void handleReachable(line_upstream &Upstream);
  void handleUnreachable(const upstream_id &Id, const std::string &Problem,
                         bool Refused);
  void enqueueProbeRequest(const upstream_id &Id, line_probe_request Request);
  void sendNextProbeRequest(const upstream_id &Id);
  void openProbeConnection(const upstream_id &Id);
  void onProbeResult(const upstream_id &Id, const line_batch_result &Result);
  void probe(const upstream_id &Id);
  void requestStatus(const upstream_id &Id);
  void enqueueStatusRequest(const upstream_id &Id, std::string Bytes);
  void applyStatus(const upstream_id &Id, const line_batch_result &Result);
  void probeUpstreams();
  void recordPositionSample(time_point RequestedAt, const position &Position);
  term nextTerm() const;
  void sendPauses(const std::shared_ptr<pending_pause> &Pause);
  void sendPause(const upstream_id &Id,
                 const std::shared_ptr<pending_pause> &Pause);
  void onPaused(const upstream_id &Id,
                const std::shared_ptr<pending_pause> &Pause,
                const line_batch_result &Result);
  void onDemoted(const std::shared_ptr<pending_pause> &Pause);
  void finishPause(pending_pause &Pause);
  wire::upstream_report reportOf(const upstream_id &Id,
                                 const line_upstream &Upstream) const;

  daemon_context &Context;
  membership_hooks Member;
  line_group_settings Settings;
  group_view View;
  bool IsAssigned = false;
  /// Whether a statement of an organisation has arrived.
  bool HasServedOrganisations = false;
  gateway_share Share;
  /// See primaryGateways().
  std::size_t PrimaryGatewayCount = 0;
  std::map<upstream_id, line_upstream> Upstreams;
  std::map<std::uint64_t, std::unique_ptr<line_pending_statement>>
      PendingStatements;
  /// Waiting statements by their order of execution.
  std::map<queue_key, std::uint64_t> Queue;
  execution_estimates Estimates;
  std::map<transaction_key, line_transaction> Transactions;
  std::map<line_attempt_key, line_detached_attempt> DetachedAttempts;
  write_fence WriteFence;
  commit_coverage Coverage;
  std::vector<line_held_commit> HeldCommits;
  timer_subscription ReplicaQueryTimer;
  /// The next query goes to the nearest replica only.
  bool AsksNearest = false;
  /// Highest end of a primary's log when it confirmed a commit that this
  /// gateway acknowledged.
  position Acknowledged;
  /// Rates of the reads that any upstream may serve, and of the statements that
  /// only the primary may.
  queue_rate ReadRate;
  queue_rate PrimaryRate;
  /// Connections that are being opened, by attempt.
  std::map<std::uint64_t, line_opening> Connecting;
  position_history PositionHistory;
  /// For the choice of upstreams; seeded differently by each gateway.
  std::minstd_rand Random;
  std::uint64_t LastId = 0;
  bool StartingQueued = false;
  bool StartQueuedAgain = false;
  timer_subscription TickTimer;
  timer_subscription DeadlineTimer;
  std::optional<time_point> DeadlineAt;
  latency_histogram &QueueSeconds;
  latency_histogram &StatementSeconds;
  /// How long the answers of commits were held.
  latency_histogram &HeldCommitSeconds;
  /// Transactions that callers have open at upstreams.
  gauge &OpenTransactions;
  /// Connections that execute a statement or hold a transaction.
  gauge &ConnectionsInUse;
};

} // namespace teasellock
