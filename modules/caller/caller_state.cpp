#include "modules/caller/caller_decisions.h"

#include "core/error.h"

namespace teasellock {

namespace {

using phase = caller_state::phase;

void closeIfDrained(caller_state &State, caller_effects &Effects) {
  bool Idle = State.Phase == phase::Startup ||
              (State.Phase == phase::Ready && State.Status == 'I' &&
               State.Batch.Items.empty());
  if (State.Draining && Idle)
    closeFatally(State, sql_state::AdminShutdown,
                 "terminating connection: this VM is being drained", Effects);
}

} // namespace

void closeFatally(caller_state &State, const std::string &Code,
                  const std::string &Problem, caller_effects &Effects) {
  pg::appendError(Effects.Out, "FATAL", Code, Problem);
  abandon(State, Effects);
  Effects.Close = true;
}

std::size_t takeBytes(caller_state &State, caller_environment &Environment,
                      std::string_view Bytes, caller_effects &Effects) {
  std::size_t Used = 0;
  try {
    while (State.Phase == phase::Startup || State.Phase == phase::Ready) {
      bool Startup = State.Phase == phase::Startup;
      auto Frame = pg::nextFrame(Bytes.substr(Used), Startup);
      if (!Frame)
        break;
      Used += Frame->Size;
      if (Startup)
        takeStartup(State, Environment, Frame->Body, Effects);
      else
        takeMessage(State, Environment, *Frame, Effects);
      closeIfDrained(State, Effects);
    }
  } catch (const pg::malformed &Problem) {
    closeFatally(State, sql_state::ProtocolViolation, Problem.Problem, Effects);
  }
  return Used;
}

void abandon(caller_state &State, caller_effects &Effects) {
  if (State.Phase == phase::Busy)
    Effects.CancelRequest = true;
  if (State.Transaction != transaction_id())
    Effects.Release.push_back(State.Transaction);
  State.Transaction = {};
  State.Request.reset();
  State.Batch = {};
  State.Phase = phase::Closed;
}

void drainCaller(caller_state &State, caller_effects &Effects) {
  State.Draining = true;
  closeIfDrained(State, Effects);
}

} // namespace teasellock
