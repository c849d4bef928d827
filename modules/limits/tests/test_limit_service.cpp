#include "modules/limits/limit_service.h"
#include "modules/limits/limit_shares.h"
#include "modules/limits/limiter_slot.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

const organisation_id Limited("limited");
const organisation_id Free("free");
constexpr double Rate = 20;

/// A VM with a limit service. VMs share an event loop.
struct limit_vm {
  metrics Metrics;
  tracer Tracer;
  daemon_context Context;
  link_hub Hub;
  limiter_view View;
  deployment Deployment;
  limit_service Limits;
  std::vector<limit_outcome> Outcomes;
  endpoint Address;

  limit_vm(event_loop &Loop, timer_service &Timers, const std::string &Name)
      : Context{Loop, Timers, Metrics, Tracer,
                vm_identity{vm_id(Name),
                            incarnation(7),
                            {},
                            {},
                            endpoint{"127.0.0.1", 0}}},
        Hub(Context, {}),
        Limits(Context, Hub,
               {[this]() -> const limiter_view & { return View; },
                [this]() -> const deployment & { return Deployment; }}) {
    Address = Hub.listen();
    Deployment.Version = deployment_version(1);
    Deployment.Organisations = {{Limited, {}, operation_limit{Rate, Rate}, 0},
                                {Free, {}, std::nullopt, 0}};
  }

  /// Makes a VM the holder of all slots in this VM's view.
  void setLimiter(const limit_vm &Limiter, incarnation Incarnation) {
    ++View.Revision.Value;
    View.Slots.assign(
        LimiterSlotCount,
        limiter_holder{Limiter.Context.Self.Vm, Incarnation, Limiter.Address});
    View.LeaseEnd = Context.Timers.now() + std::chrono::seconds(60);
    Limits.handleViewChange();
  }
  void setLimiter(const limit_vm &Limiter) {
    setLimiter(Limiter, Limiter.Context.Self.Incarnation);
  }
  void acquire(int Count, const organisation_id &Name = Limited) {
    for (; Count > 0; --Count)
      Limits.acquire(Name, [this](const limit_outcome &Outcome) {
        Outcomes.push_back(Outcome);
      });
  }
  std::size_t count(limit_verdict Verdict) const {
    return static_cast<std::size_t>(
        std::ranges::count(Outcomes, Verdict, &limit_outcome::Verdict));
  }
};

/// Two entries and a limiter.
struct limit_vms {
  event_loop Loop;
  timer_service Timers{Loop};
  limit_vm Limiter{Loop, Timers, "limiter"};
  limit_vm First{Loop, Timers, "first"};
  limit_vm Second{Loop, Timers, "second"};
  /// Ends waits of the event loop.
  timer_subscription Tick = Timers.every(std::chrono::milliseconds(5), [] {});

  limit_vms() {
    for (auto *Vm : {&Limiter, &First, &Second})
      Vm->Limits.start(true);
  }
  template <typename Condition>
  bool runUntil(Condition Done, duration Limit = std::chrono::seconds(20)) {
    auto End = Timers.now() + Limit;
    while (!Done() && Timers.now() < End)
      Loop.runOnce();
    return Done();
  }
  void assignLimiter() {
    for (auto *Vm : {&Limiter, &First, &Second})
      Vm->setLimiter(Limiter);
  }
};

} // namespace

// Guards against entries that each use the whole limit.
TEST_CASE("limits: two entries share one limit") {
  limit_vms Vms;
  Vms.assignLimiter();
  // Requests are repeated until the links are open.
  auto Start = Vms.Timers.now();
  Vms.First.acquire(30);
  Vms.Second.acquire(30);
  REQUIRE(Vms.runUntil([&] {
    return Vms.First.Outcomes.size() == 30 && Vms.Second.Outcomes.size() == 30;
  }));
  std::chrono::duration<double> Span = Vms.Timers.now() - Start;
  auto Granted = Vms.First.count(limit_verdict::Granted) +
                 Vms.Second.count(limit_verdict::Granted);
  CHECK(Granted > 0);
  CHECK(static_cast<double>(Granted) <=
        LimitShares * (InitialOperations + 1) + Rate * Span.count());
  CHECK(Vms.First.count(limit_verdict::LimitReached) +
            Vms.Second.count(limit_verdict::LimitReached) >
        0);
}

