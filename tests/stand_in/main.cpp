#include "core/error.h"
#include "core/event_log.h"
#include "tests/stand_in/announcer.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

using namespace teasellock;
using namespace teasellock::stand_in;

namespace {

struct command_line {
  std::string Group, Name, Listen = "127.0.0.1:0", ControlListen;
  std::string AvailabilityZone, Region, Follow, LogLevel = "info";
  std::vector<std::string> AnnounceTo;
  int Slots = 3;
  int Connections = 25;
  std::int64_t LagMs = 0;
  std::int64_t ConnectMs = 12;
  std::int64_t StatementUs = 0;
  bool Primary = false;
};

void declareFlags(CLI::App &App, command_line &Line) {
  App.add_option("--group", Line.Group, "database group")->required();
  App.add_option("--name", Line.Name, "name of this upstream")->required();
  App.add_option("--listen", Line.Listen, "ip:port of the SQL port; 0: any");
  App.add_option("--control-listen", Line.ControlListen,
                 "ip:port of the port for control commands");
  App.add_option("--availability-zone", Line.AvailabilityZone);
  App.add_option("--region", Line.Region);
  App.add_option("--slots", Line.Slots, "statements run at the same time");
  App.add_option("--connections", Line.Connections, "connection limit");
  App.add_option("--lag-ms", Line.LagMs, "delay before a replica applies");
  App.add_option("--connect-ms", Line.ConnectMs, "time to open a connection");
  App.add_option("--statement-us", Line.StatementUs,
                 "service time of a statement");
  App.add_option("--announce-to", Line.AnnounceTo, "ip:port, repeatable");
  App.add_option("--log-level", Line.LogLevel);
  auto *Role = App.add_option_group("role");
  Role->add_flag("--primary-of", Line.Primary, "start as primary of term 1");
  Role->add_option("--follow", Line.Follow, "start as replica of ip:port");
  Role->require_option(1);
}

server_options toOptions(const command_line &Line) {
  server_options Options;
  Options.Group = group_id(Line.Group);
  Options.Name = upstream_id(Line.Name);
  Options.Listen = parseEndpoint(Line.Listen);
  if (!Line.ControlListen.empty())
    Options.ControlListen = parseEndpoint(Line.ControlListen);
  Options.AvailabilityZone = availability_zone_id(Line.AvailabilityZone);
  Options.Region = region_id(Line.Region);
  Options.Slots = Line.Slots;
  Options.Connections = Line.Connections;
  Options.Lag = fromMilliseconds(Line.LagMs);
  Options.ConnectTime = fromMilliseconds(Line.ConnectMs);
  Options.StatementTime = duration(Line.StatementUs);
  for (const std::string &To : Line.AnnounceTo)
    Options.AnnounceTo.push_back(parseEndpoint(To));
  if (!Line.Follow.empty())
    Options.FollowPrimary = parseEndpoint(Line.Follow);
  return Options;
}

void serve(const server_options &Options) {
  event_loop Loop;
  timer_service Timers(Loop);
  server Server(Loop, Timers, Options);
  std::cout << "listening=" << toString(Server.listenEndpoint()) << std::endl;
  if (Options.ControlListen)
    std::cout << "control_listening=" << toString(Server.controlEndpoint())
              << std::endl;
  announcer Announcer(Server);
  Loop.onSignal(SIGTERM, [&Loop] { Loop.stop(); });
  Loop.onSignal(SIGINT, [&Loop] { Loop.stop(); });
  Loop.run();
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("An in-memory PostgreSQL-style upstream, for tests.");
  command_line Line;
  declareFlags(App, Line);
  CLI11_PARSE(App, Count, Arguments);
  try {
    startEventLog(parseSeverity(Line.LogLevel));
    serve(toOptions(Line));
  } catch (const error &Error) {
    std::cerr << Error.what() << std::endl;
    return 1;
  }
  return 0;
}
