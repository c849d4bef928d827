#include "modules/routing/routing_state.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace teasellock;

namespace {

const group_id Group("despacho");
constexpr int Gateways = 3;

vm_id vmOf(int I) { return vm_id("vm" + std::to_string(I)); }

group_view viewOf(std::uint64_t Term, bool HasPrimary) {
  group_view View;
  View.Group = Group;
  View.Term = term(Term);
  if (HasPrimary)
    View.Primary = upstream_id("primary");
  for (int I = 0; I < Gateways; ++I) {
    gateway_share Share;
    Share.Vm = vmOf(I);
    Share.Address = {"10.0.0.1", static_cast<std::uint16_t>(I + 1)};
    View.Gateways.push_back(Share);
  }
  return View;
}

/// The outcome reported to the caller of a statement.
enum class reported_outcome { Nothing, Answered, NotRun, Unknown };

/// What actually happened to a statement.
struct statement_record {
  statement_traits Traits;
  transaction_id Transaction;
  /// Executions whose effect is permanent.
  int Executed = 0;
  reported_outcome Reported = reported_outcome::Nothing;
};

/// A request that a gateway has received and not answered.
struct received_request {
  request_id Attempt;
  request_id Statement;
  int Connection = 0;
  bool Executed = false;
};

/// Simulated gateways around the functions under test. Counts executions; links
/// lose, delay and duplicate answers.
struct simulated_gateways {
  routing_state Routing;
  time_point Now = time_point(std::chrono::seconds(1000));
  std::uint64_t LastId = 0;
  std::uint64_t LastTransaction = 0;
  std::uint64_t Term = 1;
  std::map<request_id, statement_record> Records;
  std::map<int, std::deque<received_request>> RequestsAtGateway;
  std::map<int, int> Connection;
  std::map<int, bool> Up;
  /// What the upstream has recorded for each statement's idempotency key.
  enum class key_record { None, Ran, Tombstone };
  std::map<request_id, key_record> Keys;
  std::deque<std::pair<int, std::pair<request_id, reply_summary>>>
      DuplicateReplies;
  int LateDropped = 0;
  /// Open transactions that callers may continue.
  std::vector<transaction_id> Open;
  /// The gateway and the connection on which each transaction was opened.
  std::map<transaction_id, std::pair<int, int>> OpenedOn;

  simulated_gateways() {
    Routing.Self.Vm = vm_id("entry");
    Routing.Budget.UpdatedAt = Now;
    Routing.Budget.Tokens = *rc::gen::elementOf(std::vector<double>{0, 50});
    routing_effects Effects;
    applyView(Routing, viewOf(Term, true), Now, Effects);
    executeEffects(std::move(Effects), nullptr);
  }

  void open(int I) {
    if (Up[I])
      return;
    Up[I] = true;
    ++Connection[I];
    routing_effects Effects;
    handleGatewayOpened(Routing, vmOf(I), Now, Effects);
    executeEffects(std::move(Effects), nullptr);
  }

  void close(int I, bool GatewayCrashed) {
    if (!Up[I])
      return;
    Up[I] = false;
    // Requests that have arrived may still be executed, unless the gateway
    // crashed.
    if (GatewayCrashed)
      RequestsAtGateway[I].clear();
    routing_effects Effects;
    handleGatewayClosed(Routing, vmOf(I), Now, Effects);
    executeEffects(std::move(Effects), nullptr);
  }

  void submit(statement_traits Traits) {
    request_id Id(++LastId);
    routed_statement Statement;
    Statement.Group = Group;
    Statement.Traits = Traits;
    Statement.Deadline = Now + fromMilliseconds(1000);
    Statement.NotBefore = Now;
    if (Traits.InTransaction)
      Statement.Transaction = transaction_id(++LastTransaction);
    Records[Id] = {Traits, Statement.Transaction, 0, reported_outcome::Nothing};
    routing_effects Effects;
    submitStatement(Routing, Id, Statement, Now, Effects);
    executeEffects(std::move(Effects), nullptr);
  }

  /// Continues an open transaction, if there is one.
  void submitPinned(bool Commits) {
    if (Open.empty())
      return;
    request_id Id(++LastId);
    routed_statement Statement;
    Statement.Group = Group;
    Statement.Traits.Write = true;
    Statement.Traits.InTransaction = true;
    Statement.Traits.MayCommit = Commits;
    Statement.Transaction = Open.back();
    Open.pop_back();
    Statement.Deadline = Now + fromMilliseconds(1000);
    Statement.NotBefore = Now;
    Records[Id] = {Statement.Traits, Statement.Transaction, 0,
                   reported_outcome::Nothing};
    routing_effects Effects;
    submitStatement(Routing, Id, Statement, Now, Effects);
    executeEffects(std::move(Effects), nullptr);
  }

