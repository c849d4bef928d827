/// Decisions of routing: which gateway gets a statement, when it is sent
/// again, and what its caller is told. No sockets, clocks or random sources.
#pragma once

#include "core/daemon_context.h"
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

/// Bounds on retries.
struct routing_settings {
  /// Share of statements that may be retried, over a short window.
  double RetryBudget = 0.1;
  duration LeastRetryDelay = fromMilliseconds(10);
  duration MostRetryDelay = fromMilliseconds(200);
  /// How long after a statement's deadline a gateway may still say how it
  /// ended.
  duration AnswerGrace = fromMilliseconds(500);
};

/// Retries left: a bucket that statements and time fill and retries empty.
struct retry_budget {
  double Tokens = 0;
  time_point Updated;
};

/// One gateway as the entry sees it.
struct gateway_state {
  endpoint Address;
  /// Distance class: 0 this VM, 1 same zone, 2 same region, 3 elsewhere.
  int Distance = 0;
  /// Whether a request could be sent now.
  bool Open = false;
  std::uint32_t InFlight = 0;
  /// Not chosen before this time while another one is open.
  time_point AvoidUntil;
};

/// What routing knows of a group.
struct group_routes {
  std::vector<vm_id> Gateways;
  bool HasPrimary = false;
  /// Highest term seen in a view or an answer.
  term Term;
  std::uint32_t WaitingLimit = 0;
  std::uint32_t Waiting = 0;
};

/// One statement that has not been answered to its caller.
struct routed_statement {
  group_id Group;
  statement_facts Facts;
  transaction_id Transaction;
  time_point Deadline;
  statement_life Life = statement_life::NotSent;
  /// The attempt whose answer is awaited and where it went.
  request_id Attempt;
  vm_id Gateway;
  bool PartForwarded = false;
  /// An earlier attempt was lost and may have changed data.
  bool MayHaveRun = false;
  std::uint32_t Retries = 0;
  /// The next attempt is a retry that the budget has not allowed yet.
  bool NeedsBudget = false;
  /// Not sent before this time.
  time_point NotBefore;
  /// Its entry in routing_state::Due.
  time_point DueAt;
  /// Why it was not run so far, for the error at its deadline.
  std::string Reason;
};

/// A transaction pinned to the gateway that opened it.
struct routed_transaction {
  vm_id Gateway;
  /// Its connection to the gateway broke: it is rolled back there.
  bool Lost = false;
};

/// Everything routing knows.
struct routing_state {
  routing_settings Settings;
  vm_identity Self;
  bool LocalGateway = false;
  std::map<group_id, group_routes> Groups;
  std::map<vm_id, gateway_state> Gateways;
  std::map<request_id, routed_statement> Statements;
  /// Awaited attempts and the statements they belong to.
  std::map<request_id, request_id> Attempts;
  std::map<transaction_id, routed_transaction> Transactions;
  /// Unsent statements, to be looked at when anything changes.
  std::set<request_id> Unsent;
  /// Deadlines and retry times.
  std::set<std::pair<time_point, request_id>> Due;
  retry_budget Budget;
};

/// How a statement ends at the router itself.
struct routing_verdict {
  bool Unknown = false;
  std::string Code;
  std::string Problem;
};

/// What the task has to do.
struct routing_effect {
  enum class kind {
    /// Send the statement to Gateway, then call sent() or refused().
    Send,
    /// Pass the reply at hand on to the caller.
    Forward,
    /// Tell the caller Verdict; the statement is over.
    Finish,
    /// Tell Gateway to stop working on Attempt.
    Cancel,
    /// Tell Gateway to roll Transaction back.
    Release,
    /// An answer nobody waits for.
    DropLate,
  };
  kind Kind;
  request_id Statement;
  vm_id Gateway;
  request_id Attempt;
  transaction_id Transaction;
  routing_verdict Verdict;
};

using routing_effects = std::vector<routing_effect>;

/// What a reply says, without its messages.
struct reply_facts {
  enum class outcome { Answered, NotRun, Unknown };
  outcome Outcome = outcome::Answered;
  bool Last = true;
  bool NotAssigned = false;
  bool Resolved = false;
  term Term;
  bool TransactionOpen = false;
  std::string Code;
  std::string Problem;
};

/// Takes a new or changed view of a group.
void setView(routing_state &State, const group_view &View, time_point Now,
             routing_effects &Effects);

/// A gateway's link opened.
void gatewayOpened(routing_state &State, const vm_id &Gateway, time_point Now,
                   routing_effects &Effects);

/// A gateway's link closed: what was sent and not answered is lost.
void gatewayClosed(routing_state &State, const vm_id &Gateway, time_point Now,
                   routing_effects &Effects);

/// Takes a new statement.
void submitStatement(routing_state &State, request_id Id,
                     routed_statement Statement, time_point Now,
                     routing_effects &Effects);

/// A Send effect was carried out under the number Attempt.
void sent(routing_state &State, request_id Id, const vm_id &Gateway,
          request_id Attempt);

/// A Send effect could not be carried out: nothing left this VM.
void refused(routing_state &State, request_id Id, const vm_id &Gateway,
             time_point Now, routing_effects &Effects);

/// A reply to an attempt arrived from a gateway.
void replied(routing_state &State, const vm_id &Gateway, request_id Attempt,
             const reply_facts &Reply, time_point Now,
             routing_effects &Effects);

/// The caller no longer waits for a statement.
void cancelStatement(routing_state &State, request_id Id,
                     routing_effects &Effects);

/// The caller of a transaction is gone or has given it up.
void releaseTransaction(routing_state &State, transaction_id Transaction,
                        routing_effects &Effects);

/// Handles everything due by now.
void passTime(routing_state &State, time_point Now, routing_effects &Effects);

/// When passTime() is needed next.
std::optional<time_point> nextDue(const routing_state &State);

} // namespace teasellock
