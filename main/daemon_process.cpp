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
/// A process whose store has failed ends after this: time enough to see a disk
/// that refuses for a moment through, and no loop without a pause.
constexpr duration RestartDelay = fromMilliseconds(1000);
/// How soon a changed settings file is noticed without a signal.
constexpr duration SettingsPeriod = fromMilliseconds(2000);

/// Start time above random bits: later runs have higher numbers, and two runs
/// within one millisecond still differ.
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
  return tracer(Settings.Vm, Settings.TraceFile, Settings.TraceShare);
}

} // namespace

daemon_process::daemon_process(const daemon_settings &Given,
                               std::function<daemon_settings()> Reread)
    : Settings(Given), Timers(Loop), Tracer(makeTracer(Settings)),
      Context{Loop, Timers, Metrics, Tracer,
              vm_identity{Settings.Vm, newIncarnation(),
                          Settings.AvailabilityZone, Settings.Region,
                          Settings.Internal, Settings.InternalListen}},
      Hub(Context, link_settings()), Member(Context, Hub, Settings.Membership),
      Reread(std::move(Reread)) {
  Hub.listen();
  attachPlatform();
  if (!Settings.Consensus.DataFolder.empty())
    Control = std::make_unique<control_service>(Context, Hub, Settings.Control,
                                                Settings.Consensus);
  if (Control && Settings.Control.Voters > 0)
    Member.attachControlStore(Control->store());
  if (Settings.Gateway)
    Gateway = std::make_unique<gateway_service>(Context, Hub, Member,
                                                Settings.GatewaySettings);
  Router = std::make_unique<statement_router>(Context, Hub, Member,
                                              Gateway.get(), Settings.Routing);
  makeEntry();
  Admin = std::make_unique<admin_service>(Context, Member, Control.get(),
                                          Settings.Admin);
}

daemon_process::~daemon_process() = default;

void daemon_process::makeEntry() {
  if (!Settings.Callers)
    return;
  if (Settings.Lines)
    Lines = std::make_unique<line_listener>(Context, Member, *Router,
                                            Settings.LineCallers);
  else
    Callers = std::make_unique<caller_server>(Context, Member, *Router,
                                              Settings.Caller);
}

void daemon_process::attachPlatform() {
  if (Settings.Lines) {
    Settings.LineGroup.Protocol = &platform::lineProtocol();
    Settings.LineCallers.Protocol = &platform::lineProtocol();
    Settings.GatewaySettings.MakeGroup =
        [Group = Settings.LineGroup](daemon_context &Context,
                                     membership_hooks Hooks,
                                     const group_id &Id) {
          return makeLineGroup(Context, std::move(Hooks), Group, Id);
        };
  }
  if (!Settings.Platform)
    return;
  // Whoever starts the process again starts it from what the disk holds.
  Settings.Control.StoreFailed = [this] {
    event("daemon.store_failed", severity::Error)
        .with("vm", Context.Self.Vm.Value);
    Restart = Timers.after(RestartDelay, [this] { Loop.stop(); });
  };
  platform::promotion_service Service{*Settings.Platform, Settings.Holder};
  Settings.Control.OrderPromotion =
      [this, Service](const promotion_order &Order,
                      std::function<void(promotion_answer)> Done) {
        platform::orderPromotion(Context, Service, Order, std::move(Done));
      };
  platform::api_target Target{
      Member, [this] { return isReady(); }, Settings.Regions,
      [this](const upstream_announcement &Announcement) {
        if (Control)
          Control->noteHeard(Announcement);
      }};
  Settings.Admin.Adapter = [Target](const http_request &Request,
                                    const http_reply &Reply) {
    return platform::handleCall(Target, Request, Reply);
  };
}

bool daemon_process::isReady() const {
  return !Draining &&
         Member.currentDeployment().Version != deployment_version();
}

/// The file may change without a signal.
void daemon_process::watchSettings() {
  // Without a file a reload changes nothing, but must not end the process.
  Loop.onSignal(SIGHUP, [this] { reload(); });
  if (!Reread)
    return;
  SettingsCheck = Timers.every(SettingsPeriod, [this] { reload(); });
}

void daemon_process::reload() {
  if (!Reread) {
    event("daemon.reload_skipped").with("reason", "no settings file is used");
    return;
  }
  try {
    auto Next = Reread();
    Member.setControl(Next.Membership.Control);
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
  Router->start();
  if (Callers)
    Callers->start();
  if (Lines)
    Lines->start();
  watchSettings();
  for (int Signal : {SIGTERM, SIGINT})
    Loop.onSignal(Signal, [this] { startDraining(); });
  event("daemon.started")
      .with("vm", Context.Self.Vm.Value)
      .with("incarnation", Context.Self.Incarnation.Value)
      .with("internal", toString(Context.Self.Internal))
      .with("http", toString(Admin->bound()))
      .with("entry", Callers != nullptr || Lines != nullptr)
      .with("gateway", Gateway != nullptr)
      .with("control", Control != nullptr);
  Loop.run();
  event("daemon.stopped").with("vm", Context.Self.Vm.Value);
}

void daemon_process::startDraining() {
  if (Draining)
    return Loop.stop();
  Draining = true;
  event("daemon.draining").with("vm", Context.Self.Vm.Value);
  Admin->startDraining();
  DrainDeadline = Timers.after(Settings.DrainTimeout, [this] {
    event("daemon.drain_timeout", severity::Warning)
        .with("statements", static_cast<std::uint64_t>(Router->inFlight()));
    Loop.stop();
  });
  if (Settings.Lines)
    return drainLines();
  // First no new work for the gateway, then the callers, then what is left.
  Member.drain([this] {
    if (!Callers)
      return finishDraining();
    Callers->drain([this] { finishDraining(); });
  });
}

/// Callers and assignments leave side by side: there is little time, and
/// upstreams refuse what must not run.
void daemon_process::drainLines() {
  HandedOver = !Gateway;
  CallersGone = !Lines;
  auto Check = [this] {
    if (HandedOver && CallersGone)
      finishDraining();
  };
  if (Gateway)
    Member.drain([this, Check] {
      HandedOver = true;
      Check();
    });
  if (Lines)
    Lines->drain([this, Check] {
      CallersGone = true;
      Check();
    });
  Check();
}

void daemon_process::finishDraining() {
  DrainCheck = Timers.every(DrainCheckPeriod, [this] {
    std::size_t Left = Router->inFlight() + (Gateway ? Gateway->inFlight() : 0);
    if (Left == 0)
      Loop.stop();
  });
}

} // namespace teasellock
