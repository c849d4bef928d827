#include "core/time.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <optional>
#include <poll.h>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

using namespace teasellock;

namespace {

/// How long the daemon may take until it has written what a test waits for.
constexpr duration OutputTimeout = std::chrono::seconds(10);
constexpr int MaxDelayMs = 50;
constexpr int DelayStepMs = 2;
/// The dynamic loader writes this before it runs the first constructor of a
/// library, after it has called the executable's own .preinit_array.
constexpr const char *FirstConstructor = "calling init: ";

void wait(int Milliseconds) { ::poll(nullptr, 0, Milliseconds); }

/// A process of teasellockd that writes into a pipe. It is killed when the
/// object is destroyed.
class daemon_child {
public:
  daemon_child() {
    std::array<int, 2> Ends{};
    REQUIRE(::pipe(Ends.data()) == 0);
    Output = Ends[0];
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_addclose(&Actions, Ends[0]);
    posix_spawn_file_actions_adddup2(&Actions, Ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&Actions, Ends[1], STDERR_FILENO);
    // A network of its own, so that several runs do not share addresses.
    auto Address = "127.9." + std::to_string(::getpid() / 250 % 250) + "." +
                   std::to_string(1 + ::getpid() % 250);
    std::vector<std::string> Arguments{TEASELLOCK_DAEMON,
                                       "--vm",
                                       "vm-1",
                                       "--availability-zone",
                                       "z",
                                       "--region",
                                       "r",
                                       "--internal",
                                       Address + ":9000",
                                       "--http",
                                       Address + ":9001",
                                       "--control",
                                       "127.0.0.1:9"};
    std::vector<std::string> Variables{
        "LD_DEBUG=files", "TEASELLOCK_TOKEN_SECRET=0123456789abcdef"};
    int Status =
        ::posix_spawn(&Pid, TEASELLOCK_DAEMON, &Actions, nullptr,
                      pointers(Arguments).data(), pointers(Variables).data());
    posix_spawn_file_actions_destroy(&Actions);
    ::close(Ends[1]);
    REQUIRE(Status == 0);
  }

  ~daemon_child() {
    if (Pid > 0) {
      ::kill(Pid, SIGKILL);
      ::waitpid(Pid, nullptr, 0);
    }
    ::close(Output);
  }

  daemon_child(const daemon_child &) = delete;
  daemon_child &operator=(const daemon_child &) = delete;

  void sendSignal(int Signal) const { ::kill(Pid, Signal); }

  /// Reads until the output contains Text. Returns false if the process ends
  /// or the time is over before.
  bool awaitOutput(const std::string &Text) {
    auto End = std::chrono::steady_clock::now() + OutputTimeout;
    while (Read.find(Text) == std::string::npos) {
      auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
          End - std::chrono::steady_clock::now());
      pollfd Poll{Output, POLLIN, 0};
      if (Left.count() <= 0 ||
          ::poll(&Poll, 1, static_cast<int>(Left.count())) <= 0)
        return false;
      std::array<char, 4096> Buffer{};
      ssize_t Size = ::read(Output, Buffer.data(), Buffer.size());
      if (Size <= 0)
        return false;
      Read.append(Buffer.data(), static_cast<std::size_t>(Size));
    }
    return true;
  }

  /// Reports whether the process holds back a signal.
  bool blocks(int Signal) const {
    std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
    std::string Line;
    while (std::getline(Status, Line))
      if (Line.starts_with("SigBlk:"))
        return std::stoull(Line.substr(Line.find('\t')), nullptr, 16) >>
                   (Signal - 1) &
               1;
    FAIL("the process has no status");
    return false;
  }

  /// Waits until the process has ended. Returns the signal that ended it, 0 if
  /// none did, or nothing if the process does not end in time.
  std::optional<int> awaitEnd() {
    auto End = std::chrono::steady_clock::now() + OutputTimeout;
    while (std::chrono::steady_clock::now() < End) {
      int Status = 0;
      if (::waitpid(Pid, &Status, WNOHANG) == Pid) {
        Pid = 0;
        return WIFSIGNALED(Status) ? WTERMSIG(Status) : 0;
      }
      wait(1);
    }
    return std::nullopt;
  }

private:
  static std::vector<char *> pointers(std::vector<std::string> &Texts) {
    std::vector<char *> Result;
    Result.reserve(Texts.size() + 1);
    for (auto &Text : Texts)
      Result.push_back(Text.data());
    Result.push_back(nullptr);
    return Result;
  }

  pid_t Pid = 0;
  int Output = -1;
  std::string Read;
};

} // namespace

// Guards against a reload that ends a daemon which has just started: SIGHUP
// kept its default action until the daemon had set its handler.
TEST_CASE("daemon: SIGHUP at any moment of the start reloads the settings") {
  for (int Delay = 0; Delay <= MaxDelayMs; Delay += DelayStepMs) {
    CAPTURE(Delay);
    daemon_child Daemon;
    REQUIRE(Daemon.awaitOutput(FirstConstructor));
    wait(Delay);
    Daemon.sendSignal(SIGHUP);
    CHECK(Daemon.awaitOutput("event=daemon.started"));
    // No settings file is used, so that the reload is logged as skipped.
    CHECK(Daemon.awaitOutput("event=daemon.reload_skipped"));
  }
}

// Guards against a start that can't be interrupted: were SIGTERM held back
// together with SIGHUP, a daemon that waits for its disk could not be stopped.
TEST_CASE("daemon: SIGTERM at the begin of the start ends the process") {
  daemon_child Daemon;
  REQUIRE(Daemon.awaitOutput(FirstConstructor));
  CHECK_FALSE(Daemon.blocks(SIGTERM));
  Daemon.sendSignal(SIGTERM);
  auto End = Daemon.awaitEnd();
  REQUIRE(End.has_value());
  // Beside load the daemon may have set its handler by then. It shuts down
  // gracefully and is not ended by a signal.
  CHECK((*End == SIGTERM || *End == 0));
}

// Guards against a shutdown that lasts until the drain timeout of 30 s: a
// daemon that control never answered has no assignment, and waited for control
// to confirm its release.
TEST_CASE("daemon: SIGTERM ends a daemon that never reached control") {
  daemon_child Daemon;
  REQUIRE(Daemon.awaitOutput("event=daemon.started"));
  Daemon.sendSignal(SIGTERM);
  auto End = Daemon.awaitEnd();
  REQUIRE(End.has_value());
  CHECK(*End == 0);
}
