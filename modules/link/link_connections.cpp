#include "core/event_log.h"
#include "modules/link/codec.h"
#include "modules/link/link_hub_state.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teasellock {

namespace {

constexpr std::int32_t ProtocolVersion = 1;
constexpr std::size_t ReadBufferBytes = 64 * 1024;

int createSocket(const std::string &Step, const std::string &Peer) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    throw error(Step, Peer, std::strerror(errno));
  return Socket;
}

void disableNagle(int Socket) {
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

} // namespace

link_hub::state::link &link_hub::state::addLink(bool IsDialled) {
  auto Link = std::make_unique<link>();
  Link->Id = link_id(++LastLinkId);
  Link->IsDialled = IsDialled;
  auto &Result = *Link;
  Links[Result.Id] = std::move(Link);
  return Result;
}

void link_hub::state::accept() {
  for (;;) {
    sockaddr_in Address = {};
    socklen_t Length = sizeof(Address);
    int Socket = ::accept4(Listener, reinterpret_cast<sockaddr *>(&Address),
                           &Length, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Socket < 0)
      return;
    char Text[INET_ADDRSTRLEN] = {};
    ::inet_ntop(AF_INET, &Address.sin_addr, Text, sizeof(Text));
    auto &Link = addLink(false);
    Link.PeerName =
        std::string(Text) + ":" + std::to_string(ntohs(Address.sin_port));
    Link.Socket = Socket;
    startHandshake(Link);
  }
}

void link_hub::state::dial(link &Link) {
  Link.PeerName = toString(Link.Target);
  try {
    startDial(Link);
  } catch (const error &Problem) {
    // Without a free descriptor, say. The caller must not fail for it.
    event("link.dial_failed", severity::Warning)
        .with("peer", Link.PeerName)
        .with("reason", Problem.reason());
    scheduleRedial(Link);
  }
}

void link_hub::state::startDial(link &Link) {
  Link.Socket = createSocket("link.dial", Link.PeerName);
  sockaddr_in Address = toSocketAddress(Link.Target);
  int Status = ::connect(Link.Socket, reinterpret_cast<sockaddr *>(&Address),
                         sizeof(Address));
  if (Status < 0 && errno != EINPROGRESS) {
    ::close(Link.Socket);
    Link.Socket = -1;
    scheduleRedial(Link);
    return;
  }
  Link.IsConnecting = true;
  Link.Watch = Context.Loop.watch(
      Link.Socket, {false, true},
      [this, Id = Link.Id](readiness Ready) { onReady(Id, Ready); });
  Link.DialTimer = Context.Timers.after(Link.Schedule.Timeout, [this,
                                                                Id = Link.Id] {
    if (auto *Found = find(Id); Found && Found->IsConnecting)
      breakLink(Id, error("link.dial", Found->PeerName, "no answer in time"));
  });
}

void link_hub::state::scheduleRedial(link &Link) {
  duration Wait = backOffDial(Link.Schedule);
  Link.DialTimer = Context.Timers.after(Wait, [this, Id = Link.Id] {
    if (auto *Found = find(Id))
      dial(*Found);
  });
}

void link_hub::state::startHandshake(link &Link) {
  disableNagle(Link.Socket);
  time_point Now = Context.Timers.now();
  Link.Heartbeat = {Now, Now, Now, Now};
  Link.Watch = Context.Loop.watch(
      Link.Socket, {true, false},
      [this, Id = Link.Id](readiness Ready) { onReady(Id, Ready); });
  wire::hello Hello;
  Hello.vm = Context.Self.Vm.Value;
  Hello.incarnation = static_cast<std::int64_t>(Context.Self.Incarnation.Value);
  Hello.protocol = ProtocolVersion;
  Hello.availability_zone = Context.Self.AvailabilityZone.Value;
  Hello.region = Context.Self.Region.Value;
  Hello.accepts_compression = true;
  wire::envelope Envelope;
  Envelope.kind = HelloKind;
  Envelope.body = encode(Hello);
  queue(Link, Envelope);
}

void link_hub::state::onReady(link_id Id, readiness Ready) {
  try {
    if (auto *Link = find(Id); Link && Link->IsConnecting)
      return finishConnect(*Link);
    if (auto *Link = find(Id); Link && Ready.Readable) {
      readFrom(*Link);
      processFrames(Id);
    }
    if (auto *Link = find(Id); Link && Link->Socket >= 0 && Ready.Writable)
      flush(*Link);
  } catch (const error &Problem) {
    breakLink(Id, Problem);
  } catch (const std::exception &Problem) {
    // A message that its receiver can't handle ends its own link only.
    const auto *Link = find(Id);
    breakLink(
        Id, error("link.receive", Link ? Link->PeerName : "", Problem.what()));
  }
}

void link_hub::state::finishConnect(link &Link) {
  int Status = 0;
  socklen_t Length = sizeof(Status);
  ::getsockopt(Link.Socket, SOL_SOCKET, SO_ERROR, &Status, &Length);
  if (Status != 0)
    throw error("link.dial", Link.PeerName, std::strerror(Status));
  Link.IsConnecting = false;
  startHandshake(Link);
}

