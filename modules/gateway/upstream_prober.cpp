#include "modules/gateway/upstream_prober.h"

#include "core/event_log.h"

#include <deque>

namespace teasellock {

namespace {

struct errand {
  std::vector<upstream_operation> Operations;
  std::string Step;
};

} // namespace

struct upstream_prober::state
    : std::enable_shared_from_this<upstream_prober::state> {
  state(daemon_context &Context, upstream_target Target,
        probe_settings Settings,
        std::function<void(const probe_result &)> Probed)
      : Context(Context), Target(std::move(Target)), Settings(Settings),
        Probed(std::move(Probed)) {}

  daemon_context &Context;
  upstream_target Target;
  probe_settings Settings;
  std::function<void(const probe_result &)> Probed;
  std::unique_ptr<upstream_connection> Connection;
  std::deque<errand> Errands;
  bool Probing = false;
  bool RunningErrand = false;
  bool Wanted = false;
  /// The current probe was sent over an existing connection.
  bool Reused = false;
  bool WentSilent = false;
  time_point StartedAt;
  timer_subscription Periodic;
  timer_subscription Soon;
  timer_subscription Timeout;

  void start() {
    auto Weak = weak_from_this();
    Periodic = Context.Timers.every(Settings.Period, [Weak] {
      if (auto Self = Weak.lock(); Self && !Self->busy())
        Self->startProbe();
    });
    want();
  }

  void stop() {
    Probed = nullptr;
    Periodic.cancel();
    Soon.cancel();
    Timeout.cancel();
    if (Connection)
      Connection->close();
  }

  bool busy() const { return Probing || RunningErrand; }

  void want() {
    if (busy())
      Wanted = true;
    else
      startProbe();
  }

  void requestProbeAfter(duration Span) {
    if (Soon.active() || Wanted)
      return;
    Soon = Context.Timers.after(Span, [Weak = weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->want();
    });
  }

  void startProbe() {
    Probing = true;
    Wanted = false;
    WentSilent = false;
    Soon.cancel();
    StartedAt = Context.Timers.now();
    Reused = Connection && Connection->isOpen();
    startTimeout();
    Reused ? sendProbe() : connect();
  }

  // Half of the timeout is for the existing connection, half for a new one.
  void startTimeout() {
    Timeout =
        Context.Timers.after(Settings.Timeout / 2, [Weak = weak_from_this()] {
          if (auto Self = Weak.lock())
            Self->onTimeout();
        });
  }

  void onTimeout() {
    if (RunningErrand)
      return endErrand("timed out");
    if (!Probing)
      return;
    dropConnection();
    if (!std::exchange(Reused, false))
      return end(failed("no answer in time", false));
    WentSilent = true;
    startTimeout();
    connect();
  }

  void dropConnection() {
    if (Connection)
      Connection->close();
    Connection.reset();
  }

  void connect() {
    Connection = std::make_unique<upstream_connection>(
        Context, Target,
        [Weak = weak_from_this()](std::optional<error> Problem) {
          if (auto Self = Weak.lock())
            Self->onConnected(Problem);
        });
  }

  void onConnected(const std::optional<error> &Problem) {
    if (!Probing)
      return;
    if (!Problem)
      return sendProbe();
    end(failed(Problem->reason(), isConnectionRefused(*Problem)));
  }

  void sendProbe() {
    execution_callbacks Events;
    Events.Collect = true;
    Events.Done = [Weak = weak_from_this()](run_result Result) {
      if (auto Self = Weak.lock())
        Self->onAnswer(std::move(Result));
    };
    std::vector<upstream_operation> Operations;
    Operations.push_back(hiddenQuery(dialect::probe()));
    Connection->run(std::move(Operations), std::move(Events));
  }

  void onAnswer(run_result Result) {
    if (!Probing)
      return;
    if (Result.Broken) {
      // The loss of an old connection says nothing about the upstream: tries a
      // new one.
      if (!std::exchange(Reused, false))
        return end(failed(Result.Problem, false));
      return connect();
    }
    if (Result.Failure)
      return end(failed(Result.Failure->Message, false));
    try {
      auto Status =
          dialect::parseProbe(Result.Tables, toString(Target.Address));
      // The term changed during the probe: probes again.
      if (!Status)
        return sendProbe();
      probe_result Probe;
      Probe.Status = std::move(Status);
      end(std::move(Probe));
    } catch (const error &Problem) {
      end(failed(Problem.reason(), false));
    }
  }

  static probe_result failed(const std::string &Problem, bool Refused) {
    probe_result Probe;
    Probe.Problem = Problem.empty() ? "unreachable" : Problem;
    Probe.Refused = Refused;
    return Probe;
  }

  void end(probe_result Probe) {
    Probing = false;
    Timeout.cancel();
    Probe.OldConnectionUnresponsive = WentSilent && Probe.Status.has_value();
    Probe.StartedAt = StartedAt;
    Probe.EndedAt = Context.Timers.now();
    if (!Probe.Status)
      dropConnection();
    auto Self = shared_from_this();
    if (Probed)
      Probed(Probe);
    goOn();
  }

  void goOn() {
    if (!Probed || busy())
      return;
    if (Wanted)
      return startProbe();
    if (!Errands.empty() && Connection && Connection->isOpen())
      startErrand();
  }

  void startErrand() {
    RunningErrand = true;
    execution_callbacks Events;
    Events.Done = [Weak = weak_from_this()](run_result Result) {
      if (auto Self = Weak.lock())
        Self->endErrand(Result.Failure ? Result.Failure->Message
                                       : Result.Problem);
    };
    startTimeout();
    Connection->run(std::move(Errands.front().Operations), std::move(Events));
  }

  void endErrand(const std::string &Problem) {
    if (!RunningErrand)
      return;
    RunningErrand = false;
    Timeout.cancel();
    if (!Problem.empty()) {
      event("upstream.errand_failed", severity::Warning)
          .with("step", Errands.front().Step)
          .with("peer", toString(Target.Address))
          .with("problem", Problem);
      dropConnection();
    }
    Errands.pop_front();
    goOn();
  }
};

upstream_prober::upstream_prober(
    daemon_context &Context, upstream_target Target, probe_settings Settings,
    std::function<void(const probe_result &)> Probed)
    : State(std::make_shared<state>(Context, std::move(Target), Settings,
                                    std::move(Probed))) {
  State->start();
}

upstream_prober::~upstream_prober() { State->stop(); }

void upstream_prober::want() { State->want(); }

void upstream_prober::requestProbeAfter(duration Span) {
  State->requestProbeAfter(Span);
}

void upstream_prober::enqueueOperations(
    std::vector<upstream_operation> Operations, const std::string &Step) {
  State->Errands.push_back({std::move(Operations), Step});
  State->goOn();
}

} // namespace teasellock
