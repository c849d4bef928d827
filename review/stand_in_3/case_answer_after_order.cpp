/// A primary that is cut off from its replicas commits with a replica that has
/// just started as planned, whose first heartbeat goes to a frozen machine, and
/// crashes. The gateway that acknowledged the commits is in another region than
/// control's leader. Checks that every acknowledged write is in the log of the
/// backend that is promoted (LOST).

#include "deployment.h"

#include <iostream>

using namespace review;

namespace {

constexpr int Writers = 4;
/// The machine in the other region, in whose zone the primary runs.
constexpr std::size_t Remote = 1;
constexpr std::size_t Frozen = 2;

struct ledger {
  std::mutex Mutex;
  std::vector<std::string> Acknowledged;
};

void writeAll(deployment &Deployment, recorder &Record, ledger &Ledger,
              const std::atomic<bool> &Stops, int Number) {
  std::optional<client> Client;
  for (int Index = 0; !Stops; ++Index) {
    if (!Client || !Client->isOpen())
      Client.emplace(Record, Deployment.Machines[Remote].Front,
                     Deployment.database("primary"));
    std::string Id = Deployment.newId();
    auto Answer = Client->query(
        Id, "WRITE " + std::to_string(Number * 1000 + Index) + " v");
    if (Answer.isSuccess()) {
      std::lock_guard Lock(Ledger.Mutex);
      Ledger.Acknowledged.push_back(Id);
    }
    std::this_thread::sleep_for(milliseconds(40));
  }
}

} // namespace

int main(int, char **Arguments) {
  bool Trouble = environment("TROUBLE", "1") != "0";
  recorder Record(Arguments[1]);
  deployment_options Options;
  Options.UsesRelays = true;
  Options.RegionDelay = milliseconds(12);
  Options.FirstBackend = Remote;
  deployment Deployment(Record, Arguments[2], Options);
  auto &Group = Deployment.Group;
  if (!Deployment.start()) {
    std::cout << "could not run: nothing is served\n";
    return 2;
  }
  if (Deployment.findFollower({Remote, Frozen}) != Remote ||
      Deployment.findFollower({Frozen, Remote}) != Frozen) {
    std::cout << "could not run: another machine leads control\n";
    return 2;
  }
  ledger Ledger;
  std::atomic<bool> Stops = false;
  std::vector<std::thread> Threads;
  for (int Number = 1; Number <= Writers; ++Number)
    Threads.emplace_back(
        [&, Number] { writeAll(Deployment, Record, Ledger, Stops, Number); });
  auto Wait = [](int Span) { std::this_thread::sleep_for(milliseconds(Span)); };
  Wait(2500);
  std::string Former = Group.primary();
  if (Trouble)
    Deployment.freeze(Frozen, true);
  Wait(1200);
  auto Replicas = Group.running();
  if (Trouble)
    for (const auto &Id : Replicas)
      if (Id != Former)
        Group.cutReplication(Id, true);
  Wait(100);
  // The planned replacement of a replica: the new backend starts first.
  Deployment.addBackend(3, "i-4new", Frozen);
  Wait(600);
  if (Trouble)
    Group.crash(Former);
  Wait(1500);
  if (Trouble) {
    Deployment.freeze(Frozen, false);
    for (const auto &Id : Replicas)
      if (Id != Former)
        Group.cutReplication(Id, false);
  }
  Wait(3500);
  if (Trouble)
    Group.start(Former, true);
  Wait(1500);
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
  std::string Verdict = "acknowledged " +
                        std::to_string(Ledger.Acknowledged.size()) +
                        ", missing in the log of " + Leads + ": " +
                        std::to_string(Missing) + "; " + Group.describe();
  Record.write(Verdict);
  std::cout << Verdict << "\n";
  Deployment.stop();
  if (Missing > 0 && IsRun)
    return 1;
  return IsRun ? 0 : 2;
}
