#include "bench/bench_settings.h"
#include "core/error.h"

#include <cstdlib>

namespace teasellock::bench {

namespace {

duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

std::pair<std::string, double> parseReadKind(const std::string &Text) {
  std::size_t Equals = Text.find('=');
  double Share = Equals == std::string::npos
                     ? 0
                     : std::strtod(Text.c_str() + Equals + 1, nullptr);
  if (Share <= 0)
    throw error("settings.read", Text, "--read-kinds takes name=share");
  return {Text.substr(0, Equals), Share};
}

std::vector<endpoint> parseAll(const std::vector<std::string> &Texts) {
  std::vector<endpoint> Endpoints;
  for (const std::string &Text : Texts)
    Endpoints.push_back(parseEndpoint(Text));
  return Endpoints;
}

} // namespace

void declareFlags(CLI::App &App, bench_flags &Flags) {
  App.add_option("--target", Flags.Targets, "entry, ip:port; repeatable");
  App.add_option("--direct", Flags.Direct,
                 "upstream, ip:port, loaded before the entries for comparison");
  App.add_option("--direct-connections", Flags.DirectConnections);
  App.add_option("--group", Flags.Groups, "database group; repeatable")
      ->required();
  App.add_option("--connections", Flags.Connections,
                 "number of concurrent sessions");
  App.add_option("--seconds", Flags.Seconds, "length of each phase");
  App.add_option("--write-share", Flags.WriteShare);
  App.add_option("--charge-share", Flags.ChargeShare,
                 "share of writes that increment a counter");
  App.add_option("--read-kinds", Flags.ReadKinds, "name=share; repeatable");
  App.add_option("--roam-share", Flags.RoamShare,
                 "share of sessions that move between targets");
  App.add_option("--timeout-ms", Flags.TimeoutMs, "timeout of one answer");
  App.add_option("--idle", Flags.Idle, "idle connections to open");
  App.add_option("--entry-pid", Flags.EntryPid,
                 "process whose memory is measured for --idle");
  App.add_option("--pause-at", Flags.PauseAt, "second at which load pauses");
  App.add_option("--pause-seconds", Flags.PauseSeconds);
  App.add_option("--metrics", Flags.Metrics,
                 "ip:port of a daemon's HTTP API; repeatable");
  App.add_flag("--watch-gap", Flags.WatchGap,
               "one writer per group at a fixed rate that measures gaps");
  App.add_option("--gap-pace-ms", Flags.GapPaceMs);
  App.add_option("--gap-attempt-ms", Flags.GapAttemptMs,
                 "a write without an answer after this time has failed");
  App.add_option("--gap-late-ms", Flags.GapLateMs,
                 "a write that takes longer opens a gap");
  App.add_option("--gap-after-ms", Flags.GapAfterMs,
                 "gaps that end earlier do not count");
  App.add_option("--seed", Flags.Seed);
  App.add_option("--csv", Flags.Csv, "file for per-second statistics");
}

bench_settings toSettings(const bench_flags &Flags) {
  if (Flags.Targets.empty() && Flags.Direct.empty())
    throw error("settings.read", "--target", "a target or --direct is needed");
  bench_settings Settings;
  phase_settings &Phase = Settings.Phase;
  Phase.Name = "entry";
  Phase.Targets = parseAll(Flags.Targets);
  Phase.Groups = Flags.Groups;
  Phase.Connections = Flags.Connections;
  Phase.Duration = fromSeconds(Flags.Seconds);
  Phase.Mix.WriteShare = Flags.WriteShare;
  Phase.Mix.ChargeShare = Flags.ChargeShare;
  if (!Flags.ReadKinds.empty())
    Phase.Mix.ReadKinds.clear();
  for (const std::string &Kind : Flags.ReadKinds)
    Phase.Mix.ReadKinds.push_back(parseReadKind(Kind));
  Phase.RoamShare = Flags.RoamShare;
  Phase.StatementTimeout = fromMilliseconds(Flags.TimeoutMs);
  Phase.Seed = Flags.Seed;
  Phase.PauseAt = fromSeconds(Flags.PauseAt);
  Phase.PauseDuration = fromSeconds(Flags.PauseSeconds);
  Phase.TrackGaps = Flags.WatchGap;
  Phase.GapWriteInterval = fromMilliseconds(Flags.GapPaceMs);
  Phase.GapWriteTimeout = fromMilliseconds(Flags.GapAttemptMs);
  Phase.GapLateThreshold = fromMilliseconds(Flags.GapLateMs);
  Phase.GapCountingDelay = fromMilliseconds(Flags.GapAfterMs);
  if (!Flags.Direct.empty())
    Settings.Direct = parseEndpoint(Flags.Direct);
  Settings.DirectConnections = Flags.DirectConnections;
  Settings.Metrics = parseAll(Flags.Metrics);
  Settings.Idle = Flags.Idle;
  Settings.EntryPid = Flags.EntryPid;
  Settings.Csv = Flags.Csv;
  return Settings;
}

} // namespace teasellock::bench
