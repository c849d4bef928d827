/// Sessions change a value within transactions while their primary is replaced
/// as planned. Their later reads must run with the values that were
/// acknowledged to them.
#include "../stand_in/case.h"

using namespace review;

namespace {

constexpr int ClientCount = 12;
/// Within a transaction, a client pauses this long.
constexpr int PauseMs = 60;
constexpr int DistinctValues = 6;
/// The new backend starts this long before the old one reports that it leaves.
constexpr int StartBeforeMs = 1500;
constexpr int MinStatements = 300;

/// The value of "tag" that was acknowledged when a statement was sent.
struct sent_statements {
  std::mutex Mutex;
  std::map<std::string, std::string> Tags;

  void add(const std::string &Id, const std::string &Tag) {
    std::lock_guard Lock(Mutex);
    Tags[Id] = Tag;
  }
};

/// One session that reads alone and in transactions, by turns.
class tagging_client {
public:
  tagging_client(run_record &Record, sent_statements &Sent, address Front,
                 int Number)
      : Sent(Sent), Front(std::move(Front)), Number(Number),
        Name("c" + std::to_string(Number)), Client(Record, Name) {}

  void run(const std::atomic<bool> &Stop) {
    for (int Operation = 1; !Stop; ++Operation) {
      if (!Client.isOpen() && !open())
        continue;
      Id = Name + "-" + std::to_string(Operation);
      if (Operation % 2 != 0) {
        runTransaction(Operation);
        continue;
      }
      read("r1");
      read("r2");
    }
  }

private:
  bool open() {
    Tag.clear();
    Id = Name + "-start";
    if (Client.start(Front, "desk") && set("a" + std::to_string(Number)))
      return true;
    Client.close();
    sleepMs(20);
    return false;
  }

  bool set(const std::string &Value) {
    if (!Client.query(Id + "s", "SET tag " + Value).succeeded())
      return false;
    Tag = Value;
    return true;
  }

  bool read(const std::string &Suffix) {
    Sent.add(Id + Suffix, Tag);
    return Client.query(Id + Suffix, "READ ride", 3000).succeeded();
  }

  void runTransaction(int Operation) {
    if (!Client.query(Id + "b", "BEGIN").succeeded())
      return;
    bool Succeeded = read("t1");
    if (Succeeded) {
      set("v" + std::to_string(Number) + "x" +
          std::to_string(Operation % DistinctValues));
      sleepMs(PauseMs);
      Succeeded = read("t2");
    }
    Client.query(Id + "e", Succeeded ? "COMMIT" : "ROLLBACK");
  }

  sent_statements &Sent;
  address Front;
  int Number;
  std::string Name;
  client_session Client;
  std::string Id;
  std::string Tag;
};

} // namespace

int main(int Count, char **Values) {
  case_arguments Arguments = parseArguments(Count, Values);
  run_record Record(Arguments.Record);
  deployment Deployment(Record, {}, Arguments.Folder);
  service_settings Settings;
  Settings.Name = "booking";
  service Service(Record, Settings);
  for (int Index = 0; Index < 4; ++Index) {
    address Own{Deployment.ip(101 + Index), deployment::BackendPort};
    bool IsReplacement = Index == 3;
    Service.add(Deployment.Machines[static_cast<std::size_t>(Index % 3)].Zone,
                Own, Own, IsReplacement);
  }
  if (!Service.start(Deployment.controlAddresses()) ||
      !Deployment.start({&Service}) ||
      !Deployment.configure(1, {{"desk", "read_your_writes", "booking", 2500}},
                            20000) ||
      !Deployment.waitUntilReady(20000) ||
      !waitUntilServing(Record, Deployment.front(0), "desk", 20000))
    finish(Deployment, Record, CouldNotRun, "could not run");
  sleepMs(3000);

  sent_statements Sent;
  std::atomic<bool> Stop = false;
  std::vector<std::thread> Threads;
  for (int Number = 1; Number <= ClientCount; ++Number)
    Threads.emplace_back([&, Number] {
      tagging_client Client(Record, Sent, Deployment.front(0), Number);
      Client.run(Stop);
    });
  sleepMs(2000);
  if (Arguments.Trouble) {
    Service.startBackend(3);
    sleepMs(StartBeforeMs);
    Service.drain(0);
  }
  sleepMs(4000);
  Stop = true;
  for (auto &Thread : Threads)
    Thread.join();

  int Checked = 0;
  int Wrong = 0;
  for (const auto &Run : Service.executions()) {
    auto Expected = Sent.Tags.find(Run.Id);
    if (Expected == Sent.Tags.end())
      continue;
    ++Checked;
    auto Value = Run.Values.find("tag");
    std::string Found = Value == Run.Values.end() ? "(none)" : Value->second;
    if (Found == Expected->second)
      continue;
    ++Wrong;
    Record.write("check: " + Run.Id + " ran on " + Run.Backend + " with tag=" +
                 Found + ", acknowledged was tag=" + Expected->second);
  }
  std::string Figures = std::to_string(Wrong) + " of " +
                        std::to_string(Checked) +
                        " statements ran with values that were not the "
                        "acknowledged ones";
  if (Checked < MinStatements)
    finish(Deployment, Record, CouldNotRun, "too few statements: " + Figures);
  if (Wrong > 0)
    finish(Deployment, Record, RuleBroken, "PINNED broken: " + Figures);
  finish(Deployment, Record, RuleHeld, "PINNED held: " + Figures);
}
