#include "main/daemon_process.h"

#include "core/event_log.h"
#include "platform/line_codec.h"
#include "platform/platform_api.h"
#include "platform/promotion_call.h"

#include <csignal>
#include <random>

namespace teasellock {

namespace {

constexpr duration DrainCheckPeriod = fromMilliseconds(20);
/// Delay before the process exits after its store has failed. Long enough for a
/// short disk failure to pass, and prevents restarts in a tight loop.
constexpr duration StoreFailureExitDelay = fromMilliseconds(1000);
/// Period of checks for a changed settings file, besides SIGHUP.
constexpr duration SettingsCheckPeriod = fromMilliseconds(2000);

/// The start time in the upper bits and random lower bits: later incarnations
/// have higher numbers, and two within the same millisecond still differ.
incarnation newIncarnation() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
  return incarnation(static_cast<std::uint64_t>(Milliseconds) << 16 |
                     (std::random_device()() & 0xffff));
}

tracer makeTracer(const daemon_settings &Settings) {
  if (Settings.TraceFile.empty())
    return tracer();
  return tracer(Settings.Vm, Settings.TraceFile, Settings.TraceSampleRatio);
}

} // namespace

daemon_process::daemon_process(const daemon_settings &InitialSettings,
                               std::function<daemon_settings()> LoadSettings)
    : Settings(InitialSettings), Timers(Loop), Tracer(makeTracer(Settings)),
      Context{Loop, Timers, Metrics, Tracer,
              vm_identity{Settings.Vm, newIncarnation(),
                          Settings.AvailabilityZone, Settings.Region,
                          Settings.Internal, Settings.InternalListen}},
      Hub(Context, link_settings()), Member(Context, Hub, Settings.Membership),
      LoadSettings(std::move(LoadSettings)) {
  Hub.listen();
  configurePlatform();
  if (!Settings.Consensus.DataFolder.empty())
    Control = std::make_unique<control_service>(Context, Hub, Settings.Control,
                                                Settings.Consensus);
  if (Control && Settings.Control.TargetVoters > 0)
    Member.attachControlStore(Control->store());
  if (Settings.HasGatewayRole)
    Gateway = std::make_unique<gateway_service>(Context, Hub, Member,
                                                Settings.GatewaySettings);
  Router = std::make_unique<statement_router>(Context, Hub, Member,
                                              Gateway.get(), Settings.Routing);
  if (Settings.UseLineProtocol)
    createLimitService();
  createEntryServer();
  Admin = std::make_unique<admin_service>(Context, Member, Control.get(),
                                          Settings.Admin);
}

daemon_process::~daemon_process() = default;

void daemon_process::createEntryServer() {
  if (!Settings.CallerListen)
    return;
  if (Settings.UseLineProtocol)
    LineListener = std::make_unique<line_listener>(
        Context, Member, *Router, *Limits, Settings.LineListenerSettings);
  else
    CallerServer = std::make_unique<caller_server>(Context, Member, *Router,
                                                   Settings.CallerSettings);
}

void daemon_process::createLimitService() {
  Limits = std::make_unique<limit_service>(Context, Hub, limitHooks());
  Member.onLimitersChanged([this] { Limits->handleViewChange(); });
}

limit_hooks daemon_process::limitHooks() {
  return {
      [this]() -> const limiter_view & { return Member.limiters(); },
      [this]() -> const deployment & { return Member.currentDeployment(); }};
}

void daemon_process::configurePlatform() {
  if (Settings.UseLineProtocol) {
    Settings.LineGroupSettings.Protocol = &platform::lineProtocol();
    Settings.LineListenerSettings.Protocol = &platform::lineProtocol();
    Settings.GatewaySettings.MakeGroupHandler =
        [Group = Settings.LineGroupSettings](daemon_context &Context,
                                             membership_hooks Hooks,
                                             const group_id &Id) {
          return makeLineGroup(Context, std::move(Hooks), Group, Id);
        };
  }
  if (!Settings.PlatformEndpoint)
    return;
  // The process exits and is to be restarted by its supervisor; it then
  // recovers the state that is on disk.
  Settings.Control.OnStoreFailed = [this] {
    event("daemon.store_failed", severity::Error)
        .with("vm", Context.Self.Vm.Value);
    StoreFailureTimer =
        Timers.after(StoreFailureExitDelay, [this] { Loop.stop(); });
  };
  platform::promotion_service Service{*Settings.PlatformEndpoint,
                                      Settings.DutyHolder};
  Settings.Control.OrderPromotion =
      [this, Service](const promotion_order &Order,
                      std::function<void(promotion_answer)> Done) {
        platform::orderPromotion(Context, Service, Order, std::move(Done));
      };
  platform::api_target Target{
      Member, Metrics, [this] { return isReady(); }, Settings.RegionByZone,
      [this](const upstream_announcement &Announcement) {
        if (Control)
          Control->recordAnnouncement(Announcement);
      }};
  Settings.Admin.PlatformHandler = [Target](const http_request &Request,
                                            const http_reply &Reply) {
    return platform::handleCall(Target, Request, Reply);
  };
}

