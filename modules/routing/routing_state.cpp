#include "modules/routing/routing_state.h"
#include "modules/gateway/refusals.h"
#include "modules/routing/gateway_choice.h"
#include "modules/routing/gateway_links.h"

#include <algorithm>
#include <array>

namespace teasellock {

namespace {

constexpr const char *QueryCanceled = "57014";
constexpr const char *ResolutionUnknown = "08007";
constexpr const char *SerializationFailure = "40001";

constexpr std::uint32_t DefaultWaitingLimit = 1000;
/// Tokens that the retry budget gains per second, and its capacity.
constexpr double RetryTokensPerSecond = 10;
constexpr double MaxRetryTokens = 100;

using effect_kind = routing_effect::kind;

routing_effect effectOf(effect_kind Kind, request_id Statement) {
  routing_effect Effect;
  Effect.Kind = Kind;
  Effect.Statement = Statement;
  return Effect;
}

void setDue(routing_state &State, request_id Id, routed_statement &Statement,
            time_point At) {
  State.Due.erase({Statement.DueAt, Id});
  Statement.DueAt = At;
  State.Due.insert({At, Id});
}

void removeFromWaiting(routing_state &State, request_id Id) {
  if (State.Unsent.erase(Id) > 0)
    --State.Groups[State.Statements.at(Id).Group].Waiting;
}

void addToWaiting(routing_state &State, request_id Id) {
  if (State.Unsent.insert(Id).second)
    ++State.Groups[State.Statements.at(Id).Group].Waiting;
}

/// Stops awaiting the answer of the statement's current attempt, if any.
void removeAttempt(routing_state &State, routed_statement &Statement) {
  if (Statement.Progress != statement_progress::Sent)
    return;
  State.Attempts.erase(Statement.Attempt);
  auto Gateway = State.Gateways.find(Statement.Gateway);
  if (Gateway != State.Gateways.end() && Gateway->second.InFlight > 0)
    --Gateway->second.InFlight;
  Statement.Progress = statement_progress::NotSent;
}

void erase(routing_state &State, request_id Id) {
  auto &Statement = State.Statements.at(Id);
  removeAttempt(State, Statement);
  removeFromWaiting(State, Id);
  State.Due.erase({Statement.DueAt, Id});
  State.Statements.erase(Id);
}

void finish(routing_state &State, request_id Id, routing_outcome Outcome,
            routing_effects &Effects) {
  auto Transaction = State.Statements.at(Id).Transaction;
  auto Effect = effectOf(effect_kind::Finish, Id);
  Effect.Outcome = std::move(Outcome);
  erase(State, Id);
  Effects.push_back(std::move(Effect));
  releaseTransaction(State, Transaction, Effects);
}

routing_outcome unknownOutcome(const std::string &Reason) {
  return {true, ResolutionUnknown,
          "the outcome of the statement is unknown: " + Reason};
}

routing_outcome rolledBackOutcome(const std::string &Reason) {
  return {false, SerializationFailure,
          "the transaction was rolled back: " + Reason};
}

routing_outcome notRunOutcome(const std::string &Code,
                              const std::string &Reason) {
  return {false, Code, "the statement was not run: " + Reason};
}

/// Ends a waiting statement: as not run, or as unknown if an earlier attempt
/// may have been executed.
void endWaiting(routing_state &State, request_id Id, const std::string &Code,
                const std::string &Reason, routing_effects &Effects) {
  bool MayHaveRun = State.Statements.at(Id).MayHaveRun;
  finish(State, Id,
         MayHaveRun ? unknownOutcome(Reason) : notRunOutcome(Code, Reason),
         Effects);
}

void refillBudget(routing_state &State, time_point Now) {
  auto Elapsed =
      std::chrono::duration<double>(Now - State.Budget.UpdatedAt).count();
  State.Budget.UpdatedAt = Now;
  State.Budget.Tokens = std::min(
      MaxRetryTokens, State.Budget.Tokens + Elapsed * RetryTokensPerSecond);
}

bool consumeRetryToken(routing_state &State, time_point Now) {
  refillBudget(State, Now);
  if (State.Budget.Tokens < 1)
    return false;
  State.Budget.Tokens -= 1;
  return true;
}

/// Returns a pseudo-random number that depends on the seed only (SplitMix64).
std::uint64_t hashSeed(std::uint64_t Seed) {
  Seed += 0x9e3779b97f4a7c15ULL;
  Seed = (Seed ^ (Seed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Seed = (Seed ^ (Seed >> 27)) * 0x94d049bb133111ebULL;
  return Seed ^ (Seed >> 31);
}

/// Returns the delay before a retry: exponential, with jitter over the upper
/// half of the range.
duration retryDelay(const routing_settings &Settings, request_id Id,
                    std::uint32_t Retries) {
  constexpr std::uint32_t MaxDoublings = 16;
  auto Full =
      std::min(Settings.MaxRetryDelay,
               Settings.MinRetryDelay * (1 << std::min(Retries, MaxDoublings)));
  auto Half = static_cast<std::uint64_t>(Full.count() / 2);
  return duration(Half + hashSeed(Id.Value * 31 + Retries) % (Half + 1));
}

bool isPinned(const routed_statement &Statement) {
  return Statement.Traits.InTransaction && !Statement.Traits.OpensTransaction;
}

void emitSend(routing_state &State, request_id Id, const vm_id &Gateway,
              routing_effects &Effects) {
  removeFromWaiting(State, Id);
  auto Effect = effectOf(effect_kind::Send, Id);
  Effect.Gateway = Gateway;
  Effects.push_back(std::move(Effect));
}

void sendPinned(routing_state &State, request_id Id, routing_effects &Effects) {
  auto Found = State.Transactions.find(State.Statements.at(Id).Transaction);
  if (Found == State.Transactions.end() || Found->second.Lost)
    return finish(State, Id,
                  rolledBackOutcome("the connection to its gateway was lost"),
                  Effects);
  emitSend(State, Id, Found->second.Gateway, Effects);
}

void wait(routing_state &State, request_id Id, const std::string &Reason,
          routing_effects &Effects) {
  addToWaiting(State, Id);
  auto &Statement = State.Statements.at(Id);
  if (!Reason.empty())
    Statement.Reason = Reason;
  setDue(State, Id, Statement, Statement.Deadline);
  const auto &Routes = State.Groups[Statement.Group];
  auto Limit =
      Routes.WaitingLimit > 0 ? Routes.WaitingLimit : DefaultWaitingLimit;
  if (Routes.Waiting > Limit)
    endWaiting(State, Id, TooManyConnections,
               "too many statements are waiting for the group", Effects);
}

/// Sends a statement if that is possible now; otherwise it waits.
void trySend(routing_state &State, request_id Id, time_point Now,
             routing_effects &Effects) {
  auto &Statement = State.Statements.at(Id);
  if (Now >= Statement.Deadline)
    return endWaiting(
        State, Id, CannotConnectNow,
        Statement.Reason.empty() ? "it timed out" : Statement.Reason, Effects);
  if (isPinned(Statement))
    return sendPinned(State, Id, Effects);
  const auto &Routes = State.Groups[Statement.Group];
  if (Statement.Traits.Write && !Routes.HasPrimary)
    return wait(State, Id, "the group has no primary", Effects);
  auto Options = gatewayOptions(State, Routes, Now);
  const auto *Gateway = chooseGateway(Options, Statement.Traits.NeedsPrimary);
  if (!Gateway)
    return wait(State, Id, "no gateway of the group can be reached", Effects);
  if (Now >= Statement.NotBefore && Statement.NeedsBudget) {
    if (consumeRetryToken(State, Now))
      Statement.NeedsBudget = false;
    else
      Statement.NotBefore = Now + State.Settings.MaxRetryDelay;
  }
  if (Now < Statement.NotBefore) {
    wait(State, Id, "", Effects);
    if (State.Statements.contains(Id))
      setDue(State, Id, Statement,
             std::min(Statement.NotBefore, Statement.Deadline));
    return;
  }
  emitSend(State, Id, Gateway->Vm, Effects);
}

void trySendAll(routing_state &State, time_point Now,
                routing_effects &Effects) {
  std::vector<request_id> Waiting(State.Unsent.begin(), State.Unsent.end());
  for (auto Id : Waiting)
    if (State.Unsent.contains(Id))
      trySend(State, Id, Now, Effects);
}

void retryLater(routing_state &State, request_id Id, const std::string &Reason,
                time_point Now, routing_effects &Effects) {
  auto &Statement = State.Statements.at(Id);
  removeAttempt(State, Statement);
  if (Statement.Traits.OpensTransaction)
    releaseTransaction(State, Statement.Transaction, Effects);
  Statement.Reason = Reason;
  Statement.NeedsBudget = true;
  Statement.NotBefore =
      Now + retryDelay(State.Settings, Id, Statement.Retries++);
  trySend(State, Id, Now, Effects);
}

void handleLostAnswer(routing_state &State, request_id Id,
                      const std::string &Reason, time_point Now,
                      routing_effects &Effects) {
  auto &Statement = State.Statements.at(Id);
  switch (chooseLossAction(Statement.Traits, Statement.PartForwarded)) {
  case loss_action::RetryWithKey:
    Statement.MayHaveRun = true;
    [[fallthrough]];
  case loss_action::Retry:
    return retryLater(State, Id, Reason, Now, Effects);
  case loss_action::ReportUnknown:
    return finish(State, Id, unknownOutcome(Reason), Effects);
  case loss_action::ReportRolledBack:
    return finish(State, Id, rolledBackOutcome(Reason), Effects);
  case loss_action::AbortAnswer:
    return finish(State, Id,
                  {true, "08006", "the answer was interrupted: " + Reason},
                  Effects);
  }
}

/// Reports whether a statement that was not run for this reason may succeed
/// later or at another gateway.
bool isRetryable(const reply_summary &Reply) {
  constexpr std::array<std::string_view, 6> Codes = {
      CannotConnectNow, TooManyConnections, "57P01", "57P02", "08001", "08006"};
  return Reply.NotAssigned ||
         std::find(Codes.begin(), Codes.end(), Reply.Code) != Codes.end();
}

void handleNotRun(routing_state &State, request_id Id,
                  const reply_summary &Reply, time_point Now,
                  routing_effects &Effects) {
  auto &Statement = State.Statements.at(Id);
  bool Certain = !Statement.MayHaveRun || Reply.Resolved;
  bool Retry = isRetryable(Reply) && !Reply.Resolved && !isPinned(Statement) &&
               !Statement.PartForwarded;
  if (Retry) {
    State.Gateways[Statement.Gateway].AvoidUntil =
        Now + State.Settings.MaxRetryDelay;
    return retryLater(State, Id, Reply.Problem, Now, Effects);
  }
  finish(State, Id,
         Certain ? routing_outcome{false, Reply.Code, Reply.Problem}
                 : unknownOutcome(Reply.Problem),
         Effects);
}

void handleAnswer(routing_state &State, request_id Id,
                  const reply_summary &Reply, bool OlderTerm,
                  routing_effects &Effects) {
  auto &Statement = State.Statements.at(Id);
  if (!Reply.Last) {
    Statement.PartForwarded = true;
    Effects.push_back(effectOf(effect_kind::Forward, Id));
    return;
  }
  if (OlderTerm && isOutcomeUnknownWhenLost(Statement.Traits))
    return finish(State, Id,
                  unknownOutcome("the answer is from a superseded primary"),
                  Effects);
  auto Transaction = Statement.Transaction;
  erase(State, Id);
  if (!Reply.TransactionOpen)
    State.Transactions.erase(Transaction);
  Effects.push_back(effectOf(effect_kind::Forward, Id));
}

/// Allows the waiting statements of a group to be sent without a retry delay
/// and without a token.
void clearRetryDelays(routing_state &State, const group_id &Group,
                      time_point Now) {
  for (auto Id : State.Unsent) {
    auto &Statement = State.Statements.at(Id);
    if (Statement.Group != Group)
      continue;
    Statement.NotBefore = Now;
    Statement.NeedsBudget = false;
  }
}

/// Ends or retries all statements that were sent to a gateway: their answers
/// are lost.
void loseGateway(routing_state &State, const vm_id &Gateway, time_point Now,
                 routing_effects &Effects) {
  for (auto &[Id, Transaction] : State.Transactions)
    if (Transaction.Gateway == Gateway)
      Transaction.Lost = true;
  std::vector<request_id> Lost;
  for (auto &[Id, Statement] : State.Statements)
    if (Statement.Progress == statement_progress::Sent &&
        Statement.Gateway == Gateway)
      Lost.push_back(Id);
  for (auto Id : Lost)
    handleLostAnswer(State, Id,
                     "the connection to its gateway " + toString(Gateway) +
                         " was lost",
                     Now, Effects);
}

/// Ends a sent statement that was not answered within the grace period after
/// its deadline.
void handleTimeout(routing_state &State, request_id Id,
                   routing_effects &Effects) {
  auto &Statement = State.Statements.at(Id);
  auto Cancel = effectOf(effect_kind::Cancel, Id);
  Cancel.Gateway = Statement.Gateway;
  Cancel.Attempt = Statement.Attempt;
  Effects.push_back(std::move(Cancel));
  if (Statement.MayHaveRun || isOutcomeUnknownWhenLost(Statement.Traits))
    return finish(State, Id, unknownOutcome("no answer came in time"), Effects);
  if (Statement.Traits.InTransaction)
    return finish(State, Id, rolledBackOutcome("no answer came in time"),
                  Effects);
  finish(State, Id,
         {true, QueryCanceled, "canceling statement due to statement timeout"},
         Effects);
}

} // namespace

void applyView(routing_state &State, const group_view &View, time_point Now,
               routing_effects &Effects) {
  auto &Routes = State.Groups[View.Group];
  Routes.HasPrimary = View.Primary.has_value();
  Routes.Term = std::max(Routes.Term, View.Term);
  Routes.WaitingLimit = View.Row.QueueLimit;
  for (const auto &Vm : applyGateways(State, View, Now, Effects))
    loseGateway(State, Vm, Now, Effects);
  clearRetryDelays(State, View.Group, Now);
  trySendAll(State, Now, Effects);
}

void handleGatewayOpened(routing_state &State, const vm_id &Gateway,
                         time_point Now, routing_effects &Effects) {
  State.Gateways[Gateway].AvoidUntil = {};
  recordLinkOpened(State, Gateway, Now, Effects);
  trySendAll(State, Now, Effects);
}

void handleGatewayClosed(routing_state &State, const vm_id &Gateway,
                         time_point Now, routing_effects &Effects) {
  recordLinkFailed(State, Gateway, Now, Effects);
  loseGateway(State, Gateway, Now, Effects);
}

void submitStatement(routing_state &State, request_id Id,
                     routed_statement Statement, time_point Now,
                     routing_effects &Effects) {
  refillBudget(State, Now);
  State.Budget.Tokens = std::min(
      MaxRetryTokens, State.Budget.Tokens + State.Settings.RetryBudget);
  auto &Added = State.Statements[Id] = std::move(Statement);
  setDue(State, Id, Added, Added.Deadline);
  trySend(State, Id, Now, Effects);
}

void recordSent(routing_state &State, request_id Id, const vm_id &Gateway,
                request_id Attempt) {
  auto &Statement = State.Statements.at(Id);
  Statement.Progress = statement_progress::Sent;
  Statement.Gateway = Gateway;
  Statement.Attempt = Attempt;
  State.Attempts[Attempt] = Id;
  ++State.Gateways[Gateway].InFlight;
  setDue(State, Id, Statement, Statement.Deadline);
  if (Statement.Traits.OpensTransaction)
    State.Transactions[Statement.Transaction] = {Gateway, false};
}

void handleSendFailure(routing_state &State, request_id Id,
                       const vm_id &Gateway, time_point Now,
                       routing_effects &Effects) {
  recordLinkFailed(State, Gateway, Now, Effects);
  auto Found = State.Statements.find(Id);
  if (Found == State.Statements.end())
    return;
  if (isPinned(Found->second))
    return finish(State, Id,
                  rolledBackOutcome("the connection to its gateway was lost"),
                  Effects);
  trySend(State, Id, Now, Effects);
}

void handleReply(routing_state &State, const vm_id &Gateway, request_id Attempt,
                 const reply_summary &Reply, time_point Now,
                 routing_effects &Effects) {
  auto Found = State.Attempts.find(Attempt);
  if (Found == State.Attempts.end() ||
      State.Statements.at(Found->second).Gateway != Gateway) {
    Effects.push_back(effectOf(effect_kind::DropLateReply, {}));
    return;
  }
  auto Id = Found->second;
  auto &Routes = State.Groups[State.Statements.at(Id).Group];
  bool OlderTerm = Reply.Term < Routes.Term;
  Routes.Term = std::max(Routes.Term, Reply.Term);
  switch (Reply.Outcome) {
  case reply_summary::outcome::Answered:
    return handleAnswer(State, Id, Reply, OlderTerm, Effects);
  case reply_summary::outcome::NotRun:
    return handleNotRun(State, Id, Reply, Now, Effects);
  case reply_summary::outcome::Unknown:
    return handleLostAnswer(State, Id, Reply.Problem, Now, Effects);
  }
}

void cancelStatement(routing_state &State, request_id Id,
                     routing_effects &Effects) {
  auto Found = State.Statements.find(Id);
  if (Found == State.Statements.end())
    return;
  if (Found->second.Progress == statement_progress::Sent) {
    auto Cancel = effectOf(effect_kind::Cancel, Id);
    Cancel.Gateway = Found->second.Gateway;
    Cancel.Attempt = Found->second.Attempt;
    Effects.push_back(std::move(Cancel));
  }
  erase(State, Id);
}

void releaseTransaction(routing_state &State, transaction_id Transaction,
                        routing_effects &Effects) {
  auto Found = State.Transactions.find(Transaction);
  if (Found == State.Transactions.end())
    return;
  auto Release = effectOf(effect_kind::Release, {});
  Release.Gateway = Found->second.Gateway;
  Release.Transaction = Transaction;
  bool Lost = Found->second.Lost;
  State.Transactions.erase(Found);
  if (!Lost)
    Effects.push_back(std::move(Release));
}

void handleDue(routing_state &State, time_point Now, routing_effects &Effects) {
  while (!State.Due.empty() && State.Due.begin()->first <= Now) {
    auto Id = State.Due.begin()->second;
    auto &Statement = State.Statements.at(Id);
    if (Statement.Progress == statement_progress::NotSent) {
      State.Due.erase(State.Due.begin());
      if (State.Unsent.contains(Id))
        trySend(State, Id, Now, Effects);
      continue;
    }
    auto AnswerDeadline = Statement.Deadline + State.Settings.AnswerGracePeriod;
    if (Now < AnswerDeadline)
      setDue(State, Id, Statement, AnswerDeadline);
    else
      handleTimeout(State, Id, Effects);
  }
}

std::optional<time_point> nextDue(const routing_state &State) {
  if (State.Due.empty())
    return std::nullopt;
  return State.Due.begin()->first;
}

} // namespace teasellock