// Guards against waits of callers on the limiter's VM, and of callers whose
// organisation has no limit.
TEST_CASE("limits: on the limiter's own VM, and without a limit, the verdict "
          "comes at once") {
  limit_vms Vms;
  Vms.assignLimiter();
  // Each of the four buckets starts with two operations.
  Vms.Limiter.acquire(12);
  CHECK(Vms.Limiter.Outcomes.size() == 12);
  CHECK(Vms.Limiter.count(limit_verdict::Granted) == 8);
  CHECK(Vms.Limiter.count(limit_verdict::LimitReached) == 4);
  Vms.First.acquire(9, Free);
  CHECK(Vms.First.count(limit_verdict::Granted) == 9);
  Vms.First.Outcomes.clear();
  Vms.First.acquire(1, organisation_id("unknown"));
  CHECK(Vms.First.count(limit_verdict::Granted) == 1);
}

// Guards against operations that are lost when a statement was not run.
TEST_CASE("limits: an operation that is given back can be used again") {
  limit_vms Vms;
  Vms.assignLimiter();
  Vms.Limiter.acquire(8);
  REQUIRE(Vms.Limiter.count(limit_verdict::Granted) == 8);
  Vms.Limiter.Limits.giveBack(Limited, Vms.Limiter.Outcomes[0].ValidUntil);
  Vms.Limiter.acquire(1);
  CHECK(Vms.Limiter.count(limit_verdict::Granted) == 9);
}

// Guards against callers that hang without a limiter, and against operations
// that start without one.
TEST_CASE("limits: without a limiter callers are refused after 300 ms") {
  limit_vms Vms;
  auto Start = Vms.Timers.now();
  Vms.First.acquire(2);
  // A limiter of which nothing is known but its address.
  Vms.Second.setLimiter(Vms.Limiter);
  Vms.Second.acquire(1);
  // This VM's own lease has ended.
  Vms.Limiter.setLimiter(Vms.Limiter);
  Vms.Limiter.View.LeaseEnd = Start;
  Vms.Limiter.acquire(1);
  REQUIRE(Vms.runUntil([&] {
    return Vms.First.Outcomes.size() == 2 && Vms.Second.Outcomes.size() == 1 &&
           Vms.Limiter.Outcomes.size() == 1;
  }));
  CHECK(Vms.Timers.now() - Start >= LimitWaitTimeout);
  for (auto *Vm : {&Vms.First, &Vms.Second, &Vms.Limiter})
    CHECK(Vm->count(limit_verdict::Unavailable) == Vm->Outcomes.size());
}

// Guards against grants by a process that does not hold the slot.
TEST_CASE("limits: only the incarnation that holds the slot grants") {
  limit_vms Vms;
  Vms.assignLimiter();
  // The assignment names an earlier process of the limiter's VM.
  for (auto *Vm : {&Vms.Limiter, &Vms.First})
    Vm->setLimiter(Vms.Limiter, incarnation(6));
  Vms.First.acquire(1);
  Vms.Limiter.acquire(1);
  REQUIRE(Vms.runUntil([&] {
    return Vms.First.Outcomes.size() == 1 && Vms.Limiter.Outcomes.size() == 1;
  }));
  CHECK(Vms.First.count(limit_verdict::Unavailable) == 1);
  CHECK(Vms.Limiter.count(limit_verdict::Unavailable) == 1);
}

// Guards against callers that wait for the answer of a former limiter.
TEST_CASE("limits: waiting callers are served by the next limiter") {
  limit_vms Vms;
  // A VM that receives requests and does not answer them.
  limit_vm Silent(Vms.Loop, Vms.Timers, "silent");
  Silent.Hub.registerReceiver(message_kind(400), message_kind(400),
                              [](link_id, link_message &&) {});
  auto &Hub = Vms.First.Hub;
  link_id ToSilent = Hub.linkTo(Silent.Address);
  link_id ToSecond = Hub.linkTo(Vms.Second.Address);
  REQUIRE(Vms.runUntil(
      [&] { return Hub.isOpen(ToSilent) && Hub.isOpen(ToSecond); }));
  auto &Requests =
      Vms.First.Metrics.counterOf("teasellock_limit_batches_total");
  Vms.First.setLimiter(Silent);
  Vms.First.acquire(1);
  CHECK(Requests.Value == 1);
  Vms.Second.setLimiter(Vms.Second);
  Vms.First.setLimiter(Vms.Second);
  CHECK(Requests.Value == 2);
  REQUIRE(Vms.runUntil([&] { return Vms.First.Outcomes.size() == 1; }));
  CHECK(Vms.First.count(limit_verdict::Granted) == 1);
}

