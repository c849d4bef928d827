#include "main/daemon_process.h"

#include "core/event_log.h"

#include <csignal>
#include <random>

namespace teasellock {

namespace {

constexpr duration DrainCheckPeriod = fromMilliseconds(20);

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

daemon_process::daemon_process(const daemon_settings &Settings)
    : Settings(Settings), Timers(Loop),
      Tracer(makeTracer(Settings)), Context{Loop, Timers, Metrics, Tracer,
                                            vm_identity{
                                                Settings.Vm, newIncarnation(),
                                                Settings.AvailabilityZone,
                                                Settings.Region,
                                                Settings.Internal}},
      Hub(Context, link_settings()), Member(Context, Hub, Settings.Membership) {
  Hub.listen();
  if (!Settings.Consensus.DataFolder.empty())
    Control = std::make_unique<control_service>(Context, Hub, Settings.Control,
                                                Settings.Consensus);
  if (Settings.Gateway)
    Gateway = std::make_unique<gateway_service>(Context, Hub, Member,
                                                Settings.GatewaySettings);
  Router = std::make_unique<statement_router>(Context, Hub, Member,
                                              Gateway.get(), Settings.Routing);
  if (Settings.Callers)
    Callers = std::make_unique<caller_server>(Context, Member, *Router,
                                              Settings.Caller);
  Admin = std::make_unique<admin_service>(Context, Member, Control.get(),
                                          Settings.Admin);
}

daemon_process::~daemon_process() = default;

void daemon_process::run() {
  if (Control)
    Control->start();
  if (Gateway)
    Gateway->start();
  Member.start();
  Router->start();
  if (Callers)
    Callers->start();
  for (int Signal : {SIGTERM, SIGINT})
    Loop.onSignal(Signal, [this] { startDraining(); });
  event("daemon.started")
      .with("vm", Context.Self.Vm.Value)
      .with("incarnation", Context.Self.Incarnation.Value)
      .with("internal", toString(Context.Self.Internal))
      .with("http", toString(Admin->bound()))
      .with("entry", Callers != nullptr)
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
  // First no new work for the gateway, then the callers, then what is left.
  Member.drain([this] {
    if (!Callers)
      return finishDraining();
    Callers->drain([this] { finishDraining(); });
  });
}

void daemon_process::finishDraining() {
  DrainCheck = Timers.every(DrainCheckPeriod, [this] {
    std::size_t Left = Router->inFlight() + (Gateway ? Gateway->inFlight() : 0);
    if (Left == 0)
      Loop.stop();
  });
}

} // namespace teasellock
