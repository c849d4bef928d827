#include "modules/membership/renewal_schedule.h"

#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

constexpr duration Step = std::chrono::milliseconds(1);

/// VMs that renew, and a leader that handles a limited number of renewals a
/// second, in their order.
struct simulated_control {
  std::vector<renewal_schedule> Vms;
  /// Renewals that wait at the leader, with their VM.
  std::deque<std::pair<std::size_t, request_id>> Queue;
  std::size_t MaxQueue = 0;
  std::uint64_t Sent = 0;
  std::uint64_t GivenUp = 0;
  std::uint64_t LastRequest = 0;
  time_point Now = time_point(std::chrono::seconds(100));

  explicit simulated_control(std::size_t Count) : Vms(Count) {}

  void renew(std::size_t Vm) {
    if (!maySendRenewal(Vms[Vm]))
      return;
    request_id Request(++LastRequest);
    recordRenewal(Vms[Vm], Request, Now);
    Queue.emplace_back(Vm, Request);
    ++Sent;
    MaxQueue = std::max(MaxQueue, Queue.size());
  }

  void handle(int Renewals) {
    for (; Renewals > 0 && !Queue.empty(); --Renewals) {
      auto [Vm, Request] = Queue.front();
      Queue.pop_front();
      recordRenewalReply(Vms[Vm], Request);
      if (takePostponed(Vms[Vm]))
        renew(Vm);
    }
  }

  void expire() {
    for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
      std::size_t Expired = expireRenewals(Vms[Vm], Now);
      GivenUp += Expired;
      if (Expired > 0)
        renew(Vm);
    }
  }
};

} // namespace

TEST_CASE("membership: a retry storm: an overloaded leader has a bounded queue "
          "of renewals, and none is left once the load ends") {
  constexpr std::size_t VmCount = 300;
  simulated_control Control(VmCount);
  // 300 VMs are told of a change every 25 ms, 12,000 renewals a second; the
  // leader handles 2,000.
  for (int Millisecond = 0; Millisecond < 5000; ++Millisecond) {
    Control.Now += Step;
    if (Millisecond % 25 == 0)
      for (std::size_t Vm = 0; Vm < VmCount; ++Vm)
        Control.renew(Vm);
    Control.handle(2);
    Control.expire();
  }
  CHECK(Control.MaxQueue <= 2 * VmCount);
  CHECK(Control.GivenUp == 0u);
  for (int Millisecond = 0; Millisecond < 700; ++Millisecond) {
    Control.Now += Step;
    Control.handle(2);
    Control.expire();
  }
  CHECK(Control.Queue.empty());
}

TEST_CASE("membership: renewals to a silent leader become rarer, and as "
          "frequent as before with the first reply") {
  renewal_schedule Schedule;
  time_point Now(std::chrono::seconds(100));
  std::uint64_t Last = 0;
  std::vector<duration> Waits;
  for (int Round = 0; Round < 4; ++Round) {
    recordRenewal(Schedule, request_id(++Last), Now);
    time_point SentAt = Now;
    while (expireRenewals(Schedule, Now) == 0)
      Now += Step;
    Waits.push_back(Now - SentAt);
  }
  CHECK((Waits[0] == Schedule.MinTimeout));
  CHECK((Waits[1] == Schedule.MinTimeout * 2));
  CHECK((Waits[2] == Schedule.MinTimeout * 4));
  CHECK((Waits[3] == Schedule.MinTimeout * 4));
  recordRenewal(Schedule, request_id(++Last), Now);
  CHECK(recordRenewalReply(Schedule, request_id(Last)).has_value());
  CHECK((Schedule.Timeout == Schedule.MinTimeout));
}

TEST_CASE("membership: whatever is lost or late, a postponed renewal is sent "
          "once") {
  bool Passed = rc::check("renewals", [] {
    renewal_schedule Schedule;
    time_point Now(std::chrono::seconds(100));
    std::uint64_t Last = 0;
    bool Wanted = false;
    for (int I = *rc::gen::inRange(1, 100); I > 0; --I) {
      Now += fromMilliseconds(*rc::gen::inRange(0, 300));
      switch (*rc::gen::inRange(0, 3)) {
      case 0:
        if (maySendRenewal(Schedule)) {
          recordRenewal(Schedule, request_id(++Last), Now);
          Wanted = false;
        } else {
          Wanted = true;
        }
        break;
      case 1:
        recordRenewalReply(
            Schedule,
            request_id(*rc::gen::inRange<std::uint64_t>(0, Last + 2)));
        if (Schedule.InFlight.size() < 2) {
          RC_ASSERT(takePostponed(Schedule) == Wanted);
          Wanted = false;
        }
        break;
      default:
        expireRenewals(Schedule, Now);
      }
      RC_ASSERT(Schedule.InFlight.size() <= 2u);
    }
  });
  CHECK(Passed);
}