// Guards against refusals of all callers whose limiter can't be reached, as in
// a network partition, while others can.
TEST_CASE("limits: callers are served while three of four limiters are "
          "silent") {
  limit_vms Vms;
  limit_vm Silent(Vms.Loop, Vms.Timers, "silent");
  Silent.Hub.registerReceiver(message_kind(400), message_kind(400),
                              [](link_id, link_message &&) {});
  auto &Entry = Vms.First;
  link_id ToSilent = Entry.Hub.linkTo(Silent.Address);
  link_id ToSecond = Entry.Hub.linkTo(Vms.Second.Address);
  REQUIRE(Vms.runUntil([&] {
    return Entry.Hub.isOpen(ToSilent) && Entry.Hub.isOpen(ToSecond);
  }));
  Vms.Second.setLimiter(Vms.Second);
  auto FirstShare = firstShareOf(Entry.Context.Self.Vm);
  auto Answering =
      slotOfShare(Limited, (FirstShare + LimitShares - 1) % LimitShares);
  Entry.setLimiter(Silent);
  Entry.View.Slots[Answering] =
      limiter_holder{Vms.Second.Context.Self.Vm,
                     Vms.Second.Context.Self.Incarnation, Vms.Second.Address};
  Entry.Limits.handleViewChange();
  // The limiters that are asked first don't answer, until their time is over.
  Entry.acquire(1);
  REQUIRE(Vms.runUntil([&] { return !Entry.Outcomes.empty(); }));
  CHECK(Entry.count(limit_verdict::Granted) == 1);
}

// Guards against as many time series as there are names.
TEST_CASE("limits: at most 100 organisations have metrics of their own") {
  limit_vms Vms;
  auto &Vm = Vms.Limiter;
  Vm.setLimiter(Vm);
  Vm.Deployment.Organisations->clear();
  for (int Number = 0; Number < 120; ++Number)
    Vm.Deployment.Organisations->push_back(
        {organisation_id("o" + std::to_string(Number)),
         {},
         operation_limit{Rate, Rate},
         0});
  Vm.Deployment.Version = deployment_version(2);
  for (const auto &Organisation : *Vm.Deployment.Organisations)
    Vm.acquire(1, Organisation.Name);
  auto ValueOf = [&](const char *Name) {
    return Vm.Metrics
        .counterOf("teasellock_limit_operations_total",
                   {{"organisation", Name}, {"result", "granted"}})
        .Value;
  };
  CHECK(ValueOf("o0") == 1);
  CHECK(ValueOf("o99") == 1);
  CHECK(ValueOf("other") == 20);
}

// Guards against a bucket that fills up while another VM is the limiter.
TEST_CASE("limits: a limiter that lost its slot or lease starts anew") {
  limit_vms Vms;
  auto &Vm = Vms.Limiter;
  Vm.setLimiter(Vm);
  Vm.Deployment.Organisations->front().Limit = operation_limit{2000, 1000};
  Vm.Deployment.Version = deployment_version(2);
  auto GrantedAfter = [&](const std::function<void()> &Change) {
    // More than InitialOperations gather.
    auto Until = Vms.Timers.now() + std::chrono::milliseconds(200);
    Vm.acquire(1);
    REQUIRE(Vms.runUntil([&] { return Vms.Timers.now() >= Until; }));
    Change();
    Vm.Outcomes.clear();
    Vm.acquire(100);
    return Vm.count(limit_verdict::Granted);
  };
  CHECK(GrantedAfter([] {}) == 100);
  CHECK(GrantedAfter([&] {
          Vm.setLimiter(Vms.First);
          Vm.setLimiter(Vm);
        }) < 100);
  CHECK(GrantedAfter([&] {
          Vm.View.LeaseEnd = Vms.Timers.now();
          Vm.Limits.handleViewChange();
          Vm.View.LeaseEnd = Vms.Timers.now() + std::chrono::seconds(60);
        }) < 100);
}

// Guards against a lowered limit that is noticed only after a restart.
TEST_CASE("limits: a new version's limits are in force at once") {
  limit_vms Vms;
  auto &Vm = Vms.Limiter;
  Vm.setLimiter(Vm);
  Vm.acquire(1);
  CHECK(Vm.count(limit_verdict::Granted) == 1);
  Vm.Deployment.Organisations->front().Limit = operation_limit{0, 0};
  Vm.Deployment.Version = deployment_version(2);
  Vm.acquire(4);
  CHECK(Vm.count(limit_verdict::Granted) == 2);
  CHECK(Vm.count(limit_verdict::LimitReached) == 3);
}
