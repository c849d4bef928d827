/// The decisions of routing at an entry: which gateway receives a statement,
/// when it is retried, and which outcome its caller receives.
///
/// The functions are pure state transitions without sockets, clocks or random
/// numbers. They append what has to be done to routing_effects, which
/// statement_router executes in order.
#pragma once

#include "core/daemon_context.h"
#include "core/distance.h"
#include "core/ids.h"
#include "core/position.h"
#include "core/time.h"
#include "modules/control/group_view.h"
#include "modules/routing/statement_state.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace teasellock {

/// Limits on retries.
struct routing_settings {
  /// Retries that each statement adds to the retry budget, that is, the share
  /// of statements that may be retried.
  double RetryBudget = 0.1;
  duration MinRetryDelay = fromMilliseconds(10);
  duration MaxRetryDelay = fromMilliseconds(200);
  /// How long after a statement's deadline the router still waits for the
  /// gateway's answer.
  duration AnswerGracePeriod = fromMilliseconds(500);
};

/// A token bucket for retries: each retry takes a token; statements and time
/// add tokens.
struct retry_budget {
  double Tokens = 0;
  time_point UpdatedAt;
};

/// The state of a gateway as known to the entry.
struct gateway_state {
  endpoint Address;
  distance Distance = distance::SameVm;
  /// Whether requests can be sent to it: its link is open.
  bool IsOpen = false;
  /// Statements sent to it and not answered.
  std::uint32_t InFlight = 0;
  /// Until then it is only chosen if no other gateway is available.
  time_point AvoidUntil;
  /// See spreadRank().
  std::uint64_t SpreadRank = 0;

  /// The groups that it is a gateway of, and those that need a link to it.
  std::set<group_id> Groups;
  std::set<group_id> NeededBy;
  /// Whether the router has a link to it, open or not.
  bool HasLink = false;
  /// The link has ended or has not opened in time.
  bool HasFailed = false;
  /// Since when the link has been opening, or has not been needed.
  time_point LinkChangedAt;
};

/// The routing state of a group.
struct group_routes {
  std::vector<vm_id> Gateways;
  /// See primaryGateways().
  std::set<vm_id> PrimaryGateways;
  /// See neededLinks().
  std::set<vm_id> NeededLinks;
  bool HasPrimary = false;
  /// The highest term received in a view or an answer.
  term Term;
  /// The greatest number of statements that may wait to be sent; 0 for the
  /// default.
  std::uint32_t WaitingLimit = 0;
  std::uint32_t Waiting = 0;
};

/// A statement whose caller waits for the answer.
struct routed_statement {
  group_id Group;
  statement_traits Traits;
  transaction_id Transaction;
  time_point Deadline;
  statement_progress Progress = statement_progress::NotSent;
  /// The attempt whose answer is awaited and the gateway it was sent to.
  request_id Attempt;
  vm_id Gateway;
  /// A part of the answer was forwarded to the caller.
  bool PartForwarded = false;
  /// The answer of an earlier attempt was lost, which may have changed data.
  bool MayHaveRun = false;
  std::uint32_t Retries = 0;
  /// The next attempt is a retry and has not taken a token from the retry
  /// budget yet.
  bool NeedsBudget = false;
  /// The earliest time of the next attempt.
  time_point NotBefore;
  /// The time of its entry in routing_state::Due.
  time_point DueAt;
  /// Why it has not been executed so far; reported if its deadline passes.
  std::string Reason;
};

/// A transaction pinned to the gateway that opened it.
struct routed_transaction {
  vm_id Gateway;
  /// The link to the gateway closed, so that the gateway rolls it back.
  bool Lost = false;
};

