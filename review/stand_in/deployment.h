/// A small deployment on loopback: the project's processes with the commands
/// and settings templates of the deploy file, the platform and the operator.
#pragma once

#include "service.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// A machine: both roles of the deploy file run on it.
struct machine {
  std::string Node;
  std::string Zone;
  std::string Ip;
  bool HasDisk = true;
  pid_t ControlProcess = -1;
  pid_t ProxyProcess = -1;
};

struct deployment_settings {
  /// The settings of the machines with a disk, then those without.
  int MachinesWithDisk = 3;
  int MachinesWithoutDisk = 0;
  /// Zone and region, in the order of the machines.
  std::vector<std::pair<std::string, std::string>> Zones = {
      {"zocalo", "centro-historico"},
      {"mercado", "centro-historico"},
      {"malecon", "costera"}};
  int MaxConnections = 24;
  int TxIdleMs = 3000;
  int TimeoutMs = 800;
};

/// A route of the configuration.
struct route_settings {
  std::string Host;
  std::string Kind;
  std::string Service;
  int MaxStalenessMs = 0;
};

/// How the platform answers calls to promote.
struct platform_state {
  std::mutex Mutex;
  std::map<std::string, std::uint64_t> HighestTokens;
};

class deployment {
public:
  static constexpr int ControlPort = 8782;
  static constexpr int ReadyPort = 8785;
  static constexpr int FrontPort = 8784;
  static constexpr int PlatformPort = 8783;
  static constexpr int BackendPort = 8080;
  static constexpr int InternalPort = 7440;

  deployment(run_record &Record, deployment_settings Given, std::string Folder)
      : Record(Record), Settings(std::move(Given)), Folder(std::move(Folder)) {
    chooseNetwork();
    int Count = Settings.MachinesWithDisk + Settings.MachinesWithoutDisk;
    for (int Number = 0; Number < Count; ++Number) {
      machine Machine;
      Machine.Zone =
          Settings
              .Zones[static_cast<std::size_t>(Number) % Settings.Zones.size()]
              .first;
      Machine.Node = "front-" + Machine.Zone + "-" + std::to_string(Number + 1);
      Machine.Ip = ip(Number + 1);
      Machine.HasDisk = Number < Settings.MachinesWithDisk;
      Machines.push_back(Machine);
    }
  }
  ~deployment() { stop(); }

  std::string ip(int Number) const {
    return Network + "." + std::to_string(Number);
  }

  std::vector<address> controlAddresses() const {
    std::vector<address> Result;
    for (const auto &Machine : Machines)
      if (Machine.HasDisk)
        Result.push_back({Machine.Ip, ControlPort});
    return Result;
  }

  address front(std::size_t Index) const {
    return {Machines[Index].Ip, FrontPort};
  }

  /// Starts the platform and all processes.
  bool start(const std::vector<service *> &Given) {
    Services = Given;
    PlatformListener = listenOn(platformAddress());
    if (PlatformListener < 0)
      return false;
    std::thread([this] { servePlatform(); }).detach();
    for (std::size_t Index = 0; Index < Machines.size(); ++Index) {
      if (Machines[Index].HasDisk)
        startControl(Index, true);
      startProxy(Index, true);
    }
    return true;
  }

  void startControl(std::size_t Index, bool Bootstrap) {
    Machines[Index].ControlProcess = startRole(Index, "control", Bootstrap);
  }
  void startProxy(std::size_t Index, bool Bootstrap) {
    Machines[Index].ProxyProcess = startRole(Index, "proxy", Bootstrap);
  }

  void stop() {
    for (auto &Machine : Machines) {
      end(Machine.ProxyProcess, SIGKILL);
      end(Machine.ControlProcess, SIGKILL);
    }
    if (PlatformListener >= 0) {
      ::shutdown(PlatformListener, SHUT_RDWR);
      ::close(PlatformListener);
      PlatformListener = -1;
    }
  }

  /// Sends a signal to a process and waits until it has ended.
  void end(pid_t &Process, int Signal) {
    if (Process <= 0)
      return;
    ::kill(Process, Signal);
    ::waitpid(Process, nullptr, 0);
    Process = -1;
  }

