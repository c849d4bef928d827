#include "core/daemon_context.h"
#include "modules/admin/http_server.h"
#include "modules/control/operator_json.h"
#include "platform/configuration_json.h"
#include "tests/temporary_folder.h"

#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace teasellock;
using nlohmann::json;

namespace {

const duration RunTimeout = fromMilliseconds(20000);
/// Nothing listens at the discard port.
constexpr const char *UnreachableVm = "127.0.0.1:9";

/// The exit code of the tool, and its standard output and error output.
struct tool_result {
  int ExitCode = -1;
  std::string Text;
};

/// Runs the command line tool beside an operators' API that shows the
/// deployment in force.
class check_fixture {
public:
  check_fixture() {
    Server = std::make_unique<http_server>(
        Context, endpoint{"127.0.0.1", 0},
        [this](const http_request &Request, const http_reply &Reply) {
          Requests.push_back(Request.Method + " " + Request.Path);
          Reply({Status, "application/json", deploymentJson(InForce).dump()});
        });
  }

  /// Runs "teasellock check" on a file with the given text.
  tool_result check(const std::string &Text,
                    std::vector<std::string> Options = {}) {
    std::string File = Folder.Path + "/configuration.json";
    std::ofstream(File, std::ios::binary) << Text;
    Options.insert(Options.begin(), {"check", File});
    return run(Options);
  }

  tool_result run(std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.begin(), TEASELLOCK_TOOL);
    int Output = -1;
    pid_t Pid = spawn(Arguments, Output);
    tool_result Result;
    bool HasEnded = readAll(Output, Result.Text);
    ::close(Output);
    if (!HasEnded)
      ::kill(Pid, SIGKILL);
    int Ended = 0;
    ::waitpid(Pid, &Ended, 0);
    REQUIRE(HasEnded);
    REQUIRE(WIFEXITED(Ended));
    Result.ExitCode = WEXITSTATUS(Ended);
    return Result;
  }

  void putInForce(const json &Configuration) {
    applyCommand(InForce, revision(1),
                 makeDeploymentCommand(
                     platform::parseConfiguration(Configuration.dump())));
  }

  std::string address() const { return toString(Server->boundEndpoint()); }

  /// What the API was asked for.
  std::vector<std::string> Requests;
  /// The status of the API's answers.
  int Status = 200;

private:
  static pid_t spawn(std::vector<std::string> &Arguments, int &Output) {
    std::array<int, 2> Ends{};
    REQUIRE(::pipe2(Ends.data(), O_CLOEXEC) == 0);
    // Only this end: the tool expects to write all of its output.
    ::fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    posix_spawn_file_actions_t Actions;
    posix_spawn_file_actions_init(&Actions);
    posix_spawn_file_actions_adddup2(&Actions, Ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&Actions, Ends[1], STDERR_FILENO);
    std::vector<char *> Pointers;
    for (auto &Argument : Arguments)
      Pointers.push_back(Argument.data());
    Pointers.push_back(nullptr);
    // Without variables, so that the caller's settings of the tool have no
    // effect.
    std::array<char *, 1> Variables{nullptr};
    pid_t Pid = 0;
    int Failure = ::posix_spawn(&Pid, TEASELLOCK_TOOL, &Actions, nullptr,
                                Pointers.data(), Variables.data());
    posix_spawn_file_actions_destroy(&Actions);
    ::close(Ends[1]);
    Output = Ends[0];
    REQUIRE(Failure == 0);
    return Pid;
  }

  /// Serves the API until the output ends. Returns false if it does not end in
  /// time.
  bool readAll(int Output, std::string &Text) {
    auto KeepAwake = Timers.every(fromMilliseconds(5), [] {});
    for (time_point Start = Timers.now(); Timers.now() - Start < RunTimeout;) {
      Loop.runOnce();
      std::array<char, 4096> Buffer{};
      ssize_t Size = ::read(Output, Buffer.data(), Buffer.size());
      if (Size == 0)
        return true;
      if (Size > 0)
        Text.append(Buffer.data(), static_cast<std::size_t>(Size));
    }
    return false;
  }