/// The routing state of an entry.
struct routing_state {
  routing_settings Settings;
  vm_identity Self;
  bool LocalGateway = false;
  std::map<group_id, group_routes> Groups;
  std::map<vm_id, gateway_state> Gateways;
  /// Gateways whose link is opening or no longer needed; see reviewLinks().
  std::set<vm_id> UnsettledLinks;
  std::map<request_id, routed_statement> Statements;
  /// The statements of the attempts whose answer is awaited.
  std::map<request_id, request_id> Attempts;
  std::map<transaction_id, routed_transaction> Transactions;
  /// Statements that wait to be sent; tried again whenever the state changes.
  std::set<request_id> Unsent;
  /// When each statement has to be processed next: its deadline or the time of
  /// its next attempt.
  std::set<std::pair<time_point, request_id>> Due;
  retry_budget Budget;
};

/// The outcome of a statement that the router ends itself.
struct routing_outcome {
  /// The statement may have taken effect; otherwise it certainly has not.
  bool Unknown = false;
  /// SQLSTATE and error message.
  std::string Code;
  std::string Problem;
};

/// An action for statement_router. The fields that a kind does not mention are
/// not set.
struct routing_effect {
  enum class kind {
    /// Sends Statement to Gateway, then calls recordSent() or
    /// handleSendFailure().
    Send,
    /// Forwards the reply that is being handled to the caller of Statement.
    Forward,
    /// Reports Outcome to the caller of Statement, which ends it.
    Finish,
    /// Requests Gateway to cancel Attempt.
    Cancel,
    /// Requests Gateway to roll Transaction back.
    Release,
    /// Drops and counts an answer that is no longer awaited.
    DropLateReply,
    /// Opens a link to Gateway, or closes it for good.
    OpenLink,
    CloseLink,
  };
  kind Kind;
  request_id Statement;
  vm_id Gateway;
  request_id Attempt;
  transaction_id Transaction;
  routing_outcome Outcome;
};

using routing_effects = std::vector<routing_effect>;

/// The fields of a reply that matter to routing.
struct reply_summary {
  enum class outcome { Answered, NotRun, Unknown };
  outcome Outcome = outcome::Answered;
  bool Last = true;
  /// The gateway does not serve the group.
  bool NotAssigned = false;
  /// For NotRun: no earlier attempt with the same idempotency key was executed
  /// either, nor can be later.
  bool Resolved = false;
  term Term;
  bool TransactionOpen = false;
  std::string Code;
  std::string Problem;
};

/// Applies a new or changed view of a group.
void applyView(routing_state &State, const group_view &View, time_point Now,
               routing_effects &Effects);

/// Handles the opening of a gateway's link.
void handleGatewayOpened(routing_state &State, const vm_id &Gateway,
                         time_point Now, routing_effects &Effects);

/// Handles the closing of a gateway's link: the answers of all statements sent
/// over it are lost.
void handleGatewayClosed(routing_state &State, const vm_id &Gateway,
                         time_point Now, routing_effects &Effects);

/// Adds a statement and sends it if possible.
void submitStatement(routing_state &State, request_id Id,
                     routed_statement Statement, time_point Now,
                     routing_effects &Effects);

/// Records that a Send effect was executed, with Attempt as the id of the
/// request.
void recordSent(routing_state &State, request_id Id, const vm_id &Gateway,
                request_id Attempt);

/// Handles a Send effect that failed without sending anything.
void handleSendFailure(routing_state &State, request_id Id,
                       const vm_id &Gateway, time_point Now,
                       routing_effects &Effects);

/// Handles a reply of a gateway to an attempt.
void handleReply(routing_state &State, const vm_id &Gateway, request_id Attempt,
                 const reply_summary &Reply, time_point Now,
                 routing_effects &Effects);

/// Removes a statement whose caller no longer waits for it, and cancels it at
/// its gateway.
void cancelStatement(routing_state &State, request_id Id,
                     routing_effects &Effects);

/// Removes a transaction that its caller has abandoned, and has it rolled back.
void releaseTransaction(routing_state &State, transaction_id Transaction,
                        routing_effects &Effects);

/// Handles all deadlines and retry times that have passed.
void handleDue(routing_state &State, time_point Now, routing_effects &Effects);

/// Returns when handleDue() has to be called next.
std::optional<time_point> nextDue(const routing_state &State);

} // namespace teasellock