  /// Sends a configuration until it is acknowledged.
  bool configure(int Version, const std::vector<route_settings> &Routes,
                 int TimeoutMs) {
    std::string Body = configuration(Version, Routes);
    auto Until = clock_type::now() + std::chrono::milliseconds(TimeoutMs);
    auto Addresses = controlAddresses();
    for (std::size_t Next = 0; clock_type::now() < Until; ++Next) {
      auto Response = callHttp(Addresses[Next % Addresses.size()], "POST",
                               "/Config.Put", Body, 1000);
      if (Response && Response->status() == 200) {
        Record.write("configuration " + std::to_string(Version) +
                     " is acknowledged");
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    return false;
  }

  /// Waits until every proxy reports that it is ready.
  bool waitUntilReady(int TimeoutMs) {
    auto Until = clock_type::now() + std::chrono::milliseconds(TimeoutMs);
    for (const auto &Machine : Machines)
      for (;;) {
        auto Response =
            callHttp({Machine.Ip, ReadyPort}, "GET", "/ready", "", 1000);
        if (Response && Response->status() == 200)
          break;
        if (clock_type::now() >= Until)
          return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
      }
    Record.write("all machines are ready");
    return true;
  }

  /// Called when the platform has received a call to promote.
  std::function<void(const std::string &Service, const std::string &Id)>
      OnPromoteCall;

  std::vector<machine> Machines;

private:
  /// Chooses a network whose addresses nobody listens on.
  void chooseNetwork() {
    unsigned Start = static_cast<unsigned>(::getpid());
    for (unsigned Try = 0; Try < 200; ++Try) {
      unsigned Number = Start + Try * 7919;
      Network = "127." + std::to_string(20 + Number % 200) + "." +
                std::to_string(1 + Number / 200 % 250);
      int Socket = listenOn({Network + ".1", ControlPort});
      if (Socket < 0)
        continue;
      ::close(Socket);
      return;
    }
  }

  address platformAddress() const { return {Network + ".250", PlatformPort}; }

  /// The run command of a role, from the deploy file.
  static std::vector<std::string> commandOf(const std::string &Role) {
    std::ifstream In("deploy/system.toml");
    bool InRole = false;
    for (std::string Line; std::getline(In, Line);) {
      if (Line.starts_with("["))
        InRole = Line == "[roles." + Role + "]";
      if (!InRole || !Line.starts_with("run"))
        continue;
      std::size_t From = Line.find('"') + 1;
      std::istringstream Words(Line.substr(From, Line.rfind('"') - From));
      std::vector<std::string> Result;
      for (std::string Word; Words >> Word;)
        Result.push_back(Word);
      return Result;
    }
    return {};
  }

  std::string valueOf(const machine &Machine, const std::string &Key,
                      bool Bootstrap, const std::string &Role) const {
    if (Key == "node")
      return Machine.Node;
    if (Key == "zone")
      return Machine.Zone;
    if (Key == "region")
      for (const auto &[Zone, Region] : Settings.Zones)
        if (Zone == Machine.Zone)
          return Region;
    if (Key == "ip")
      return Machine.Ip;
    if (Key == "internal_ports.0")
      return std::to_string(InternalPort);
    if (Key == "internal_ports.1")
      return std::to_string(InternalPort + 1);
    if (Key == "listen.control")
      return address{Machine.Ip, ControlPort}.text();
    if (Key == "listen.ready")
      return address{Machine.Ip, ReadyPort}.text();
    if (Key == "listen.front")
      return address{Machine.Ip, FrontPort}.text();
    if (Key == "data_dir")
      return Folder + "/" + Machine.Node + "-" + Role + "-data";
    if (Key == "seeds") {
      std::string Text;
      for (const auto &Seed : controlAddresses())
        Text += (Text.empty() ? "" : ",") + Seed.text();
      return Text;
    }
    if (Key == "fault_tolerance.machines")
      return "1";
    if (Key == "bootstrap")
      return Bootstrap ? "true" : "false";
    if (Key == "cloud.addr")
      return platformAddress().text();
    if (Key == "bounds.grace_s")
      return "6";
    return "";
  }

  /// Renders a settings template of the deploy file.
  std::string render(std::string Text, const machine &Machine, bool Bootstrap,
                     const std::string &Role) const {
    const std::string Open = "{{#zones}}";
    const std::string Close = "{{/zones}}";
    if (std::size_t At = Text.find(Open); At != std::string::npos) {
      std::size_t End = Text.find(Close);
      std::string Zones;
      for (const auto &[Zone, Region] : Settings.Zones)
        Zones += (Zones.empty() ? "" : ",") + Zone + "=" + Region;
      Text.replace(At, End + Close.size() - At, Zones);
    }
    for (std::size_t At = 0; (At = Text.find("{{", At)) != std::string::npos;) {
      std::size_t End = Text.find("}}", At);
      std::string Key = Text.substr(At + 2, End - At - 2);
      std::string Value = valueOf(Machine, Key, Bootstrap, Role);
      Text.replace(At, End + 2 - At, Value);
      At += Value.size();
    }
    return Text;
  }

  pid_t startRole(std::size_t Index, const std::string &Role, bool Bootstrap) {
    const auto &Machine = Machines[Index];
    std::ifstream Template("deploy/" + Role + ".settings");
    std::stringstream Text;
    Text << Template.rdbuf();
    std::string Name = Folder + "/" + Machine.Node + "-" + Role;
    std::filesystem::create_directories(Name + "-data");
    std::ofstream(Name + ".settings")
        << render(Text.str(), Machine, Bootstrap, Role);
    auto Command = commandOf(Role);
    std::vector<char *> Arguments;
    for (auto &Word : Command)
      Arguments.push_back(Word.data());
    Arguments.push_back(nullptr);
    std::string Variable = "TEASELLOCK_CONFIG=" + Name + ".settings";
    std::string Path = "PATH=/usr/bin:/bin";
    char *Environment[] = {Variable.data(), Path.data(), nullptr};
    std::string Log = Name + ".log";
    int Output =
        ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_t Child = ::fork();
    if (Child == 0) {
      // The process ends with this one, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(Output, 1);
      ::dup2(Output, 2);
      ::execve(Arguments[0], Arguments.data(), Environment);
      ::_exit(127);
    }
    ::close(Output);
    Record.write("starts " + Machine.Node + " " + Role);
    return Child;
  }

  std::string configuration(int Version,
                            const std::vector<route_settings> &Routes) const {
    std::string Text =
        "{\"version\":" + std::to_string(Version) + ",\"routes\":[";
    for (std::size_t Index = 0; Index < Routes.size(); ++Index) {
      const auto &Route = Routes[Index];
      Text += (Index ? "," : "") + std::string("{\"name\":\"r-") + Route.Host +
              "\",\"host\":\"" + Route.Host +
              "\",\"path_prefix\":\"/\",\"route_kind\":\"" + Route.Kind +
              "\",\"timeout_ms\":" + std::to_string(Settings.TimeoutMs) +
              ",\"target_latency_ms\":800,\"priority\":1,\"service\":\"" +
              Route.Service + "\",\"max_attempts\":2";
      if (Route.MaxStalenessMs > 0)
        Text += ",\"max_staleness_ms\":" + std::to_string(Route.MaxStalenessMs);
      Text += "}";
    }
    Text += "],\"services\":[";
    for (std::size_t Index = 0; Index < Services.size(); ++Index)
      Text += (Index ? "," : "") + std::string("{\"name\":\"") +
              Services[Index]->name() +
              "\",\"health_path\":\"/health\",\"max_conns\":" +
              std::to_string(Settings.MaxConnections) +
              ",\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}";
    return Text +
           "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
           "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
           "\"tx_idle_ms\":" +
           std::to_string(Settings.TxIdleMs) + "}}";
  }

  void servePlatform() {
    for (;;) {
      int Socket = ::accept4(PlatformListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Socket < 0)
        return;
      std::thread([this, Socket] {
        socket_reader Reader(Socket);
        if (auto Request = readHttp(Reader, 5000)) {
          int Status = promote(*Request);
          sendAll(Socket, "HTTP/1.1 " + std::to_string(Status) +
                              " Status\r\nContent-Length: 0\r\n"
                              "Connection: close\r\n\r\n");
        }
        ::close(Socket);
      }).detach();
    }
  }

  static std::string textField(const std::string &Body,
                               const std::string &Name) {
    std::size_t At = Body.find("\"" + Name + "\"");
    if (At == std::string::npos)
      return "";
    std::size_t From = Body.find('"', Body.find(':', At)) + 1;
    return Body.substr(From, Body.find('"', From) - From);
  }

  int promote(const http_message &Request) {
    std::string Service = textField(Request.Body, "service");
    std::string Id = textField(Request.Body, "id");
    std::string Holder = Request.header("x-teasellock-duty-holder");
    std::string Token = Request.header("x-teasellock-fencing-token");
    int Status = 409;
    {
      std::lock_guard Lock(Platform.Mutex);
      auto &Highest = Platform.HighestTokens[Service];
      std::uint64_t Number = std::stoull(Token);
      if (Number >= Highest) {
        Highest = Number;
        for (auto *Known : Services)
          if (Known->name() == Service && Known->promote(Id))
            Status = 200;
      }
    }
    Record.write("platform: promote " + Id + " by " + Holder + " token " +
                 Token + " -> " + std::to_string(Status));
    if (OnPromoteCall)
      OnPromoteCall(Service, Id);
    return Status;
  }

  run_record &Record;
  deployment_settings Settings;
  std::string Folder;
  std::string Network;
  std::vector<service *> Services;
  int PlatformListener = -1;
  platform_state Platform;
};

} // namespace review