void link_hub::state::readFrom(link &Link) {
  char Buffer[ReadBufferBytes];
  for (;;) {
    ssize_t Count = ::recv(Link.Socket, Buffer, sizeof(Buffer), 0);
    if (Count > 0) {
      addReceived(Link.Decoder, {Buffer, static_cast<std::size_t>(Count)});
      Link.Heartbeat.LastReceivedAt = Context.Timers.now();
      BytesIn.add(static_cast<std::uint64_t>(Count));
      if (static_cast<std::size_t>(Count) < sizeof(Buffer))
        return;
      continue;
    }
    if (Count == 0)
      throw error("link.read", Link.PeerName, "closed by peer");
    if (errno == EAGAIN || errno == EWOULDBLOCK)
      return;
    if (errno != EINTR)
      throw error("link.read", Link.PeerName, std::strerror(errno));
  }
}

void link_hub::state::processFrames(link_id Id) {
  for (;;) {
    // A receiver may have closed the link, so it is looked up again each time.
    auto *Link = find(Id);
    if (!Link || Link->Socket < 0)
      return;
    auto Envelope = nextFrame(Link->Decoder, Link->PeerName);
    if (!Envelope)
      return;
    deliver(*Link, std::move(*Envelope));
  }
}

void link_hub::state::onHello(link &Link, const wire::hello &Hello) {
  if (Hello.protocol != ProtocolVersion)
    throw error("link.hello", Link.PeerName,
                "unsupported protocol version " +
                    std::to_string(Hello.protocol));
  Link.Peer.Vm = vm_id(Hello.vm);
  Link.Peer.Incarnation =
      incarnation(static_cast<std::uint64_t>(Hello.incarnation));
  Link.Distance =
      distanceTo(Context.Self, availability_zone_id(Hello.availability_zone),
                 region_id(Hello.region));
  Link.Encoder.Compresses = Hello.accepts_compression &&
                            Settings.CompressBetweenZones &&
                            Link.Distance > distance::SameZone;
  Link.IsOpen = true;
  resetDialSchedule(Link.Schedule);
  event("link.opened", severity::Debug)
      .with("peer", Link.PeerName)
      .with("vm", Hello.vm);
  auto Id = Link.Id;
  auto Peer = Link.Peer;
  for (auto &Watcher : Watchers)
    if (Watcher.Opened)
      Watcher.Opened(Id, Peer);
}

void link_hub::state::deliver(link &Link, wire::envelope &&Envelope) {
  if (Envelope.kind == HeartbeatKind)
    return;
  if (Envelope.kind == HelloKind)
    return onHello(Link, decode<wire::hello>(Envelope.body, Link.PeerName));
  if (!Link.IsOpen)
    throw error("link.hello", Link.PeerName, "message before hello");
  recordMessage(Link.Heartbeat, Settings.Heartbeat, Context.Timers.now());
  if (Envelope.kind == WakeKind)
    return;
  link_message Message{message_kind(Envelope.kind),
                       request_id(static_cast<std::uint64_t>(Envelope.request)),
                       std::move(Envelope.body),
                       std::move(Envelope.trace_parent)};
  for (auto &Receiver : Receivers)
    if (Envelope.kind >= Receiver.First && Envelope.kind <= Receiver.Last)
      return Receiver.Deliver(Link.Id, std::move(Message));
  throw error("link.read", Link.PeerName,
              "unknown message kind " + std::to_string(Envelope.kind));
}

void link_hub::state::queue(link &Link, const wire::envelope &Envelope,
                            bool IsCompressible) {
  Link.Heartbeat.LastSentAt = Context.Timers.now();
  std::size_t Bytes = addFrame(Link.Encoder, Envelope, IsCompressible);
  Traffic.countMessage(Envelope.kind, Link.Distance, Bytes);
  std::size_t Backlog =
      Link.Encoder.Pending.size() + Link.WriteBuffer.size() - Link.WriteOffset;
  if (Backlog <= Settings.MaxBacklogBytes)
    return scheduleFlush(Link);
  Context.Loop.post([this, Guard = std::weak_ptr<bool>(Alive), Id = Link.Id,
                     Peer = Link.PeerName] {
    if (!Guard.expired())
      breakLink(Id, error("link.write", Peer,
                          "peer takes no data: write buffer limit exceeded"));
  });
}

/// All frames of this turn of the event loop are sent by one write.
void link_hub::state::scheduleFlush(link &Link) {
  if (Link.FlushPosted)
    return;
  Link.FlushPosted = true;
  Context.Loop.post([this, Guard = std::weak_ptr<bool>(Alive), Id = Link.Id] {
    if (Guard.expired())
      return;
    auto *Found = find(Id);
    if (!Found || Found->Socket < 0)
      return;
    try {
      flush(*Found);
    } catch (const error &Problem) {
      breakLink(Id, Problem);
    }
  });
}

void link_hub::state::flush(link &Link) {
  Link.FlushPosted = false;
  Link.WriteBuffer += takeFrames(Link.Encoder);
  while (Link.WriteOffset < Link.WriteBuffer.size()) {
    ssize_t Count =
        ::send(Link.Socket, Link.WriteBuffer.data() + Link.WriteOffset,
               Link.WriteBuffer.size() - Link.WriteOffset, MSG_NOSIGNAL);
    if (Count > 0) {
      Link.WriteOffset += static_cast<std::size_t>(Count);
      BytesOut.add(static_cast<std::uint64_t>(Count));
      Traffic.countSent(Link.Distance, static_cast<std::size_t>(Count));
      continue;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      Link.Watch.setInterest({true, true});
      return;
    }
    if (errno != EINTR)
      throw error("link.write", Link.PeerName, std::strerror(errno));
  }
  Link.WriteBuffer.clear();
  Link.WriteOffset = 0;
  Link.Watch.setInterest({true, false});
}

} // namespace teasellock
