#include "modules/gateway/upstream_prober.h"

#include "core/event_log.h"

#include <deque>

namespace teasellock {

namespace {

struct queued_operations {
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
  std::deque<queued_operations> OperationQueue;
  bool Probing = false;
  bool IsExecutingOperations = false;
  bool ProbeRequested = false;
  /// The current probe was sent over an existing connection.
  bool ReusedConnection = false;
  bool ReusedTimedOut = false;
  time_point StartedAt;
  timer_subscription PeriodicProbe;
  timer_subscription DelayedProbe;
  timer_subscription Timeout;

  void start() {
    auto Weak = weak_from_this();
    PeriodicProbe = Context.Timers.every(Settings.Period, [Weak] {
      if (auto Self = Weak.lock(); Self && !Self->isBusy())
        Self->startProbe();
    });
    requestProbe();
  }

  void stop() {
    Probed = nullptr;
    PeriodicProbe.cancel();
    DelayedProbe.cancel();
    Timeout.cancel();
    if (Connection)
      Connection->close();
  }

  bool isBusy() const { return Probing || IsExecutingOperations; }

  void requestProbe() {
    if (isBusy())
      ProbeRequested = true;
    else
      startProbe();
  }

  void requestProbeAfter(duration Span) {
    if (DelayedProbe.isActive() || ProbeRequested)
      return;
    DelayedProbe = Context.Timers.after(Span, [Weak = weak_from_this()] {
      if (auto Self = Weak.lock())
        Self->requestProbe();
    });
  }

  void startProbe() {
    Probing = true;
    ProbeRequested = false;
    ReusedTimedOut = false;
    DelayedProbe.cancel();
    StartedAt = Context.Timers.now();
    ReusedConnection = Connection && Connection->isOpen();
    startTimeout();
    ReusedConnection ? sendProbe() : connect();
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
    if (IsExecutingOperations)
      return endOperations("timed out");
    if (!Probing)
      return;
    dropConnection();
    if (!std::exchange(ReusedConnection, false))
      return endProbe(makeFailure("no answer in time", false));
    ReusedTimedOut = true;
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
    endProbe(makeFailure(Problem->reason(), isConnectionRefused(*Problem)));
  }

  void sendProbe() {
    execution_callbacks Events;
    Events.Collect = true;
    Events.OnDone = [Weak = weak_from_this()](execution_result Result) {
      if (auto Self = Weak.lock())
        Self->onAnswer(std::move(Result));
    };
    std::vector<upstream_operation> Operations;
    Operations.push_back(hiddenQuery(dialect::probe()));
    Connection->execute(std::move(Operations), std::move(Events));
  }

  void onAnswer(execution_result Result) {
    if (!Probing)
      return;
    if (Result.ConnectionLost) {
      // The loss of an old connection says nothing about the upstream: tries a
      // new one.
      if (!std::exchange(ReusedConnection, false))
        return endProbe(makeFailure(Result.Problem, false));
      return connect();
    }
    if (Result.Failure)
      return endProbe(makeFailure(Result.Failure->Message, false));
    try {
      auto Status =
          dialect::parseProbe(Result.Tables, toString(Target.Address));
      // The term changed during the probe: probes again.
      if (!Status)
        return sendProbe();
      probe_result Probe;
      Probe.Status = std::move(Status);
      endProbe(std::move(Probe));
    } catch (const error &Problem) {
      endProbe(makeFailure(Problem.reason(), false));
    }
  }

  static probe_result makeFailure(const std::string &Problem, bool Refused) {
    probe_result Probe;
    Probe.Problem = Problem.empty() ? "unreachable" : Problem;
    Probe.ConnectionRefused = Refused;
    return Probe;
  }

  void endProbe(probe_result Probe) {
    Probing = false;
    Timeout.cancel();
    Probe.OldConnectionUnresponsive =
        ReusedTimedOut && Probe.Status.has_value();
    Probe.StartedAt = StartedAt;
    Probe.EndedAt = Context.Timers.now();
    if (!Probe.Status)
      dropConnection();
    auto Self = shared_from_this();
    if (Probed)
      Probed(Probe);
    startNext();
  }

  void startNext() {
    if (!Probed || isBusy())
      return;
    if (ProbeRequested)
      return startProbe();
    if (!OperationQueue.empty() && Connection && Connection->isOpen())
      startOperations();
  }

  void startOperations() {
    IsExecutingOperations = true;
    execution_callbacks Events;
    Events.OnDone = [Weak = weak_from_this()](execution_result Result) {
      if (auto Self = Weak.lock())
        Self->endOperations(Result.Failure ? Result.Failure->Message
                                           : Result.Problem);
    };
    startTimeout();
    Connection->execute(std::move(OperationQueue.front().Operations),
                        std::move(Events));
  }

  void endOperations(const std::string &Problem) {
    if (!IsExecutingOperations)
      return;
    IsExecutingOperations = false;
    Timeout.cancel();
    if (!Problem.empty()) {
      event("upstream.errand_failed", severity::Warning)
          .with("step", OperationQueue.front().Step)
          .with("peer", toString(Target.Address))
          .with("problem", Problem);
      dropConnection();
    }
    OperationQueue.pop_front();
    startNext();
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

void upstream_prober::requestProbe() { State->requestProbe(); }

void upstream_prober::requestProbeAfter(duration Span) {
  State->requestProbeAfter(Span);
}

void upstream_prober::enqueueOperations(
    std::vector<upstream_operation> Operations, const std::string &Step) {
  State->OperationQueue.push_back({std::move(Operations), Step});
  State->startNext();
}

} // namespace teasellock
