#include "deployment.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::uint16_t InternalPort = 7440;
constexpr std::uint16_t ProxyPort = 7441;
/// Added to an internal port if a relay stands at it.
constexpr std::uint16_t RelayedOffset = 10;
constexpr std::uint16_t ControlPort = 8782;
constexpr std::uint16_t PlatformPort = 8783;
constexpr std::uint16_t FrontPort = 8784;
constexpr std::uint16_t ReadyPort = 8785;
constexpr std::uint16_t BackendPort = 8080;
constexpr const char *Zones[] = {"zocalo", "malecon", "mercado"};
constexpr const char *Regions[] = {"centro-historico", "costera",
                                   "centro-historico"};

std::string readFile(const std::string &File) {
  std::ifstream In(File);
  return {std::istreambuf_iterator<char>(In), {}};
}

void replaceAll(std::string &Text, const std::string &From,
                const std::string &To) {
  for (std::size_t At = 0; (At = Text.find(From, At)) != std::string::npos;
       At += To.size())
    Text.replace(At, From.size(), To);
}

/// Returns the run command of a role in the deploy file.
std::string runCommand(const std::string &Role) {
  std::istringstream In(readFile("deploy/system.toml"));
  bool IsRole = false;
  for (std::string Line; std::getline(In, Line);) {
    if (Line.starts_with("["))
      IsRole = Line == "[roles." + Role + "]";
    if (IsRole && Line.starts_with("run = \""))
      return Line.substr(7, Line.size() - 8);
  }
  return "target/teasellockd";
}

} // namespace

std::string environment(const char *Name, const std::string &Default) {
  const char *Value = std::getenv(Name);
  return Value ? Value : Default;
}

//===----------------------------------------------------------------------===//
// Client
//===----------------------------------------------------------------------===//

client::client(recorder &Record, const endpoint &Entry,
               const std::string &Database)
    : Record(Record), Socket(connectTo(Entry, milliseconds(1000))) {
  if (Socket < 0)
    return;
  Reader.emplace(Socket);
  sendAll(Socket, "START " + Database + " u1\r\n");
  auto Line = Reader->next(milliseconds(2000));
  if (!Line || !Line->starts_with("READY"))
    close();
}

client::~client() { close(); }

void client::close() {
  if (Socket >= 0)
    ::close(Socket);
  Socket = -1;
}

answer client::query(const std::string &Id, const std::string &Text,
                     milliseconds Timeout) {
  answer Answer;
  Answer.Code = "NONE";
  if (Socket < 0) {
    Answer.Code = "CLOSED";
    return Answer;
  }
  Record.write("client sends " + Id + " " + Text);
  sendAll(Socket, "QUERY " + Id + " " + Text + "\r\n");
  std::string Code;
  for (;;) {
    auto Line = Reader->next(Timeout);
    if (!Line) {
      Answer.Code = Reader->isClosed() ? "CLOSED" : "NONE";
      break;
    }
    if (Line->starts_with("ROW "))
      Answer.Rows.push_back(Line->substr(4));
    else if (Line->starts_with("DONE "))
      Answer.Signature = Line->substr(5);
    else if (Line->starts_with("ERR "))
      Code = Line->substr(4, Line->find(' ', 4) - 4);
    else if (Line->starts_with("READY ")) {
      Answer.State = Line->size() > 6 ? (*Line)[6] : ' ';
      Answer.Code = Code;
      break;
    }
  }
  Record.write("client gets " + Id + " " +
               (Answer.isSuccess() ? "DONE " + Answer.Signature : Answer.Code));
  if (Answer.Code == "CLOSED" || Answer.Code == "NONE")
    close();
  return Answer;
}

//===----------------------------------------------------------------------===//
// Processes
//===----------------------------------------------------------------------===//

