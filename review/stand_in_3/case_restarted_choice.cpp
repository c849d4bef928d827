/// A primary leaves as planned. The replica that is chosen to take over ends
/// after the platform has accepted the order, and starts again under its id
/// with nothing. Checks that the backend that leads in the end has every
/// acknowledged write (LOST).

#include "deployment.h"

#include <iostream>

using namespace review;

namespace {

/// How long the chosen backend stays away.
constexpr milliseconds Outage{1000};
/// When the chosen backend ends, counted from the accepted order.
constexpr milliseconds EndsAfter{200};
constexpr int Writes = 40;

} // namespace

int main(int, char **Arguments) {
  bool Trouble = environment("TROUBLE", "1") != "0";
  recorder Record(Arguments[1]);
  deployment_options Options;
  deployment Deployment(Record, Arguments[2], Options);
  auto &Group = Deployment.Group;
  if (!Deployment.start()) {
    std::cout << "could not run: nothing is served\n";
    return 2;
  }
  std::vector<std::string> Acknowledged;
  client Client(Record, Deployment.Machines[0].Front,
                Deployment.database("primary"));
  for (int Index = 0; Index < Writes; ++Index) {
    std::string Id = Deployment.newId();
    if (Client.query(Id, "WRITE " + std::to_string(Index) + " v").isSuccess())
      Acknowledged.push_back(Id);
  }
  std::this_thread::sleep_for(milliseconds(2500));
  std::string Former = Group.primary();
  std::atomic<bool> Hit = !Trouble;
  std::thread Outages;
  Group.OnOrder = [&](const std::string &Id) {
    if (Hit.exchange(true))
      return;
    Outages = std::thread([&, Id] {
      std::this_thread::sleep_for(EndsAfter);
      Group.crash(Id);
      std::this_thread::sleep_for(Outage);
      Group.start(Id, false);
    });
  };
  // The planned replacement of the primary: the new backend starts first.
  Deployment.addBackend(3, "i-4new");
  std::this_thread::sleep_for(milliseconds(1500));
  Group.setLeaving(Former);
  auto End = steady::now() + std::chrono::seconds(20);
  while (steady::now() < End && Group.primary() == Former)
    std::this_thread::sleep_for(milliseconds(50));
  while (steady::now() < End && (Group.promotions() == 0 || !Hit))
    std::this_thread::sleep_for(milliseconds(50));
  std::this_thread::sleep_for(milliseconds(1000));
  if (Outages.joinable())
    Outages.join();
  bool IsRun = Group.promotions() > 0 && Hit && Acknowledged.size() >= 10;
  std::string Leads = Group.primary();
  std::size_t Missing = 0;
  for (const auto &Id : Acknowledged)
    Missing += !Group.primaryHas(Id);
  std::string Verdict = "acknowledged " + std::to_string(Acknowledged.size()) +
                        ", missing in the log of " + Leads + ": " +
                        std::to_string(Missing) + "; " + Group.describe();
  Record.write(Verdict);
  std::cout << Verdict << "\n";
  Deployment.stop();
  if (Missing > 0 && IsRun)
    return 1;
  return IsRun ? 0 : 2;
}
