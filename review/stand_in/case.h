/// What all cases share: the arguments, the exit codes and small helpers.
#pragma once

#include "client.h"
#include "deployment.h"

#include <cstdio>
#include <cstdlib>

namespace review {

/// The exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

struct case_arguments {
  std::string Record;
  std::string Folder;
  bool Trouble = true;
};

/// Usage: case RECORD FOLDER; TROUBLE=0 leaves the disruption out.
inline case_arguments parseArguments(int Count, char **Values) {
  case_arguments Arguments;
  if (Count != 3) {
    std::fprintf(stderr, "usage: %s RECORD FOLDER\n", Values[0]);
    ::_exit(CouldNotRun);
  }
  Arguments.Record = Values[1];
  Arguments.Folder = Values[2];
  const char *Trouble = std::getenv("TROUBLE");
  Arguments.Trouble = !Trouble || std::string(Trouble) != "0";
  std::signal(SIGPIPE, SIG_IGN);
  return Arguments;
}

inline void sleepMs(int Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

/// Waits until a condition holds. Reports whether it does.
template <typename Condition> bool waitUntil(int TimeoutMs, Condition Holds) {
  for (int Waited = 0; Waited < TimeoutMs; Waited += 5) {
    if (Holds())
      return true;
    sleepMs(5);
  }
  return Holds();
}

/// Waits until a write succeeds through a front address.
inline bool waitUntilServing(run_record &Record, const address &Front,
                             const std::string &Database, int TimeoutMs) {
  int Number = 0;
  return waitUntil(TimeoutMs, [&] {
    client_session Probe(Record, "probe");
    Probe.Verbose = false;
    return Probe.start(Front, Database) &&
           Probe
               .query("probe-" + Front.Ip + "-" + std::to_string(++Number),
                      "WRITE probe x")
               .succeeded();
  });
}

/// Ends the run at once: threads of the stand-ins may still be running.
[[noreturn]] inline void finish(deployment &Deployment, run_record &Record,
                                int Code, const std::string &Verdict) {
  Deployment.stop();
  Record.write(Verdict);
  std::printf("%s\n", Verdict.c_str());
  std::fflush(stdout);
  ::_exit(Code);
}

} // namespace review