  void report(request_id Id, reported_outcome Outcome) {
    auto &Entry = Records.at(Id);
    RC_ASSERT(Entry.Reported == reported_outcome::Nothing);
    Entry.Reported = Outcome;
    // The caller may continue a transaction that it has not ended.
    if (Outcome == reported_outcome::Answered && Entry.Traits.InTransaction &&
        !Entry.Traits.MayCommit)
      Open.push_back(Entry.Transaction);
  }

  void executeEffects(routing_effects Effects, const reply_summary *Reply) {
    std::deque<routing_effect> Queue(Effects.begin(), Effects.end());
    while (!Queue.empty()) {
      auto Effect = Queue.front();
      Queue.pop_front();
      routing_effects More;
      executeEffect(Effect, Reply, More);
      Queue.insert(Queue.end(), More.begin(), More.end());
    }
  }

  void executeEffect(const routing_effect &Effect, const reply_summary *Reply,
                     routing_effects &More) {
    switch (Effect.Kind) {
    case routing_effect::kind::Send: {
      int I = Effect.Gateway.Value.back() - '0';
      if (!Up[I])
        return handleSendFailure(Routing, Effect.Statement, Effect.Gateway, Now,
                                 More);
      request_id Attempt(++LastId);
      teasellock::recordSent(Routing, Effect.Statement, Effect.Gateway,
                             Attempt);
      auto &Entry = Records.at(Effect.Statement);
      if (Entry.Traits.OpensTransaction)
        OpenedOn[Entry.Transaction] = {I, Connection[I]};
      else if (Entry.Traits.InTransaction)
        RC_ASSERT(OpenedOn[Entry.Transaction] == std::pair(I, Connection[I]));
      RequestsAtGateway[I].push_back(
          {Attempt, Effect.Statement, Connection[I], false});
      return;
    }
    case routing_effect::kind::Finish:
      return report(Effect.Statement, Effect.Outcome.Unknown
                                          ? reported_outcome::Unknown
                                          : reported_outcome::NotRun);
    case routing_effect::kind::Forward:
      RC_ASSERT(Reply != nullptr);
      if (Reply->Last)
        report(Effect.Statement, reported_outcome::Answered);
      return;
    case routing_effect::kind::DropLateReply:
      ++LateDropped;
      return;
    default:
      return;
    }
  }

  /// Executes a request as a gateway does: a request whose key was used before
  /// is answered from the key's record.
  void execute(received_request &Request) {
    auto &Entry = Records.at(Request.Statement);
    if (Request.Executed)
      return;
    Request.Executed = true;
    bool IsPermanent = !Entry.Traits.InTransaction || Entry.Traits.MayCommit;
    if (!IsPermanent || !Entry.Traits.Write)
      return;
    RC_ASSERT(Keys[Request.Statement] != key_record::Tombstone);
    if (Entry.Traits.HasIdempotencyKey &&
        std::exchange(Keys[Request.Statement], key_record::Ran) !=
            key_record::None)
      return;
    ++Entry.Executed;
  }

  void reply(int I, const received_request &Request, reply_summary Reply) {
    DuplicateReplies.push_back({I, {Request.Attempt, Reply}});
    if (!Up[I] || Connection[I] != Request.Connection)
      return;
    deliver(I, Request.Attempt, Reply);
  }

  void deliver(int I, request_id Attempt, const reply_summary &Reply) {
    bool OlderTerm = Reply.Term < Routing.Groups[Group].Term;
    auto Awaited = Routing.Attempts.find(Attempt);
    auto Id =
        Awaited == Routing.Attempts.end() ? request_id() : Awaited->second;
    routing_effects Effects;
    handleReply(Routing, vmOf(I), Attempt, Reply, Now, Effects);
    executeEffects(std::move(Effects), &Reply);
    // An acknowledgement of a superseded primary is never forwarded.
    if (OlderTerm && Id != request_id() &&
        isOutcomeUnknownWhenLost(Records[Id].Traits))
      RC_ASSERT(Records[Id].Reported != reported_outcome::Answered);
  }

  /// Handles the oldest request at a gateway in the way selected by How.
  void serve(int I, int How) {
    if (RequestsAtGateway[I].empty())
      return;
    auto Request = RequestsAtGateway[I].front();
    reply_summary Reply;
    Reply.Term = term(Term);
    const auto &Traits = Records.at(Request.Statement).Traits;
    Reply.TransactionOpen = Traits.InTransaction && !Traits.MayCommit;
    bool Tombstone = Traits.HasIdempotencyKey && !Request.Executed &&
                     Keys[Request.Statement] == key_record::Tombstone;
    if (How == 0 && !Tombstone) {
      // Sends a part of the answer and keeps the request.
      execute(RequestsAtGateway[I].front());
      Reply.Last = false;
      return reply(I, Request, Reply);
    }
    RequestsAtGateway[I].pop_front();
    if (Tombstone || (How == 1 && !Request.Executed)) {
      Reply.Outcome = reply_summary::outcome::NotRun;
      Reply.Code = Request.Attempt.Value % 2 == 0 ? "57P03" : "57014";
      Reply.Resolved = Tombstone;
    } else if (How == 6 && Traits.HasIdempotencyKey && !Request.Executed &&
               Keys[Request.Statement] == key_record::None) {
      Keys[Request.Statement] = key_record::Tombstone;
      Reply.Outcome = reply_summary::outcome::NotRun;
      Reply.Resolved = true;
      Reply.Code = "57014";
    } else if (How == 2) {
      execute(Request);
      Reply.Outcome = reply_summary::outcome::Unknown;
    } else if (How == 3 && Term > 1) {
      // A superseded primary answers.
      execute(Request);
      Reply.Term = term(Term - 1);
    } else {
      execute(Request);
    }
    reply(I, Request, Reply);
  }