  temporary_folder Folder;
  event_loop Loop;
  timer_service Timers{Loop};
  metrics Metrics;
  tracer Tracer;
  daemon_context Context{Loop, Timers, Metrics, Tracer, {}};
  control_state InForce;
  std::unique_ptr<http_server> Server;
};

/// A configuration without findings.
json makeConfiguration() {
  return json::parse(R"({"version":8,
    "routes":[{"name":"r1","host":"db1","path_prefix":"/",
      "route_kind":"read_your_writes","timeout_ms":800,
      "target_latency_ms":400,"priority":2,"service":"s1","max_attempts":2,
      "max_staleness_ms":2500}],
    "services":[{"name":"s1","health_path":"/health","max_conns":24,
      "protocol":"h1","tls":false,"sync_replicas":1}],
    "tenants":[{"name":"o1","api_keys":["s3cret-1"],"rate_per_s":100}],
    "limits":{"tx_idle_ms":3000}})");
}

json makeConfigurationWithWarning() {
  auto Configuration = makeConfiguration();
  Configuration["tenants"][0]["burst"] = 5;
  return Configuration;
}

json makeConfigurationWithError() {
  auto Configuration = makeConfigurationWithWarning();
  Configuration["tenants"].push_back(
      {{"name", "o2"}, {"api_keys", {"s3cret-1"}}});
  return Configuration;
}

bool contains(const tool_result &Result, const std::string &Text) {
  return Result.Text.find(Text) != std::string::npos;
}

} // namespace

// Guards against exit codes that scripts can't rely on, and against a check
// that needs a VM although it compares with none.
TEST_CASE("check command: exit codes tell what was found") {
  check_fixture Fixture;
  auto Clean = Fixture.check(makeConfiguration().dump());
  CHECK(Clean.ExitCode == 0);
  CHECK(Clean.Text == "nothing found\n");
  auto Warned = Fixture.check(makeConfigurationWithWarning().dump());
  CHECK(Warned.ExitCode == 1);
  CHECK(contains(Warned, "warning: organisation o1: the burst of 5 is below"));
  auto Refused = Fixture.check(makeConfigurationWithError().dump());
  CHECK(Refused.ExitCode == 2);
  CHECK(contains(Refused, "error: organisation o2: shares a key with o1\n"));
  CHECK(contains(Refused, "warning: organisation o1: "));
  auto Malformed = Fixture.check("{\"version\":7,}");
  CHECK(Malformed.ExitCode == 2);
  CHECK(Malformed.Text == "error: line 1, column 14: is not valid JSON\n");
  CHECK(Fixture.Requests.empty());
}

// Guards against a check that could not be made and that scripts take for one
// with findings.
TEST_CASE("check command: exit code 3 tells that nothing was checked") {
  check_fixture Fixture;
  CHECK(Fixture.run({"check", "/no/such/file"}).ExitCode == 3);
  CHECK(Fixture.run({"check", "/"}).ExitCode == 3);
  CHECK(Fixture.run({"check"}).ExitCode == 3);
  CHECK(Fixture.run({"check", "x", "--no-such-option"}).ExitCode == 3);
  CHECK(Fixture.check("{}", {"--vm", "nowhere"}).ExitCode == 3);
  CHECK(Fixture.run({"check", "--help"}).ExitCode == 0);
}

// Guards against a configuration that control refuses for its size alone.
TEST_CASE("check command: a file that is too long is an error") {
  check_fixture Fixture;
  auto Text = makeConfiguration().dump();
  Text.append(MaxRequestBodyBytes - Text.size(), ' ');
  CHECK(Fixture.check(Text).ExitCode == 0);
  auto Result = Fixture.check(Text + " ");
  CHECK(Result.ExitCode == 2);
  CHECK(contains(Result, "error: file: is longer than 16777216 bytes"));
}

