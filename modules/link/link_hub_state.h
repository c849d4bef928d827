/// The inside of the link hub, shared by its sources.
#pragma once

#include "core/error.h"
#include "modules/link/dial_schedule.h"
#include "modules/link/gen/link_messages_types.h"
#include "modules/link/link_hub.h"

#include <map>

namespace teasellock {

/// Kinds of frames that the hub itself uses.
constexpr std::int16_t HeartbeatKind = 1;
constexpr std::int16_t HelloKind = 2;
/// Asks the peer to watch the link closely, as any message does.
constexpr std::int16_t WakeKind = 3;

struct link_hub::state {
  /// One link; Socket is -1 while a dialled link is down.
  struct link {
    link_id Id;
    bool Dialled = false;
    endpoint Target;
    std::string PeerName;
    int Socket = -1;
    bool Connecting = false;
    bool Open = false;
    link_peer Peer;
    descriptor_watch Watch;
    std::string In;
    std::string Out;
    std::size_t OutStart = 0;
    link_pulse Pulse;
    dial_schedule Schedule;
    /// The next dial, or the end of the time for the present one.
    timer_subscription Redial;
    bool FlushPosted = false;
  };

  struct receiver {
    std::int16_t First;
    std::int16_t Last;
    std::function<void(link_id, link_message &&)> Deliver;
  };

  /// Guards posted callbacks against outliving this object.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  daemon_context &Context;
  link_settings Settings;
  std::map<link_id, std::unique_ptr<link>> Links;
  std::map<endpoint, link_id> Dialled;
  std::vector<receiver> Receivers;
  std::vector<link_events> Watchers;
  std::uint64_t LastLink = 0;
  std::uint64_t LastRequest = 0;
  int Listener = -1;
  descriptor_watch ListenerWatch;
  timer_subscription Heartbeats;
  counter &BytesIn;
  counter &BytesOut;
  counter &Broken;

  state(daemon_context &Context, link_settings Settings)
      : Context(Context), Settings(Settings),
        BytesIn(Context.Metrics.counterOf("teasellock_link_bytes_total",
                                          {{"direction", "in"}})),
        BytesOut(Context.Metrics.counterOf("teasellock_link_bytes_total",
                                           {{"direction", "out"}})),
        Broken(Context.Metrics.counterOf("teasellock_link_broken_total")) {}

  link *find(link_id Id) {
    auto Found = Links.find(Id);
    return Found == Links.end() ? nullptr : Found->second.get();
  }

  link &addLink(bool IsDialled);
  void accept();
  void dial(link &Link);
  void scheduleRedial(link &Link);
  void begin(link &Link);
  void onReady(link_id Id, readiness Ready);
  void finishConnect(link &Link);
  void readFrom(link &Link);
  void takeFrames(link_id Id);
  void deliver(link &Link, wire::envelope &&Envelope);
  void queue(link &Link, const wire::envelope &Envelope);
  void flush(link &Link);
  void breakLink(link_id Id, const error &Problem);
  void wakeIdle(time_point Now);
  void heartbeat();
};

} // namespace teasellock