deployment::deployment(recorder &Record, std::string Folder,
                       deployment_options Given)
    : Group(Record,
            [&] {
              Given.Group.Service = Given.Service;
              return Given.Group;
            }()),
      Record(Record), Folder(std::move(Folder)), Options(std::move(Given)) {
  std::random_device Random;
  // A network of its own, so that runs don't meet.
  for (int Try = 0; Try < 50 && PlatformListener < 0; ++Try) {
    Network = "127." + std::to_string(20 + Random() % 200) + "." +
              std::to_string(1 + Random() % 250) + ".";
    PlatformListener = listenOn({Network + "200", PlatformPort});
  }
  for (std::size_t Index = 0; Index < Options.Machines + Options.FrontOnly;
       ++Index) {
    machine Machine;
    Machine.Zone = Zones[Index % 3];
    Machine.Node =
        "front-" + Machine.Zone + "-" + std::to_string(Index / 3 + 1);
    Machine.Front = at(Index, FrontPort);
    Machine.Ready = at(Index, ReadyPort);
    Machine.Control = at(Index, ControlPort);
    Machine.HasDisk = Index < Options.Machines;
    Machines.push_back(Machine);
  }
}

deployment::~deployment() { stop(); }

endpoint deployment::at(std::size_t Machine, std::uint16_t Port) const {
  return {Network + std::to_string(Machine + 1), Port};
}

std::string deployment::render(const std::string &Template, std::size_t Machine,
                               bool Bootstrap, bool IsControl) {
  std::string Text = readFile(Template);
  std::string Seeds;
  for (std::size_t Index = 0;
       Index < std::min<std::size_t>(3, Options.Machines); ++Index)
    Seeds += (Seeds.empty() ? "" : ",") + at(Index, ControlPort).text();
  std::string ZoneRegions;
  for (int Index = 0; Index < 3; ++Index)
    ZoneRegions += std::string(ZoneRegions.empty() ? "" : ",") + Zones[Index] +
                   "=" + Regions[Index];
  const auto &Given = Machines[Machine];
  replaceAll(Text, "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", ZoneRegions);
  const std::pair<std::string, std::string> Values[] = {
      {"node", Given.Node},
      {"zone", Given.Zone},
      {"region", Regions[Machine % 3]},
      {"ip", at(Machine, 0).Ip},
      {"internal_ports.0", std::to_string(InternalPort)},
      {"internal_ports.1", std::to_string(ProxyPort)},
      {"listen.control", Given.Control.text()},
      {"listen.ready", Given.Ready.text()},
      {"listen.front", Given.Front.text()},
      {"data_dir", Folder + "/" + Given.Node},
      {"seeds", Seeds},
      {"fault_tolerance.machines", "1"},
      {"bootstrap", Bootstrap ? "true" : "false"},
      {"cloud.addr", endpoint{Network + "200", PlatformPort}.text()},
      {"bounds.grace_s", "6"},
      {"limits.memory_mb", "260"},
      {"limits.max_fds", "4200"},
  };
  for (const auto &[Name, Value] : Values)
    replaceAll(Text, "{{" + Name + "}}", Value);
  std::uint16_t Port = IsControl ? InternalPort : ProxyPort;
  if (Options.UsesRelays)
    Text += "internal-listen=\"" + at(Machine, Port + RelayedOffset).text() +
            "\"\n";
  return Text;
}

int deployment::spawn(const std::string &Name,
                      const std::string &SettingsFile) {
  std::string Command =
      runCommand(Name.ends_with("control") ? "control" : "proxy");
  std::string Log = Folder + "/" + Name + ".log";
  std::string Variable = "TEASELLOCK_CONFIG=" + SettingsFile;
  std::string Path = "PATH=" + environment("PATH", "/usr/bin:/bin");
  std::string Home = "HOME=" + environment("HOME", "/tmp");
  char *Arguments[] = {Command.data(), nullptr};
  char *Variables[] = {Variable.data(), Path.data(), Home.data(), nullptr};
  int Pid = ::fork();
  if (Pid > 0) {
    Record.write("process " + Name + " starts, pid " + std::to_string(Pid));
    return Pid;
  }
  // The process ends with this one, whatever ends it.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  int Out = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Out, STDOUT_FILENO);
  ::dup2(Out, STDERR_FILENO);
  ::execve(Command.c_str(), Arguments, Variables);
  ::_exit(127);
}

void deployment::startProxy(std::size_t Machine) {
  std::string File = Folder + "/" + Machines[Machine].Node + ".proxy.settings";
  std::ofstream(File) << render("deploy/proxy.settings", Machine, false, false);
  Machines[Machine].ProxyPid = spawn(Machines[Machine].Node + ".proxy", File);
}