// Guards against differences that are not found or are counted as findings.
TEST_CASE("check command: differences from the version in force are printed") {
  check_fixture Fixture;
  Fixture.putInForce(makeConfiguration());
  auto Next = makeConfiguration();
  Next["version"] = 9;
  Next["routes"][0]["timeout_ms"] = 900;
  Next["tenants"][0]["api_keys"] = {"s3cret-2"};
  const std::vector<std::string> Options = {"--against-current", "--vm",
                                            Fixture.address()};
  auto Result = Fixture.check(Next.dump(), Options);
  CHECK(Result.ExitCode == 0);
  CHECK(Result.Text == "~ deployment version: 8 -> 9\n"
                       "~ route r1 timeout_ms: 800 -> 900\n"
                       "- key 6d837e5f: organisation=o1\n"
                       "+ key a0915fbc: organisation=o1\n"
                       "nothing found\n");
  CHECK(Fixture.Requests == std::vector<std::string>{"GET /v1/deployment"});
  auto Same = Fixture.check(makeConfiguration().dump(), Options);
  CHECK(Same.ExitCode == 1);
  CHECK(Same.Text == "warning: version: 8 is not above the version in force, "
                     "8: control would ignore it\n");
}

// Guards against findings that are lost because no VM answers, and against
// unknown differences that look like none.
TEST_CASE("check command: findings are printed although the version in force "
          "is not known") {
  check_fixture Fixture;
  auto Text = makeConfigurationWithError().dump();
  auto Unreachable =
      Fixture.check(Text, {"--against-current", "--vm", UnreachableVm});
  CHECK(Unreachable.ExitCode == 3);
  CHECK(contains(Unreachable, "error: organisation o2: shares a key with o1"));
  CHECK(contains(Unreachable, "warning: organisation o1: the burst of 5"));
  CHECK(contains(Unreachable,
                 "the differences from the version in force are not known"));
  Fixture.Status = 401;
  auto Rejected =
      Fixture.check(Text, {"--against-current", "--vm", Fixture.address()});
  CHECK(Rejected.ExitCode == 3);
  CHECK(contains(Rejected, "status 401"));
}

// Guards against output that programs can't read.
TEST_CASE("check command: --json prints one document") {
  check_fixture Fixture;
  Fixture.putInForce(makeConfiguration());
  auto Next = makeConfigurationWithError();
  Next["version"] = 9;
  auto Result = Fixture.check(
      Next.dump(), {"--json", "--against-current", "--vm", Fixture.address()});
  CHECK(Result.ExitCode == 2);
  auto Json = json::parse(Result.Text);
  CHECK(Json["errors"] == json{{{"location", "organisation o2"},
                                {"reason", "shares a key with o1"}}});
  REQUIRE(Json["warnings"].size() == 1);
  CHECK(Json["warnings"][0]["location"] == "organisation o1");
  CHECK(Json["warnings"][0]["reason"].is_string());
  CHECK(Json["differences_known"] == true);
  CHECK(Json["differences"][0] == json({{"location", "deployment version"},
                                        {"before", "8"},
                                        {"after", "9"}}));
  auto Unknown = Fixture.check(
      Next.dump(), {"--json", "--against-current", "--vm", UnreachableVm});
  CHECK(Unknown.ExitCode == 3);
  Json = json::parse(Unknown.Text);
  CHECK(Json["errors"].size() == 1);
  CHECK(Json["differences"].empty());
  CHECK(Json["differences_known"] == false);
  CHECK(Json["failure"].is_string());
}

// Guards against keys in terminals and in the logs of pipelines.
TEST_CASE("check command: no output contains a key") {
  check_fixture Fixture;
  Fixture.putInForce(makeConfiguration());
  auto Next = makeConfigurationWithError();
  Next["tenants"][0]["api_keys"].push_back("s3cret-2");
  Next["tenants"][0]["api_key"] = "s3cret-3";
  auto Malformed = Next;
  Malformed["tenants"][1]["api_keys"] = {"s3cret-4", 5};
  auto Text = Next.dump();
  for (const auto &File :
       {Text, Malformed.dump(), Text.substr(0, Text.find("s3cret-2") + 4)})
    for (const char *Json : {"--json", "--json=false"})
      for (const auto &Vm : {Fixture.address(), std::string(UnreachableVm)}) {
        auto Result =
            Fixture.check(File, {Json, "--against-current", "--vm", Vm});
        CHECK_FALSE(Result.Text.empty());
        CHECK_FALSE(contains(Result, "s3cret"));
      }
}
