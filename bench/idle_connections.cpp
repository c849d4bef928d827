#include "bench/idle_connections.h"

namespace teasellock::bench {

namespace {

constexpr std::size_t MaxConcurrentConnects = 50;
constexpr duration ConnectTimeout = std::chrono::seconds(10);

} // namespace

idle_connections::idle_connections(event_loop &Loop, timer_service &Timers,
                                   std::vector<endpoint> Targets,
                                   std::string Group)
    : Loop(Loop), Timers(Timers), Targets(std::move(Targets)),
      Group(std::move(Group)) {}

void idle_connections::open(std::size_t Count,
                            std::function<void()> AllAttempted) {
  RequestedCount = Count;
  Done = std::move(AllAttempted);
  if (RequestedCount == 0)
    return Done();
  for (std::size_t Index = 0; Index < MaxConcurrentConnects; ++Index)
    openNext();
}

void idle_connections::openNext() {
  if (Clients.size() >= RequestedCount)
    return;
  Clients.push_back(std::make_unique<sql_client>(Loop, Timers));
  connect_request Request;
  Request.Target = Targets[Clients.size() % Targets.size()];
  Request.Database = Group;
  Request.ApplicationName = "teasellock_bench_idle";
  Clients.back()->connect(Request, ConnectTimeout,
                          [this](bool Ok, const std::string &) {
                            ++(Ok ? Opened : Failed);
                            if (Opened + Failed == RequestedCount)
                              Done();
                            else
                              Loop.post([this] { openNext(); });
                          });
}

} // namespace teasellock::bench
