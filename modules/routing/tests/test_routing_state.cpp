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

/// What a caller was told of one statement.
enum class told { Nothing, Answered, NotRun, Unknown };

/// What really happened to one statement.
struct truth {
  statement_facts Facts;
  transaction_id Transaction;
  /// Executions whose effect stays.
  int Executed = 0;
  told Told = told::Nothing;
};

/// A request that a gateway has received and not answered.
struct arrived {
  request_id Attempt;
  request_id Statement;
  int Connection = 0;
  bool Executed = false;
};

/// Fake gateways around the decisions under test. Executions are counted;
/// links lose, delay and repeat answers.
struct fake_world {
  routing_state Routing;
  time_point Now = time_point(std::chrono::seconds(1000));
  std::uint64_t LastId = 0;
  std::uint64_t LastTransaction = 0;
  std::uint64_t Term = 1;
  std::map<request_id, truth> Truth;
  std::map<int, std::deque<arrived>> AtGateway;
  std::map<int, int> Connection;
  std::map<int, bool> Up;
  /// What the upstream has recorded under each statement's idempotency key.
  enum class key_record { None, Ran, Tombstone };
  std::map<request_id, key_record> Keys;
  std::deque<std::pair<int, std::pair<request_id, reply_facts>>> Repeats;
  int LateDropped = 0;
  /// Transactions that callers may go on with.
  std::vector<transaction_id> Open;
  /// The gateway and connection that each transaction was opened on.
  std::map<transaction_id, std::pair<int, int>> OpenedOn;

  fake_world() {
    Routing.Self.Vm = vm_id("entry");
    Routing.Budget.Updated = Now;
    Routing.Budget.Tokens = *rc::gen::elementOf(std::vector<double>{0, 50});
    routing_effects Effects;
    setView(Routing, viewOf(Term, true), Now, Effects);
    carryOut(std::move(Effects), nullptr);
  }

  void open(int I) {
    if (Up[I])
      return;
    Up[I] = true;
    ++Connection[I];
    routing_effects Effects;
    gatewayOpened(Routing, vmOf(I), Now, Effects);
    carryOut(std::move(Effects), nullptr);
  }

  void close(int I, bool GatewayDied) {
    if (!Up[I])
      return;
    Up[I] = false;
    // What already arrived may still be executed, unless the gateway died.
    if (GatewayDied)
      AtGateway[I].clear();
    routing_effects Effects;
    gatewayClosed(Routing, vmOf(I), Now, Effects);
    carryOut(std::move(Effects), nullptr);
  }

  void submit(statement_facts Facts) {
    request_id Id(++LastId);
    routed_statement Statement;
    Statement.Group = Group;
    Statement.Facts = Facts;
    Statement.Deadline = Now + fromMilliseconds(1000);
    Statement.NotBefore = Now;
    if (Facts.InTransaction)
      Statement.Transaction = transaction_id(++LastTransaction);
    Truth[Id] = {Facts, Statement.Transaction, 0, told::Nothing};
    routing_effects Effects;
    submitStatement(Routing, Id, Statement, Now, Effects);
    carryOut(std::move(Effects), nullptr);
  }

  /// Continues an open transaction, if there is one.
  void submitPinned(bool Commits) {
    if (Open.empty())
      return;
    request_id Id(++LastId);
    routed_statement Statement;
    Statement.Group = Group;
    Statement.Facts.Write = true;
    Statement.Facts.InTransaction = true;
    Statement.Facts.MayCommit = Commits;
    Statement.Transaction = Open.back();
    Open.pop_back();
    Statement.Deadline = Now + fromMilliseconds(1000);
    Statement.NotBefore = Now;
    Truth[Id] = {Statement.Facts, Statement.Transaction, 0, told::Nothing};
    routing_effects Effects;
    submitStatement(Routing, Id, Statement, Now, Effects);
    carryOut(std::move(Effects), nullptr);
  }

  void tell(request_id Id, told What) {
    auto &Entry = Truth.at(Id);
    RC_ASSERT(Entry.Told == told::Nothing);
    Entry.Told = What;
    // The caller may go on with a transaction that it has not ended.
    if (What == told::Answered && Entry.Facts.InTransaction &&
        !Entry.Facts.MayCommit)
      Open.push_back(Entry.Transaction);
  }

