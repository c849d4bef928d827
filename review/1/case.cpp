/// The primary crashes and is soon back, while a replica is being replaced: the
/// new one starts while the platform promotes another replica. What clients
/// were told is committed must be in the log of the backend that is promoted.
#include "../stand_in/case.h"

using namespace review;

namespace {

constexpr int PromoteMs = 1000;
/// The primary is back this long after the platform was called.
constexpr int PrimaryBackMs = 50;
constexpr int FailoverTimeoutMs = 5000;
constexpr int ClientsPerMachine = 4;

struct acknowledged_write {
  std::string Id;
  double AtMs = 0;
};

} // namespace

int main(int Count, char **Values) {
  case_arguments Arguments = parseArguments(Count, Values);
  run_record Record(Arguments.Record);
  deployment Deployment(Record, {}, Arguments.Folder);
  service_settings Settings;
  Settings.Name = "booking";
  Settings.PromoteMs = PromoteMs;
  Settings.WorkMs = 6;
  service Service(Record, Settings);
  for (int Index = 0; Index < 3; ++Index) {
    address Own{Deployment.ip(101 + Index), deployment::BackendPort};
    Service.add(Deployment.Machines[static_cast<std::size_t>(Index)].Zone, Own,
                Own);
  }
  // The replacement of a replica: the new one starts first.
  address New{Deployment.ip(104), deployment::BackendPort};
  Service.add(Deployment.Machines[2].Zone, New, New, true);
  if (!Service.start(Deployment.controlAddresses()) ||
      !Deployment.start({&Service}) ||
      !Deployment.configure(1, {{"desk", "primary", "booking", 0}}, 20000) ||
      !Deployment.waitUntilReady(20000) ||
      !waitUntilServing(Record, Deployment.front(0), "desk", 20000))
    finish(Deployment, Record, CouldNotRun, "could not run");
  sleepMs(3000);

  std::mutex Mutex;
  std::vector<acknowledged_write> Acknowledged;
  std::atomic<bool> Stop = false;
  std::vector<std::thread> Clients;
  for (std::size_t Machine = 0; Machine < 3; ++Machine)
    for (int Number = 0; Number < ClientsPerMachine; ++Number)
      Clients.emplace_back([&, Machine, Number] {
        std::string Name =
            "c" + std::to_string(Machine + 1) + std::to_string(Number + 1);
        client_session Client(Record, Name);
        for (int Operation = 1; !Stop; ++Operation) {
          std::string Id = Name + "-" + std::to_string(Operation);
          if (!Client.isOpen() &&
              !Client.start(Deployment.front(Machine), "desk")) {
            sleepMs(50);
            continue;
          }
          answer Answer = Client.query(Id + "b", "BEGIN", 2000);
          if (Answer.succeeded())
            Answer = Client.query(Id + "r", "READ ride", 2000);
          if (Answer.succeeded())
            Answer = Client.query(Id + "w", "WRITE ride " + Id, 2000);
          if (Answer.succeeded()) {
            Answer = Client.query(Id + "c", "COMMIT", 2000);
            Record.write(Id + " COMMIT " + Answer.text());
            if (Answer.succeeded()) {
              std::lock_guard Lock(Mutex);
              Acknowledged.push_back({Id + "w", Record.elapsedMs()});
            }
          }
          if (Answer.State == 'E' || Answer.State == 'T')
            Client.query(Id + "e", "ROLLBACK", 2000);
          sleepMs(10);
        }
      });
  sleepMs(2000);

  std::atomic<bool> IsReplaced = false;
  std::atomic<bool> IsPromoted = false;
  std::set<std::string> Held;
  double PromotedAtMs = 0;
  auto StartReplacement = [&] {
    if (IsReplaced.exchange(true))
      return;
    Service.startBackend(3);
    Service.drain(2);
  };
  Deployment.OnPromoteCall = [&](const std::string &, const std::string &) {
    StartReplacement();
  };
  Service.OnPromoted = [&](const std::string &,
                           const std::set<std::string> &Writes) {
    if (IsPromoted)
      return;
    Held = Writes;
    PromotedAtMs = Record.elapsedMs();
    IsPromoted = true;
  };
  if (Arguments.Trouble) {
    Service.crash(0);
    if (!waitUntil(FailoverTimeoutMs, [&] { return IsReplaced.load(); }))
      finish(Deployment, Record, CouldNotRun, "no failover began");
    sleepMs(PrimaryBackMs);
    Service.startBackend(0);
    if (!waitUntil(15000, [&] { return IsPromoted.load(); }))
      finish(Deployment, Record, CouldNotRun, "no backend was promoted");
  } else {
    StartReplacement();
  }
  sleepMs(3000);
  Stop = true;
  for (auto &Client : Clients)
    Client.join();

  int Before = 0;
  int Lost = 0;
  if (!IsPromoted) {
    Held = Service.writesOf(0);
    PromotedAtMs = Record.elapsedMs();
  }
  for (const auto &Write : Acknowledged) {
    if (Write.AtMs > PromotedAtMs)
      continue;
    ++Before;
    if (Held.contains(Write.Id))
      continue;
    ++Lost;
    Record.write("check: " + Write.Id + " was acknowledged at " +
                 std::to_string(Write.AtMs) +
                 " ms and is not in the log of the promoted backend");
  }
  std::string Figures = std::to_string(Lost) + " of " + std::to_string(Before) +
                        " acknowledged commits are missing";
  if (Before < 20)
    finish(Deployment, Record, CouldNotRun, "too few commits: " + Figures);
  if (Lost > 0)
    finish(Deployment, Record, RuleBroken, "LOST broken: " + Figures);
  finish(Deployment, Record, RuleHeld, "LOST held: " + Figures);
}
