#include "modules/gateway/auxiliary_session.h"

namespace teasellock {

auxiliary_session::auxiliary_session(daemon_context &Context,
                                     upstream_target Target, duration Timeout)
    : Context(Context), Target(std::move(Target)), Timeout(Timeout) {}

std::shared_ptr<auxiliary_session>
auxiliary_session::open(daemon_context &Context, upstream_target Target,
                        duration Timeout) {
  return std::shared_ptr<auxiliary_session>(
      new auxiliary_session(Context, std::move(Target), Timeout));
}

void auxiliary_session::query(std::string NewSql, answer NewAnswer) {
  Sql = std::move(NewSql);
  Answer = std::move(NewAnswer);
  Self = shared_from_this();
  Timer = Context.Timers.after(Timeout, [Weak = weak_from_this()] {
    auto Session = Weak.lock();
    if (!Session)
      return;
    execution_result TimedOut;
    TimedOut.ConnectionLost = true;
    TimedOut.Problem = "no answer in time";
    Session->finish(std::move(TimedOut));
  });
  if (Connection && Connection->isOpen())
    return send();
  Connection = std::make_unique<upstream_connection>(
      Context, Target, [Weak = weak_from_this()](std::optional<error> Problem) {
        auto Session = Weak.lock();
        if (!Session)
          return;
        if (!Problem)
          return Session->send();
        execution_result Failed;
        Failed.ConnectionLost = true;
        Failed.Problem = Problem->reason();
        Session->finish(std::move(Failed));
      });
}

void auxiliary_session::send() {
  execution_callbacks Events;
  Events.Collect = true;
  Events.OnDone = [Weak = weak_from_this()](execution_result Result) {
    if (auto Session = Weak.lock())
      Session->finish(std::move(Result));
  };
  std::vector<upstream_operation> Operations;
  Operations.push_back(hiddenQuery(Sql));
  Connection->execute(std::move(Operations), std::move(Events));
}

void auxiliary_session::finish(execution_result Result) {
  Timer.cancel();
  auto KeepAlive = std::exchange(Self, nullptr);
  if (Result.ConnectionLost && Connection)
    Connection->close();
  if (auto Callback = std::exchange(Answer, nullptr))
    Callback(std::move(Result));
}

} // namespace teasellock
