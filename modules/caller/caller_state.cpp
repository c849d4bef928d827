#include "modules/caller/caller_state_internal.h"

#include "core/error.h"

namespace teasellock {

namespace {

using phase = caller_state::phase;

void closeIfDraining(caller_state &State, caller_effects &Effects) {
  bool Idle = State.Phase == phase::Startup ||
              (State.Phase == phase::Ready && State.TransactionStatus == 'I' &&
               State.Batch.Items.empty());
  if (State.Draining && Idle)
    closeWithFatalError(State, sql_state::AdminShutdown,
                        "terminating connection: this VM is being drained",
                        Effects);
}

} // namespace

void closeWithFatalError(caller_state &State, const std::string &Code,
                         const std::string &Problem, caller_effects &Effects) {
  pg::appendError(Effects.Out, "FATAL", Code, Problem);
  terminateCaller(State, Effects);
  Effects.Close = true;
}

std::size_t consumeBytes(caller_state &State, caller_environment &Environment,
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
        handleStartupPacket(State, Environment, Frame->Body, Effects);
      else
        handleMessage(State, Environment, *Frame, Effects);
      closeIfDraining(State, Effects);
    }
  } catch (const pg::protocol_error &Problem) {
    closeWithFatalError(State, sql_state::ProtocolViolation, Problem.Problem,
                        Effects);
  }
  return Used;
}

void terminateCaller(caller_state &State, caller_effects &Effects) {
  if (State.Phase == phase::Busy)
    Effects.CancelRequest = true;
  if (State.Transaction != transaction_id())
    Effects.ReleaseTransactions.push_back(State.Transaction);
  State.Transaction = {};
  State.Request.reset();
  State.Batch = {};
  State.Phase = phase::Closed;
}

void drainCaller(caller_state &State, caller_effects &Effects) {
  State.Draining = true;
  closeIfDraining(State, Effects);
}

} // namespace teasellock
