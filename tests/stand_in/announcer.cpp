#include "tests/stand_in/announcer.h"
#include "core/error.h"
#include "core/event_log.h"

#include <nlohmann/json.hpp>

namespace teasellock::stand_in {

namespace {

constexpr duration AnnouncePeriod = std::chrono::seconds(1);
constexpr duration AnnounceTimeout = std::chrono::milliseconds(900);

std::string announcement(const server &Server) {
  const server_options &Options = Server.options();
  return nlohmann::json{{"group", Options.Group.Value},
                        {"upstream", Options.Name.Value},
                        {"address", toString(Server.listenEndpoint())},
                        {"availability_zone", Options.AvailabilityZone.Value},
                        {"region", Options.Region.Value},
                        {"slots", Options.Slots},
                        {"connections", Options.Connections},
                        {"state", Server.isLeaving() ? "leaving" : "serving"}}
      .dump();
}

std::string httpRequest(const endpoint &To, const std::string &Body) {
  return "POST /v1/announce HTTP/1.1\r\nHost: " + toString(To) +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\nConnection: close\r\n\r\n" + Body;
}

} // namespace

struct announcer::request {
  request(event_loop &Loop, int Descriptor) : Connection(Loop, Descriptor) {}

  connection Connection;
  timer_subscription Timeout;
};

announcer::announcer(server &Server) : Server(Server) {
  Timer = Server.timers().every(AnnouncePeriod, [this] { announce(); });
  announce();
}

announcer::~announcer() = default;

void announcer::announce() {
  if (Server.isFrozen())
    return;
  std::string Body = announcement(Server);
  for (const endpoint &To : Server.options().AnnounceTo)
    post(To, Body);
}

void announcer::post(const endpoint &To, const std::string &Body) {
  std::uint64_t Id = ++LastRequest;
  auto End = [this, Id] {
    Server.loop().post([this, Id] { Requests.erase(Id); });
  };
  try {
    auto &Request = Requests[Id];
    Request = std::make_unique<request>(Server.loop(), connectTo(To));
    Request->Connection.start([] {}, End);
    Request->Connection.output() = httpRequest(To, Body);
    Request->Connection.flush();
    Request->Timeout = Server.timers().after(AnnounceTimeout, End);
  } catch (const error &Error) {
    Requests.erase(Id);
    event("announce.failed", severity::Warning)
        .with("to", toString(To))
        .with("reason", Error.reason());
  }
}

} // namespace teasellock::stand_in
