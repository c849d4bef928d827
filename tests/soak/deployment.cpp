#include "tests/soak/deployment.h"

#include "core/error.h"
#include "core/event_log.h"
#include "modules/limits/limiter_slot.h"

#include <filesystem>
#include <nlohmann/json.hpp>

namespace teasellock::soak {

namespace {

using nlohmann::json;

constexpr std::uint16_t InternalPort = 7440;
constexpr std::uint16_t RelayPort = 7441;
constexpr std::uint16_t HttpPort = 7442;
constexpr std::uint16_t CallerPort = 7443;
constexpr std::uint16_t UpstreamPort = 7450;
constexpr std::uint16_t PlatformPort = 7460;
constexpr duration AnnouncementPeriod = std::chrono::milliseconds(400);
constexpr duration OperatorPeriod = std::chrono::milliseconds(500);
/// Maximum delay of a promotion whose request gets no reply.
constexpr std::int64_t MaxPromotionDelayMs = 4000;
constexpr std::size_t FirstControl = 1;
constexpr std::size_t FirstEntry = 50;
constexpr std::size_t PlatformNumber = 250;
constexpr std::size_t FirstGroup = 200;
constexpr const char *PublicSuffix = "-public";
constexpr int HttpOk = 200;
constexpr int HttpConflict = 409;

const char *zoneOf(std::size_t Number) {
  constexpr const char *Zones[] = {"zocalo", "mercado", "malecon"};
  return Zones[Number % 3];
}

std::string groupName(std::size_t Index) {
  return "despacho" + std::to_string(Index + 1);
}

json routeJson(const std::string &Service, const std::string &Suffix,
               const std::string &Kind, std::uint64_t TimeoutMs) {
  return {{"name", Service + Suffix},
          {"host", Service + Suffix},
          {"path_prefix", "/"},
          {"route_kind", Kind},
          {"timeout_ms", TimeoutMs},
          {"target_latency_ms", 400},
          {"priority", 1},
          {"service", Service},
          {"max_attempts", 2},
          {"max_staleness_ms", 1500}};
}

} // namespace

soak_deployment::soak_deployment(daemon_context &Context, oracle &Oracle,
                                 deployment_options Given)
    : Context(Context), Oracle(Oracle), Options(std::move(Given)),
      Random(Options.Seed), ReportedVersions(Options.Controls) {
  startPlatform();
  if (Options.HasOrganisations) {
    Roster = std::make_unique<organisation_roster>(Options.Seed);
    OrganisationOracle =
        std::make_unique<organisation_oracle>(Oracle, Roster->organisations());
  }
  for (std::size_t Index = 0; Index < Options.Groups; ++Index) {
    group_settings Settings;
    if (OrganisationOracle) {
      Settings.OnLine = [this](const std::string &Line) {
        OrganisationOracle->checkText(Line, "a line to an upstream");
      };
      Settings.OnExecution = [this](const std::string &Id,
                                    const std::string &User) {
        OrganisationOracle->checkExecution(Id, User,
                                           this->Context.Timers.now());
      };
    }
    Settings.Group = group_id(groupName(Index));
    Settings.Address = {address(FirstGroup + Index), UpstreamPort};
    Groups.push_back(std::make_unique<upstream_group>(
        Context.Loop, Context.Timers, Oracle, std::move(Settings)));
  }
  startVms();
  AnnouncementTimer =
      Context.Timers.every(AnnouncementPeriod, [this] { announce(); });
  OperatorTimer =
      Context.Timers.every(OperatorPeriod, [this] { sendDeployment(); });
}

soak_deployment::~soak_deployment() = default;

std::string soak_deployment::address(std::size_t Number) const {
  return "127." + std::to_string(Options.Network / 250 + 1) + "." +
         std::to_string(Options.Network % 250 + 1) + "." +
         std::to_string(Number);
}

endpoint soak_deployment::callerEndpoint(std::size_t Entry) const {
  return {Entries.at(Entry).Address, CallerPort};
}

endpoint soak_deployment::httpEndpoint(std::size_t Entry) const {
  return {Entries.at(Entry).Address, HttpPort};
}

//===----------------------------------------------------------------------===//
// Processes
//===----------------------------------------------------------------------===//

void soak_deployment::startVms() {
  for (std::size_t Index = 0; Index < Options.Controls; ++Index) {
    std::string Seed = address(FirstControl + Index);
    ControlSeeds += (ControlSeeds.empty() ? "" : ",") + Seed + ":" +
                    std::to_string(HttpPort);
  }
  for (std::size_t Index = 0; Index < Options.Controls; ++Index)
    Controls.push_back(makeVm("control-" + std::to_string(Index + 1),
                              FirstControl + Index, true));
  for (std::size_t Index = 0; Index < Options.Entries; ++Index)
    Entries.push_back(makeVm("entry-" + std::to_string(Index + 1),
                             FirstEntry + Index, false));
}

soak_vm soak_deployment::makeVm(const std::string &Name, std::size_t Number,
                                bool Control) {
  soak_vm Vm;
  Vm.Address = address(Number);
  auto At = [&](std::uint16_t Port) { return endpoint{Vm.Address, Port}; };
  Vm.Relay = std::make_unique<relay>(Context.Loop, Context.Timers,
                                     At(RelayPort), At(InternalPort));
  process_options Process;
  Process.Name = Name;
  Process.Program = Options.Program;
  Process.LogFile = Options.Folder + "/" + Name + ".log";
  auto &Arguments = Process.Arguments;
  auto Add = [&](const std::string &Flag, const std::string &Value) {
    Arguments.push_back("--" + Flag);
    Arguments.push_back(Value);
  };
  Add("vm", Name);
  Add("availability-zone", zoneOf(Number));
  Add("region", "centro");
  Add("internal", toString(At(RelayPort)));
  Add("internal-listen", toString(At(InternalPort)));
  Add("http", toString(At(HttpPort)));
  Add("seeds", ControlSeeds);
  Add("control-port", std::to_string(RelayPort));
  Add("protocol", "line");
  Add("platform", address(PlatformNumber) + ":" + std::to_string(PlatformPort));
  Add("holder", Name);
  Add("grace-s", "3");
  if (Control) {
    Vm.DataFolder = Options.Folder + "/" + Name;
    std::filesystem::create_directories(Vm.DataFolder);
    Add("data-folder", Vm.DataFolder);
    Add("gateway", "off");
    Process.FirstStartArguments = {"--bootstrap", "true"};
    Add("tolerated-losses", "1");
    Add("election-ms", "300");
  } else {
    Add("callers", toString(At(CallerPort)));
    if (!Options.EntrySettings.empty())
      Add("settings", Options.EntrySettings);
  }
  Vm.Process = std::make_unique<vm_process>(Context.Timers, std::move(Process));
  return Vm;
}

//===----------------------------------------------------------------------===//
// The platform
//===----------------------------------------------------------------------===//

void soak_deployment::startPlatform() {
  Platform = std::make_unique<http_responder>(
      Context.Loop, endpoint{address(PlatformNumber), PlatformPort},
      [this](const http_message &Request) {
        return handlePromotionRequest(Request);
      });
}

std::optional<int>
soak_deployment::handlePromotionRequest(const http_message &Request) {
  auto Body = json::parse(Request.Body);
  std::string Service = Body.at("service");
  std::string Id = Body.at("id");
  std::string Holder = Request.Headers.at("x-teasellock-duty-holder");
  std::uint64_t Token =
      std::stoull(Request.Headers.at("x-teasellock-fencing-token"));
  Oracle.checkPromotionRequest(group_id(Service), Holder, Token);
  auto CarryOut = [this, Service, Id, Token] {
    auto &Newest = HighestTokens[Service];
    if (Token < Newest)
      return HttpConflict;
    Newest = Token;
    for (std::size_t Index = 0; Index < Groups.size(); ++Index)
      if (groupName(Index) == Service)
        return Groups[Index]->promote(Id) ? HttpOk : HttpConflict;
    return HttpConflict;
  };
  if (!std::bernoulli_distribution(PromotionLossProbability)(Random))
    return CarryOut();
  auto Late =
      std::uniform_int_distribution<std::int64_t>(0, MaxPromotionDelayMs);
  DelayedPromotions.push_back(
      Context.Timers.after(fromMilliseconds(Late(Random)), CarryOut));
  return std::nullopt;
}

void soak_deployment::announce() {
  for (std::size_t Index = 0; Index < Groups.size(); ++Index)
    for (std::size_t Upstream = 0; Upstream < Groups[Index]->size(); ++Upstream)
      announce(*Groups[Index], Upstream, groupName(Index));
}

void soak_deployment::announce(const upstream_group &Group,
                               std::size_t Upstream,
                               const std::string &Service) {
  auto Status = Group.statusOf(Upstream);
  if (!Status.IsRunning)
    return;
  json Body = {{"service", Service},
               {"addr", toString(Status.Address)},
               {"zone", zoneOf(Upstream)},
               {"version", "v1"},
               {"capacity", 3},
               {"lifecycle", Status.IsLeaving ? "draining" : "ready"},
               {"cold_remaining_ms", 0},
               {"db_role", Status.IsPrimary ? "primary" : "replica"},
               {"born", Status.Incarnation},
               {"sequence", ++Sequence}};
  const auto &Control = Controls[Random() % Controls.size()];
  call({Control.Address, HttpPort}, "POST", "/Instances.Heartbeat/" + Status.Id,
       Body.dump(), [](const std::optional<http_message> &) {});
}

//===----------------------------------------------------------------------===//
// The operator
//===----------------------------------------------------------------------===//

std::string soak_deployment::deploymentText(std::uint64_t Version) const {
  constexpr const char *Kinds[] = {"primary", "read_your_writes",
                                   "bounded_staleness"};
  json Routes = json::array();
  json Services = json::array();
  for (std::size_t Index = 0; Index < Options.Groups; ++Index) {
    std::string Service = groupName(Index);
    Services.push_back({{"name", Service},
                        {"health_path", "/health"},
                        {"max_conns", 24},
                        {"protocol", "h1"},
                        {"tls", false},
                        {"sync_replicas", 1}});
    for (const auto *Kind : Kinds)
      Routes.push_back(routeJson(Service, "-" + std::string(Kind), Kind,
                                 1500 + Version % 100));
    if (Roster) {
      Routes.push_back(
          routeJson(Service, PublicSuffix, Kinds[0], 1500 + Version % 100));
      Routes.back()["public"] = true;
    }
  }
  json Limits = {{"max_header_bytes", 16384},
                 {"max_body_bytes", 262144},
                 {"header_timeout_ms", 3000},
                 {"idle_timeout_ms", 15000},
                 {"tx_idle_ms", 3000}};
  json Document = {{"version", Version},
                   {"routes", Routes},
                   {"services", Services},
                   {"limits", Limits}};
  if (Roster)
    Document["tenants"] =
        tenantsJson(Roster->organisations(), Roster->holders());
  return Document.dump();
}

/// Records a version that is sent for the first time.
void soak_deployment::recordVersion() {
  if (Version > std::exchange(SentVersion, Version) && OrganisationOracle)
    OrganisationOracle->recordVersion(Version, Roster->holders(),
                                      Context.Timers.now());
}

void soak_deployment::changeDeployment() { ++Version; }

void soak_deployment::changeKey() {
  Roster->changeKey();
  ++Version;
}

void soak_deployment::changeKeys() {
  Roster->changeKeys();
  ++Version;
}

void soak_deployment::restoreKeys() {
  Roster->restoreKeys();
  ++Version;
}

/// Sends the newest version until it is acknowledged, and queries the version
/// of each control VM.
void soak_deployment::sendDeployment() {
  for (std::size_t Index = 0; Index < Controls.size(); ++Index)
    queryDeployment(Index);
  if (Roster)
    queryLimiters();
  if (AcknowledgedVersion >= Version)
    return;
  recordVersion();
  const auto &Control = Controls[Random() % Controls.size()];
  call({Control.Address, HttpPort}, "POST", "/Config.Put",
       deploymentText(Version),
       [this, Sent = Version](const std::optional<http_message> &Response) {
         if (!Response || Response->statusCode() != HttpOk)
           return;
         AcknowledgedVersion = std::max(AcknowledgedVersion, Sent);
         Oracle.recordDeploymentAcknowledged(Sent, Context.Timers.now());
         if (OrganisationOracle)
           OrganisationOracle->recordAcknowledgement(Sent,
                                                     Context.Timers.now());
       });
}

void soak_deployment::queryDeployment(std::size_t Control) {
  call({Controls[Control].Address, HttpPort}, "GET", "/Config.Get", "",
       [this, Control, Sent = Context.Timers.now()](
           const std::optional<http_message> &Response) {
         if (!Response || Response->statusCode() != HttpOk)
           return;
         auto Body = json::parse(Response->Body, nullptr, false);
         ReportedVersions[Control] = Body.value("version", std::uint64_t{0});
         Oracle.checkDeploymentRead(ReportedVersions[Control], Sent);
       });
}

void soak_deployment::queryLimiters() {
  const auto &Control = Controls[Random() % Controls.size()];
  call({Control.Address, HttpPort}, "GET", "/v1/limiters", "",
       [this](const std::optional<http_message> &Response) {
         if (!Response || Response->statusCode() != HttpOk)
           return;
         auto Body = json::parse(Response->Body, nullptr, false);
         for (const auto &Slot : Body.value("slots", json::array()))
           for (std::size_t Entry = 0; Entry < Entries.size(); ++Entry)
             if (Slot.value("vm", "") == Entries[Entry].Process->name())
               LimiterEntries[Slot.value("slot", 0U)] = Entry;
       });
}

std::size_t soak_deployment::limiterOf(std::size_t Organisation) const {
  const auto &Plan = Roster->organisations().at(Organisation);
  auto Found = LimiterEntries.find(limiterSlotOf(organisation_id(Plan.Name)));
  return Found == LimiterEntries.end() ? 0 : Found->second;
}

void soak_deployment::call(
    const endpoint &Server, const std::string &Method, const std::string &Path,
    const std::string &Body,
    std::function<void(std::optional<http_message>)> Done) {
  std::uint64_t Number = ++LastCall;
  Calls[Number] = std::make_unique<http_call>(
      Context.Loop, Context.Timers, Server, Method, Path, Body,
      [this, Number,
       Done = std::move(Done)](const std::optional<http_message> &Response) {
        Done(Response);
        Context.Loop.post([this, Number] { Calls.erase(Number); });
      });
}

//===----------------------------------------------------------------------===//
// Callers
//===----------------------------------------------------------------------===//

void soak_deployment::startCallers() {
  caller_options Caller;
  for (const auto &Vm : Entries)
    Caller.Entries.push_back({Vm.Address, CallerPort});
  for (std::size_t Index = 0; Index < Options.Groups; ++Index) {
    group_id Group(groupName(Index));
    duration Stale = std::chrono::milliseconds(1500);
    Caller.Databases.push_back({Group.Value + "-primary", {Group, {}}});
    Caller.Databases.push_back(
        {Group.Value + "-read_your_writes", {Group, Stale}});
    Caller.Databases.push_back(
        {Group.Value + "-bounded_staleness", {Group, Stale}});
    if (Roster)
      Caller.Databases.push_back(
          {Group.Value + PublicSuffix, {Group, {}}, true});
  }
  Caller.Organisations = OrganisationOracle.get();
  for (std::size_t Index = 0; Index < Options.Callers; ++Index) {
    Caller.Number = Index + 1;
    Caller.Seed = Random();
    if (Roster)
      Caller.Key = Roster->keyOf(Index);
    Callers.push_back(std::make_unique<soak_caller>(Context, Oracle, Caller));
  }
}

void soak_deployment::moderateCallers() {
  for (std::size_t Index = 0; Roster && Index < Callers.size(); ++Index) {
    double Rate = Roster->moderateRateOf(Index, Callers.size());
    if (Rate > 0)
      Callers[Index]->setOperationPause(std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(1 / Rate)));
  }
}

} // namespace teasellock::soak