void deployment::startControl(std::size_t Machine, bool Bootstrap) {
  ::mkdir((Folder + "/" + Machines[Machine].Node).c_str(), 0755);
  std::string File =
      Folder + "/" + Machines[Machine].Node + ".control.settings";
  std::ofstream(File) << render("deploy/control.settings", Machine, Bootstrap,
                                true);
  Machines[Machine].ControlPid =
      spawn(Machines[Machine].Node + ".control", File);
}

bool deployment::areRunning() {
  for (const auto &Machine : Machines)
    for (int Pid : {Machine.ProxyPid, Machine.ControlPid})
      if (Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) != 0)
        return false;
  return true;
}

std::string deployment::processIds() {
  std::string Ids;
  for (const auto &Machine : Machines)
    Ids += std::to_string(Machine.ProxyPid) + " " +
           std::to_string(Machine.ControlPid) + " ";
  return Ids;
}

void deployment::stop() {
  if (Stopping.exchange(true))
    return;
  for (auto &Machine : Machines)
    for (int *Pid : {&Machine.ProxyPid, &Machine.ControlPid})
      if (*Pid > 0) {
        ::kill(*Pid, SIGCONT);
        ::kill(*Pid, SIGKILL);
        ::waitpid(*Pid, nullptr, 0);
        *Pid = 0;
      }
  ::shutdown(PlatformListener, SHUT_RDWR);
  for (auto &Thread : Threads)
    Thread.join();
  Threads.clear();
}

//===----------------------------------------------------------------------===//
// Relays in front of the control processes
//===----------------------------------------------------------------------===//

std::size_t deployment::machineOf(int Pid) const {
  for (std::size_t Index = 0; Index < Machines.size(); ++Index)
    if (Machines[Index].ProxyPid == Pid || Machines[Index].ControlPid == Pid)
      return Index;
  return Machines.size();
}

bool deployment::isCut(const relayed &Pair) {
  std::lock_guard Lock(Mutex);
  return Pair.From != Pair.To &&
         (CutMachines.contains(Pair.From) || CutMachines.contains(Pair.To));
}

/// Forwards bytes in one direction, each after the delay between the regions.
void deployment::forward(const std::shared_ptr<relayed> &Pair, int From,
                         int To) {
  bool Crosses = Pair->From < Machines.size() &&
                 std::string(Regions[Pair->From % 3]) != Regions[Pair->To % 3];
  milliseconds Delay = Crosses ? Options.RegionDelay : milliseconds(0);
  struct delayed {
    steady::time_point At;
    std::string Bytes;
  };
  std::list<delayed> Queue;
  std::mutex QueueMutex;
  std::condition_variable Filled;
  bool Ended = false;
  std::thread Sender([&] {
    std::unique_lock Lock(QueueMutex);
    for (;;) {
      Filled.wait(Lock, [&] { return Ended || !Queue.empty(); });
      if (Queue.empty())
        return;
      delayed Next = std::move(Queue.front());
      Queue.pop_front();
      Lock.unlock();
      std::this_thread::sleep_until(Next.At);
      // A connection that has lost bytes stays silent.
      Pair->IsDead = Pair->IsDead || isCut(*Pair);
      if (!Pair->IsDead)
        sendAll(To, Next.Bytes);
      Lock.lock();
    }
  });
  char Bytes[65536];
  for (;;) {
    ssize_t Count = ::recv(From, Bytes, sizeof(Bytes), 0);
    std::lock_guard Lock(QueueMutex);
    Ended = Count <= 0;
    if (!Ended)
      Queue.push_back({steady::now() + Delay,
                       std::string(Bytes, static_cast<std::size_t>(Count))});
    Filled.notify_one();
    if (Ended)
      break;
  }
  Sender.join();
  // The end of a connection does not pass a cut either.
  if (!Pair->IsDead && !isCut(*Pair))
    ::shutdown(To, SHUT_RDWR);
}

void deployment::startRelay(std::size_t Machine, std::uint16_t Port) {
  int Listener = listenOn(at(Machine, Port));
  std::thread([this, Machine, Port, Listener] {
    for (;;) {
      int Client = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Client < 0)
        return;
      auto Pair = std::make_shared<relayed>();
      Pair->Client = Client;
      Pair->From = machineOf(findPeerProcess(Client, processIds()));
      Pair->To = Machine;
      Pair->Server =
          connectTo(at(Machine, Port + RelayedOffset), milliseconds(500));
      if (Pair->Server < 0) {
        ::close(Client);
        continue;
      }
      std::thread([this, Pair] {
        forward(Pair, Pair->Client, Pair->Server);
      }).detach();
      std::thread([this, Pair] {
        forward(Pair, Pair->Server, Pair->Client);
      }).detach();
    }
  }).detach();
}

