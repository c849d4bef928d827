#include "modules/control/deployment_transfers.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

const vm_id Vm("vm");
const duration FirstResendDelay = fromMilliseconds(3000);

/// A patch that is on its way.
struct simulated_copy {
  std::uint64_t Base;
  std::uint64_t Version;
};

/// A VM behind a link that delivers copies in order, and whose connection may
/// break, which loses the copies on their way.
struct simulated_vm {
  std::uint64_t Link = 1;
  std::uint64_t Applied = 0;
  std::deque<simulated_copy> Copies;

  void renew(deployment_transfers &Transfers, std::uint64_t Newest,
             time_point Now) {
    if (startTransfer(Transfers,
                      {Vm, link_id(Link), deployment_version(Applied)},
                      deployment_version(Newest), Now))
      Copies.push_back({Applied, Newest});
  }

  void deliver() {
    if (Copies.empty())
      return;
    if (Copies.front().Base == Applied)
      Applied = Copies.front().Version;
    Copies.pop_front();
  }

  /// An earlier leader's copy arrives, of a version that is not the newest.
  void receiveFromEarlierLeader(std::uint64_t Newest) {
    if (Applied + 1 < Newest)
      ++Applied;
  }

  std::size_t usefulCopies() const {
    return static_cast<std::size_t>(
        std::count_if(Copies.begin(), Copies.end(),
                      [&](const auto &Copy) { return Copy.Base == Applied; }));
  }

  void breakLink() {
    ++Link;
    Copies.clear();
  }
};

} // namespace

// Guards against copies that pile up on a slow link, one for each renewal.
TEST_CASE("control: at most one copy of the deployment is on its way to a VM, "
          "and the VM gets the newest version") {
  bool Passed = rc::check("transfers", [] {
    deployment_transfers Transfers;
    simulated_vm Simulated;
    std::uint64_t Newest = 0;
    time_point Now{fromMilliseconds(1000)};
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 20));
    for (int Step : Steps) {
      // Renewals are as frequent as all other events together.
      if (Step == 0)
        Simulated.breakLink();
      else if (Step < 4)
        ++Newest;
      else if (Step < 9)
        Simulated.deliver();
      else if (Step == 9)
        Simulated.receiveFromEarlierLeader(Newest);
      else
        Simulated.renew(Transfers, Newest, Now);
      RC_ASSERT(Simulated.usefulCopies() <= 1);
      Now += fromMilliseconds(5);
    }
    // What is on its way arrives, at most one of it is of use, and one more
    // copy may be needed.
    for (int Round = 0; Round < 2; ++Round) {
      Simulated.renew(Transfers, Newest, Now);
      while (!Simulated.Copies.empty())
        Simulated.deliver();
    }
    RC_ASSERT(Simulated.Applied == Newest);
    Simulated.renew(Transfers, Newest, Now);
    RC_ASSERT(Transfers.empty());
  });
  CHECK(Passed);
}

// Guards against a VM that is left with its old deployment because it has
// discarded the copy that was sent.
TEST_CASE("control: a deployment that a VM does not report is sent again, less "
          "and less often") {
  deployment_transfers Transfers;
  deployment_report Report{Vm, link_id(1), deployment_version(3)};
  std::vector<time_point> Sent;
  const time_point Start{fromMilliseconds(1000)};
  for (time_point Now = Start; Now - Start < 8 * FirstResendDelay;
       Now += fromMilliseconds(100))
    if (startTransfer(Transfers, Report, deployment_version(7), Now))
      Sent.push_back(Now);
  CHECK((Sent == std::vector<time_point>{Start, Start + FirstResendDelay,
                                         Start + 3 * FirstResendDelay,
                                         Start + 7 * FirstResendDelay}));
  // A connection that has ended has lost what was on its way.
  Report.Link = link_id(2);
  CHECK(startTransfer(Transfers, Report, deployment_version(7), Sent.back()));
}