  void carryOut(routing_effects Effects, const reply_facts *Reply) {
    std::deque<routing_effect> Queue(Effects.begin(), Effects.end());
    while (!Queue.empty()) {
      auto Effect = Queue.front();
      Queue.pop_front();
      routing_effects More;
      carryOutOne(Effect, Reply, More);
      Queue.insert(Queue.end(), More.begin(), More.end());
    }
  }

  void carryOutOne(const routing_effect &Effect, const reply_facts *Reply,
                   routing_effects &More) {
    switch (Effect.Kind) {
    case routing_effect::kind::Send: {
      int I = Effect.Gateway.Value.back() - '0';
      if (!Up[I])
        return refused(Routing, Effect.Statement, Effect.Gateway, Now, More);
      request_id Attempt(++LastId);
      teasellock::sent(Routing, Effect.Statement, Effect.Gateway, Attempt);
      auto &Entry = Truth.at(Effect.Statement);
      if (Entry.Facts.OpensTransaction)
        OpenedOn[Entry.Transaction] = {I, Connection[I]};
      else if (Entry.Facts.InTransaction)
        RC_ASSERT(OpenedOn[Entry.Transaction] == std::pair(I, Connection[I]));
      AtGateway[I].push_back({Attempt, Effect.Statement, Connection[I], false});
      return;
    }
    case routing_effect::kind::Finish:
      return tell(Effect.Statement,
                  Effect.Verdict.Unknown ? told::Unknown : told::NotRun);
    case routing_effect::kind::Forward:
      RC_ASSERT(Reply != nullptr);
      if (Reply->Last)
        tell(Effect.Statement, told::Answered);
      return;
    case routing_effect::kind::DropLate:
      ++LateDropped;
      return;
    default:
      return;
    }
  }

  /// Executes a request as a gateway would: a key that was used is answered
  /// from its record.
  void execute(arrived &Request) {
    auto &Entry = Truth.at(Request.Statement);
    if (Request.Executed)
      return;
    Request.Executed = true;
    bool Lasts = !Entry.Facts.InTransaction || Entry.Facts.MayCommit;
    if (!Lasts || !Entry.Facts.Write)
      return;
    RC_ASSERT(Keys[Request.Statement] != key_record::Tombstone);
    if (Entry.Facts.HasIdempotencyKey &&
        std::exchange(Keys[Request.Statement], key_record::Ran) !=
            key_record::None)
      return;
    ++Entry.Executed;
  }

  void reply(int I, const arrived &Request, reply_facts Reply) {
    Repeats.push_back({I, {Request.Attempt, Reply}});
    if (!Up[I] || Connection[I] != Request.Connection)
      return;
    deliver(I, Request.Attempt, Reply);
  }

  void deliver(int I, request_id Attempt, const reply_facts &Reply) {
    bool OlderTerm = Reply.Term < Routing.Groups[Group].Term;
    auto Awaited = Routing.Attempts.find(Attempt);
    auto Id =
        Awaited == Routing.Attempts.end() ? request_id() : Awaited->second;
    routing_effects Effects;
    replied(Routing, vmOf(I), Attempt, Reply, Now, Effects);
    carryOut(std::move(Effects), &Reply);
    // A superseded primary's acknowledgement is never passed on.
    if (OlderTerm && Id != request_id() && outcomeOpenWhenLost(Truth[Id].Facts))
      RC_ASSERT(Truth[Id].Told != told::Answered);
  }

  /// The gateway's front request is dealt with in one of several ways.
  void serve(int I, int How) {
    if (AtGateway[I].empty())
      return;
    auto Request = AtGateway[I].front();
    reply_facts Reply;
    Reply.Term = term(Term);
    const auto &Facts = Truth.at(Request.Statement).Facts;
    Reply.TransactionOpen = Facts.InTransaction && !Facts.MayCommit;
    bool Tombstone = Facts.HasIdempotencyKey && !Request.Executed &&
                     Keys[Request.Statement] == key_record::Tombstone;
    if (How == 0 && !Tombstone) {
      // A part of the answer first.
      execute(AtGateway[I].front());
      Reply.Last = false;
      return reply(I, Request, Reply);
    }
    AtGateway[I].pop_front();
    if (Tombstone || (How == 1 && !Request.Executed)) {
      Reply.Outcome = reply_facts::outcome::NotRun;
      Reply.Code = Request.Attempt.Value % 2 == 0 ? "57P03" : "57014";
      Reply.Resolved = Tombstone;
    } else if (How == 6 && Facts.HasIdempotencyKey && !Request.Executed &&
               Keys[Request.Statement] == key_record::None) {
      Keys[Request.Statement] = key_record::Tombstone;
      Reply.Outcome = reply_facts::outcome::NotRun;
      Reply.Resolved = true;
      Reply.Code = "57014";
    } else if (How == 2) {
      execute(Request);
      Reply.Outcome = reply_facts::outcome::Unknown;
    } else if (How == 3 && Term > 1) {
      // A superseded primary answers.
      execute(Request);
      Reply.Term = term(Term - 1);
    } else {
      execute(Request);
    }
    reply(I, Request, Reply);
  }