void deployment::cutOff(std::size_t Machine, bool Cut) {
  std::lock_guard Lock(Mutex);
  Record.write("machine " + Machines[Machine].Node +
               (Cut ? " is cut off from all machines of the system"
                    : " reaches the other machines again"));
  if (Cut)
    CutMachines.insert(Machine);
  else
    CutMachines.erase(Machine);
}

std::size_t
deployment::findFollower(const std::vector<std::size_t> &Candidates) {
  for (std::size_t Index : Candidates) {
    auto Answer = callHttp(Machines[Index].Control, "GET", "/v1/control/status",
                           "", milliseconds(1000));
    if (Answer && Answer->Body.find("\"leader\"") != std::string::npos &&
        Answer->Body.find("\"role\":\"leader\"") == std::string::npos)
      return Index;
  }
  return Candidates.front();
}

//===----------------------------------------------------------------------===//
// Platform, heartbeats, operator
//===----------------------------------------------------------------------===//

void deployment::servePlatform() {
  for (;;) {
    int Socket = ::accept4(PlatformListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (Socket < 0)
      return;
    std::thread([this, Socket] {
      line_reader Reader(Socket);
      std::uint64_t Token = 0;
      std::size_t Length = 0;
      std::string Holder;
      while (auto Line = Reader.next(milliseconds(1000))) {
        if (Line->empty())
          break;
        std::string Lower = *Line;
        for (char &Char : Lower)
          Char = static_cast<char>(std::tolower(Char));
        auto Value = [&](const std::string &Name) {
          return Lower.starts_with(Name) ? Line->substr(Name.size()) : "";
        };
        if (auto Text = Value("x-teasellock-fencing-token: "); !Text.empty())
          Token = std::stoull(Text);
        if (auto Text = Value("x-teasellock-duty-holder: "); !Text.empty())
          Holder = Text;
        if (auto Text = Value("content-length: "); !Text.empty())
          Length = std::stoul(Text);
      }
      std::string Body = Reader.take(Length, milliseconds(1000));
      std::size_t At = Body.find("\"id\":\"");
      std::string Id =
          At == std::string::npos
              ? ""
              : Body.substr(At + 6, Body.find('"', At + 6) - At - 6);
      int Status = Group.promote(Id, Token);
      Record.write("platform: " + Holder + " promotes " + Id +
                   " with fencing token " + std::to_string(Token) + " -> " +
                   std::to_string(Status) +
                   (PlatformAnswers ? "" : ", the answer is lost"));
      if (PlatformAnswers)
        sendAll(Socket, "HTTP/1.1 " + std::to_string(Status) +
                            " Status\r\nContent-Length: 0\r\nConnection: "
                            "close\r\n\r\n");
      else
        std::this_thread::sleep_for(milliseconds(1500));
      ::close(Socket);
    }).detach();
  }
}

void deployment::sendHeartbeats(const std::string &Id, std::size_t Next) {
  std::string LastState;
  auto LastSentAt = steady::time_point();
  while (!Stopping) {
    std::this_thread::sleep_for(milliseconds(10));
    if (!Group.isRunning(Id)) {
      LastState.clear();
      continue;
    }
    std::string Body = Group.heartbeatOf(Id);
    // Without the sequence: a change is reported immediately.
    std::string State = Body.substr(0, Body.find("\"sequence\"")) +
                        Body.substr(Body.find("\"born\""));
    if (State == LastState && steady::now() - LastSentAt < Options.Heartbeat)
      continue;
    for (std::size_t Try = 0; Try < Options.Machines && !Stopping; ++Try) {
      auto Answer =
          callHttp(at(Next % Options.Machines, ControlPort), "POST",
                   "/Instances.Heartbeat/" + Id, Body, milliseconds(1000));
      bool IsAcknowledged =
          Answer && Answer->Status >= 200 && Answer->Status < 300;
      if (!IsAcknowledged && Body.find("\"sequence\":1,") != Body.npos)
        Record.write("heartbeat of " + Id + " gets no 2xx within a second");
      if (State != LastState && IsAcknowledged)
        Record.write("heartbeat of " + Id + " " + Body + " -> 200");
      if (IsAcknowledged) {
        LastState = State;
        break;
      }
      ++Next;
      std::this_thread::sleep_for(milliseconds(20));
    }
    LastSentAt = steady::now();
  }
}

void deployment::addBackend(std::size_t Machine, const std::string &Id,
                            std::optional<std::size_t> FirstControl) {
  Group.add(Id, {Network + std::to_string(100 + Machine), BackendPort},
            Zones[Machine % 3]);
  std::size_t First = FirstControl.value_or(std::hash<std::string>()(Id));
  Threads.emplace_back([this, Id, First] { sendHeartbeats(Id, First); });
}

void deployment::freeze(std::size_t Machine, bool Frozen) {
  Record.write("machine " + Machines[Machine].Node +
               (Frozen ? " freezes" : " wakes"));
  for (int Pid : {Machines[Machine].ProxyPid, Machines[Machine].ControlPid})
    if (Pid > 0)
      ::kill(Pid, Frozen ? SIGSTOP : SIGCONT);
}

std::set<int> deployment::processesAt(const std::string &Id) {
  std::set<int> Pids;
  std::string Known = processIds();
  Group.forEachSocket(
      Id, [&](int Socket) { Pids.insert(findPeerProcess(Socket, Known)); });
  Pids.erase(0);
  return Pids;
}

std::string deployment::configuration() const {
  std::ostringstream Body;
  Body << "{\"version\":7,\"routes\":[";
  const char *Separator = "";
  for (const char *Kind :
       {"primary", "read_your_writes", "bounded_staleness"}) {
    Body << Separator << "{\"name\":\"r-" << Kind << "\",\"host\":\""
         << database(Kind) << "\",\"path_prefix\":\"/\",\"route_kind\":\""
         << Kind << "\",\"timeout_ms\":" << Options.StatementTimeoutMs
         << ",\"target_latency_ms\":400,\"priority\":1,\"service\":\""
         << Options.Service
         << "\",\"max_attempts\":2,\"max_staleness_ms\":1500}";
    Separator = ",";
  }
  Body << "],\"services\":[{\"name\":\"" << Options.Service
       << "\",\"health_path\":\"/health\",\"max_conns\":"
       << Options.Group.MaxConnections
       << ",\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}],"
          "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
          "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
          "\"tx_idle_ms\":3000}}";
  return Body.str();
}

bool deployment::putConfiguration() {
  for (int Try = 0; Try < 60; ++Try) {
    std::size_t Machine = static_cast<std::size_t>(Try) % Options.Machines;
    auto Answer = callHttp(at(Machine, ControlPort), "POST", "/Config.Put",
                           configuration(), milliseconds(1000));
    if (Answer && Answer->Status == 200) {
      Record.write("configuration acknowledged");
      return true;
    }
    std::this_thread::sleep_for(milliseconds(300));
  }
  return false;
}

std::string deployment::newId() {
  static std::mt19937_64 Random{std::random_device()()};
  std::lock_guard Lock(Mutex);
  std::ostringstream Text;
  Text << std::hex << (Random() >> 16) << std::dec << "w" << ++LastId;
  return Text.str();
}

bool deployment::start() {
  Threads.emplace_back([this] { servePlatform(); });
  for (std::size_t Index = 0; Index < Machines.size(); ++Index) {
    if (Options.UsesRelays)
      startRelay(Index, ProxyPort);
    if (Options.UsesRelays && Machines[Index].HasDisk)
      startRelay(Index, InternalPort);
    if (Machines[Index].HasDisk)
      startControl(Index, true);
    startProxy(Index);
  }
  for (std::size_t Index = 0; Index < 3; ++Index) {
    std::size_t Machine = (Options.FirstBackend + Index) % 3;
    addBackend(Machine, "i-" + std::to_string(Index + 1) + Options.Service);
  }
  if (!putConfiguration())
    return false;
  auto End = steady::now() + std::chrono::seconds(20);
  while (steady::now() < End) {
    std::size_t Served = 0;
    for (const auto &Machine : Machines) {
      client Client(Record, Machine.Front, database("primary"));
      Served += Client.query(newId(), "WRITE 0 warm").isSuccess();
    }
    if (Served == Machines.size())
      return true;
    std::this_thread::sleep_for(milliseconds(300));
  }
  return false;
}

} // namespace review