bool daemon_process::isReady() const {
  return !IsDraining &&
         Member.currentDeployment().Version != deployment_version();
}

/// Reloads the settings on SIGHUP and periodically, since the file may change
/// without a signal.
void daemon_process::watchSettingsFile() {
  // Without a settings file SIGHUP changes nothing, but it must not terminate
  // the process. The signal is blocked until now; see main/teasellockd.cpp.
  Loop.onSignal(SIGHUP, [this] { reloadSettings(); });
  if (!LoadSettings)
    return;
  SettingsCheckTimer =
      Timers.every(SettingsCheckPeriod, [this] { reloadSettings(); });
}

void daemon_process::reloadSettings() {
  if (!LoadSettings) {
    event("daemon.reload_skipped").with("reason", "no settings file is used");
    return;
  }
  try {
    auto NewSettings = LoadSettings();
    Member.setControlEndpoints(NewSettings.Membership.ControlEndpoints);
  } catch (const error &Problem) {
    event("daemon.reload_failed", severity::Warning)
        .with("reason", Problem.what());
  }
}

void daemon_process::run() {
  if (Control)
    Control->start();
  if (Gateway)
    Gateway->start();
  Member.start();
  // Only an entry needs links to gateways.
  if (CallerServer || LineListener)
    Router->start();
  if (CallerServer)
    CallerServer->start();
  if (Limits)
    Limits->start(LineListener != nullptr);
  if (LineListener)
    LineListener->start();
  watchSettingsFile();
  for (int Signal : {SIGTERM, SIGINT})
    Loop.onSignal(Signal, [this] { startDraining(); });
  event("daemon.started")
      .with("vm", Context.Self.Vm.Value)
      .with("incarnation", Context.Self.Incarnation.Value)
      .with("internal", toString(Context.Self.InternalEndpoint))
      .with("http", toString(Admin->boundEndpoint()))
      .with("entry", CallerServer != nullptr || LineListener != nullptr)
      .with("gateway", Gateway != nullptr)
      .with("control", Control != nullptr);
  Loop.run();
  event("daemon.stopped").with("vm", Context.Self.Vm.Value);
}

void daemon_process::startDraining() {
  if (IsDraining)
    return Loop.stop();
  IsDraining = true;
  event("daemon.draining").with("vm", Context.Self.Vm.Value);
  Admin->startDraining();
  DrainTimeoutTimer = Timers.after(Settings.DrainTimeout, [this] {
    event("daemon.drain_timeout", severity::Warning)
        .with("statements", static_cast<std::uint64_t>(Router->inFlight()));
    Loop.stop();
  });
  if (Settings.UseLineProtocol)
    return drainLineProtocol();
  // First releases the assignments, so that the gateway gets no new
  // statements, then drains the callers, then waits for statements in flight.
  Member.drain([this] {
    if (!CallerServer)
      return finishDraining();
    CallerServer->drain([this] { finishDraining(); });
  });
}

/// Drains callers and releases assignments concurrently, because the grace
/// period is short. This is safe: upstreams refuse statements that must not be
/// executed.
void daemon_process::drainLineProtocol() {
  AssignmentsReleased = !Gateway;
  CallersDrained = !LineListener;
  auto Check = [this] {
    if (AssignmentsReleased && CallersDrained)
      finishDraining();
  };
  if (Gateway)
    Member.drain([this, Check] {
      AssignmentsReleased = true;
      Check();
    });
  if (LineListener)
    LineListener->drain([this, Check] {
      CallersDrained = true;
      Check();
    });
  Check();
}

void daemon_process::finishDraining() {
  DrainCheckTimer = Timers.every(DrainCheckPeriod, [this] {
    std::size_t Remaining = Router->inFlight() +
                            (Gateway ? Gateway->inFlight() : 0) +
                            Admin->inFlight();
    if (Remaining == 0)
      Loop.stop();
  });
}

} // namespace teasellock
