#pragma once

#include "core/timer_service.h"
#include "tests/stand_in/server.h"

#include <memory>

namespace teasellock::stand_in {

/// Announces an upstream to control periodically over HTTP, as the platform
/// does.
class announcer {
public:
  announcer(server &Server);
  ~announcer();

private:
  struct request;

  void announce();
  void post(const endpoint &To, const std::string &Body);

  server &Server;
  timer_subscription Timer;
  std::map<std::uint64_t, std::unique_ptr<request>> Requests;
  std::uint64_t LastRequest = 0;
};

} // namespace teasellock::stand_in