  void repeat() {
    if (Repeats.empty())
      return;
    auto [I, Answer] = Repeats.front();
    Repeats.pop_front();
    if (Up[I])
      deliver(I, Answer.first, Answer.second);
  }

  void changeView(bool HasPrimary) {
    Term += HasPrimary ? 1 : 0;
    routing_effects Effects;
    setView(Routing, viewOf(Term, HasPrimary), Now, Effects);
    carryOut(std::move(Effects), nullptr);
  }

  void pass(duration Span) {
    Now += Span;
    routing_effects Effects;
    passTime(Routing, Now, Effects);
    carryOut(std::move(Effects), nullptr);
    auto Next = nextDue(Routing);
    RC_ASSERT(!Next || *Next > Now);
  }

  void check() const {
    for (const auto &[Id, Entry] : Truth) {
      bool Lasting = Entry.Facts.Write &&
                     (!Entry.Facts.InTransaction || Entry.Facts.MayCommit);
      RC_ASSERT(Entry.Executed <= 1);
      if (Entry.Told == told::NotRun)
        RC_ASSERT(Entry.Executed == 0);
      if (Entry.Told == told::Answered && Lasting)
        RC_ASSERT(Entry.Executed == 1);
    }
  }

  /// Every statement is answered once its time is over.
  void settle() {
    pass(fromMilliseconds(10000));
    for (int I = 0; I < Gateways; ++I)
      while (!AtGateway[I].empty())
        serve(I, 4);
    while (!Repeats.empty())
      repeat();
    for (const auto &[Id, Entry] : Truth)
      RC_ASSERT(Entry.Told != told::Nothing);
    RC_ASSERT(Routing.Statements.empty());
    RC_ASSERT(Routing.Attempts.empty());
    RC_ASSERT(Routing.Due.empty());
    RC_ASSERT(Routing.Unsent.empty());
    for (const auto &[Vm, Gateway] : Routing.Gateways)
      RC_ASSERT(Gateway.InFlight == 0u);
    check();
  }
};

void act(fake_world &World) {
  int I = *rc::gen::inRange(0, Gateways);
  switch (*rc::gen::inRange(0, 18)) {
  case 0:
    return World.open(I);
  case 1:
    return World.close(I, *rc::gen::arbitrary<bool>());
  case 2:
    return World.changeView(*rc::gen::arbitrary<bool>());
  case 3:
    return World.pass(fromMilliseconds(*rc::gen::inRange(1, 400)));
  case 4:
    return World.repeat();
  case 5:
  case 6:
  case 7: {
    statement_facts Facts;
    Facts.Write = *rc::gen::arbitrary<bool>();
    Facts.InTransaction = *rc::gen::inRange(0, 4) == 0;
    Facts.OpensTransaction = Facts.InTransaction;
    Facts.MayCommit =
        Facts.InTransaction && Facts.Write && *rc::gen::arbitrary<bool>();
    Facts.HasIdempotencyKey = *rc::gen::inRange(0, 3) == 0;
    return World.submit(Facts);
  }
  case 8:
    return World.submitPinned(*rc::gen::arbitrary<bool>());
  default:
    return World.serve(
        I, *rc::gen::elementOf(std::vector<int>{0, 1, 1, 2, 2, 3, 4, 5, 6}));
  }
}

} // namespace

TEST_CASE("routing: what callers are told agrees with what gateways executed") {
  bool Held = rc::check("routing oracle", [] {
    fake_world World;
    for (int I = 0; I < Gateways; ++I)
      World.open(I);
    int Steps = *rc::gen::inRange(1, 400);
    for (int Step = 0; Step < Steps; ++Step) {
      act(World);
      World.check();
    }
    World.settle();
  });
  CHECK(Held);
}
