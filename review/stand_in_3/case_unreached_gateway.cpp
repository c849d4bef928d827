/// A machine is cut off from the other machines of the system, and the primary
/// from some of those, while a new replica starts as planned. Checks that every
/// write that was acknowledged is in the log of the backend that is promoted
/// (LOST).

#include "deployment.h"

#include <algorithm>
#include <iostream>

using namespace review;

namespace {

constexpr int Writers = 6;
/// How long the machine and the primary are cut off.
constexpr milliseconds CutTime{4500};

/// The writes of all clients and what came of them.
struct ledger {
  std::mutex Mutex;
  std::vector<std::string> Acknowledged;
  std::size_t Sent = 0;
};

void writeAll(deployment &Deployment, recorder &Record, const endpoint &Entry,
              ledger &Ledger, const std::atomic<bool> &Stops, int Number) {
  std::optional<client> Client;
  for (int Index = 0; !Stops; ++Index) {
    if (!Client || !Client->isOpen())
      Client.emplace(Record, Entry, Deployment.database("primary"));
    std::string Id = Deployment.newId();
    auto Answer = Client->query(
        Id, "WRITE " + std::to_string(Number * 1000 + Index) + " v");
    {
      std::lock_guard Lock(Ledger.Mutex);
      ++Ledger.Sent;
      if (Answer.isSuccess())
        Ledger.Acknowledged.push_back(Id);
    }
    std::this_thread::sleep_for(milliseconds(60));
  }
}

} // namespace

int main(int, char **Arguments) {
  bool Trouble = environment("TROUBLE", "1") != "0";
  recorder Record(Arguments[1]);
  deployment_options Options;
  Options.FrontOnly = 3;
  Options.UsesRelays = true;
  deployment Deployment(Record, Arguments[2], Options);
  auto &Group = Deployment.Group;
  if (!Deployment.start()) {
    std::cout << "could not run: nothing is served\n";
    return 2;
  }
  std::this_thread::sleep_for(milliseconds(2500));
  std::string Former = Group.primary();
  auto Gateways = Deployment.processesAt(Former);
  // Machines of the primary's region: their callers' writes stay on the
  // machine.
  std::size_t Cut = Deployment.findFollower({2, 0});
  if (!Gateways.contains(Deployment.Machines[Cut].ProxyPid)) {
    std::cout << "could not run: the machine is no gateway of the group\n";
    return 2;
  }
  ledger Ledger;
  std::atomic<bool> Stops = false;
  std::vector<std::thread> Threads;
  for (int Number = 1; Number <= Writers; ++Number)
    Threads.emplace_back([&, Number] {
      writeAll(Deployment, Record, Deployment.Machines[Cut].Front, Ledger,
               Stops, Number);
    });
  std::this_thread::sleep_for(milliseconds(1500));
  std::atomic<bool> Ordered = false;
  Group.OnOrder = [&](const std::string &) { Ordered = true; };
  std::string Known = Deployment.processIds();
  if (Trouble) {
    Deployment.cutOff(Cut, true);
    std::set<int> Others;
    for (std::size_t Index = 0; Index < Options.Machines; ++Index)
      if (Index != Cut)
        Others.insert(Deployment.Machines[Index].ProxyPid);
    Record.write("primary " + Former + " is cut off from the proxies of the " +
                 "other two machines with a disk");
    Group.setFilter([=](const std::string &Id, int Socket) {
      return Id != Former || !Others.contains(findPeerProcess(Socket, Known));
    });
  }
  auto CutAt = steady::now();
  while (Trouble && !Ordered && steady::now() - CutAt < CutTime)
    std::this_thread::sleep_for(milliseconds(5));
  std::this_thread::sleep_for(milliseconds(Trouble ? 100 : 1000));
  // The planned replacement of a replica: the new backend starts first.
  Deployment.addBackend(3, "i-4new");
  while (steady::now() - CutAt < CutTime)
    std::this_thread::sleep_for(milliseconds(5));
  Group.setFilter(nullptr);
  Deployment.cutOff(Cut, false);
  std::this_thread::sleep_for(milliseconds(3000));
  Stops = true;
  for (auto &Thread : Threads)
    Thread.join();
  std::string Leads = Group.primary();
  std::size_t Missing = 0;
  for (const auto &Id : Ledger.Acknowledged)
    if (!Group.primaryHas(Id)) {
      ++Missing;
      Record.write("acknowledged and not in the log of " + Leads + ": " + Id);
    }
  bool IsRun =
      Ledger.Acknowledged.size() >= 10 && (!Trouble || Group.promotions() > 0);
  std::string Verdict =
      "sent " + std::to_string(Ledger.Sent) + ", acknowledged " +
      std::to_string(Ledger.Acknowledged.size()) + ", missing in the log of " +
      Leads + ": " + std::to_string(Missing) + "; " + Group.describe();
  Record.write(Verdict);
  std::cout << Verdict << "\n";
  Deployment.stop();
  if (Missing > 0 && IsRun)
    return 1;
  return IsRun ? 0 : 2;
}