  void deliverDuplicate() {
    if (DuplicateReplies.empty())
      return;
    auto [I, Answer] = DuplicateReplies.front();
    DuplicateReplies.pop_front();
    if (Up[I])
      deliver(I, Answer.first, Answer.second);
  }

  void changeView(bool HasPrimary) {
    Term += HasPrimary ? 1 : 0;
    routing_effects Effects;
    applyView(Routing, viewOf(Term, HasPrimary), Now, Effects);
    executeEffects(std::move(Effects), nullptr);
  }

  void advanceTime(duration Span) {
    Now += Span;
    routing_effects Effects;
    handleDue(Routing, Now, Effects);
    executeEffects(std::move(Effects), nullptr);
    auto Next = nextDue(Routing);
    RC_ASSERT(!Next || *Next > Now);
  }

  void check() const {
    for (const auto &[Id, Entry] : Records) {
      bool IsPermanent = Entry.Traits.Write && (!Entry.Traits.InTransaction ||
                                                Entry.Traits.MayCommit);
      RC_ASSERT(Entry.Executed <= 1);
      if (Entry.Reported == reported_outcome::NotRun)
        RC_ASSERT(Entry.Executed == 0);
      if (Entry.Reported == reported_outcome::Answered && IsPermanent)
        RC_ASSERT(Entry.Executed == 1);
    }
  }

  /// Checks that every statement is answered once its deadline has passed.
  void settle() {
    advanceTime(fromMilliseconds(10000));
    for (int I = 0; I < Gateways; ++I)
      while (!RequestsAtGateway[I].empty())
        serve(I, 4);
    while (!DuplicateReplies.empty())
      deliverDuplicate();
    for (const auto &[Id, Entry] : Records)
      RC_ASSERT(Entry.Reported != reported_outcome::Nothing);
    RC_ASSERT(Routing.Statements.empty());
    RC_ASSERT(Routing.Attempts.empty());
    RC_ASSERT(Routing.Due.empty());
    RC_ASSERT(Routing.Unsent.empty());
    for (const auto &[Vm, Gateway] : Routing.Gateways)
      RC_ASSERT(Gateway.InFlight == 0u);
    check();
  }
};

void applyRandomEvent(simulated_gateways &Simulation) {
  int I = *rc::gen::inRange(0, Gateways);
  switch (*rc::gen::inRange(0, 18)) {
  case 0:
    return Simulation.open(I);
  case 1:
    return Simulation.close(I, *rc::gen::arbitrary<bool>());
  case 2:
    return Simulation.changeView(*rc::gen::arbitrary<bool>());
  case 3:
    return Simulation.advanceTime(fromMilliseconds(*rc::gen::inRange(1, 400)));
  case 4:
    return Simulation.deliverDuplicate();
  case 5:
  case 6:
  case 7: {
    statement_traits Traits;
    Traits.Write = *rc::gen::arbitrary<bool>();
    Traits.InTransaction = *rc::gen::inRange(0, 4) == 0;
    Traits.OpensTransaction = Traits.InTransaction;
    Traits.MayCommit =
        Traits.InTransaction && Traits.Write && *rc::gen::arbitrary<bool>();
    Traits.HasIdempotencyKey = *rc::gen::inRange(0, 3) == 0;
    return Simulation.submit(Traits);
  }
  case 8:
    return Simulation.submitPinned(*rc::gen::arbitrary<bool>());
  default:
    return Simulation.serve(
        I, *rc::gen::elementOf(std::vector<int>{0, 1, 1, 2, 2, 3, 4, 5, 6}));
  }
}

} // namespace

TEST_CASE("routing: the outcomes reported to callers agree with what gateways "
          "executed") {
  bool Passed = rc::check("routing oracle", [] {
    simulated_gateways Simulation;
    for (int I = 0; I < Gateways; ++I)
      Simulation.open(I);
    int Steps = *rc::gen::inRange(1, 400);
    for (int Step = 0; Step < Steps; ++Step) {
      applyRandomEvent(Simulation);
      Simulation.check();
    }
    Simulation.settle();
  });
  CHECK(Passed);
}
