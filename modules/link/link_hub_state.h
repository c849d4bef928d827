/// The implementation of the link hub, shared by its source files.
#pragma once

#include "core/error.h"
#include "modules/link/dial_schedule.h"
#include "modules/link/gen/link_messages_types.h"
#include "modules/link/link_frames.h"
#include "modules/link/link_hub.h"
#include "modules/link/link_traffic.h"

#include <map>

namespace teasellock {

/// Message kinds that the hub itself uses.
constexpr std::int16_t HeartbeatKind = 1;
constexpr std::int16_t HelloKind = 2;
/// Makes the link active at the peer too, as any message does; see
/// link_heartbeat.h. It has no body.
constexpr std::int16_t WakeKind = 3;

struct link_hub::state {
  /// A link. Socket is -1 while a dialled link has no connection.
  struct link {
    link_id Id;
    bool IsDialled = false;
    /// Dialled for as long as the process runs, whatever the number of users.
    bool IsPermanent = false;
    /// Calls of retainLink() that have not been released.
    std::uint32_t Users = 0;
    endpoint Target;
    std::string PeerName;
    int Socket = -1;
    bool IsConnecting = false;
    bool IsOpen = false;
    link_peer Peer;
    descriptor_watch Watch;
    /// How far the peer is according to its hello.
    distance Distance = distance::OtherRegion;
    frame_decoder Decoder;
    frame_encoder Encoder;
    /// Encoded frames, of which WriteOffset bytes have been written.
    std::string WriteBuffer;
    std::size_t WriteOffset = 0;
    heartbeat_state Heartbeat;
    dial_schedule Schedule;
    /// Starts the next dial, or aborts the current one at its timeout.
    timer_subscription DialTimer;
    bool FlushPosted = false;
  };

  struct receiver {
    std::int16_t First;
    std::int16_t Last;
    std::function<void(link_id, link_message &&)> Deliver;
  };

  /// Lets posted callbacks detect that this object has been destroyed.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
  daemon_context &Context;
  link_settings Settings;
  std::map<link_id, std::unique_ptr<link>> Links;
  /// The dialled links by endpoint.
  std::map<endpoint, link_id> DialledLinks;
  std::vector<receiver> Receivers;
  std::vector<link_events> Watchers;
  std::uint64_t LastLinkId = 0;
  std::uint64_t LastRequestId = 0;
  int Listener = -1;
  descriptor_watch ListenerWatch;
  timer_subscription HeartbeatTimer;
  counter &BytesIn;
  counter &BytesOut;
  counter &BrokenLinks;
  link_traffic Traffic;

  state(daemon_context &Context, link_settings Settings)
      : Context(Context), Settings(Settings),
        BytesIn(Context.Metrics.counterOf("teasellock_link_bytes_total",
                                          {{"direction", "in"}})),
        BytesOut(Context.Metrics.counterOf("teasellock_link_bytes_total",
                                           {{"direction", "out"}})),
        BrokenLinks(Context.Metrics.counterOf("teasellock_link_broken_total")),
        Traffic(Context.Metrics) {}

  link *find(link_id Id) {
    auto Found = Links.find(Id);
    return Found == Links.end() ? nullptr : Found->second.get();
  }

  link &addLink(bool IsDialled);
  link &dialledLink(const endpoint &Endpoint);
  void accept();
  void dial(link &Link);
  void startDial(link &Link);
  void scheduleRedial(link &Link);
  void startHandshake(link &Link);
  void onReady(link_id Id, readiness Ready);
  void finishConnect(link &Link);
  void readFrom(link &Link);
  void processFrames(link_id Id);
  void deliver(link &Link, wire::envelope &&Envelope);
  void onHello(link &Link, const wire::hello &Hello);
  void queue(link &Link, const wire::envelope &Envelope,
             bool IsCompressible = false);
  void scheduleFlush(link &Link);
  void endIdleStreams(time_point Now);
  void flush(link &Link);
  void breakLink(link_id Id, const error &Problem);
  void activateIdleLinks(time_point Now);
  void checkHeartbeats();
};

} // namespace teasellock
