#include "modules/link/link_hub.h"

#include "core/event_log.h"
#include "core/listen_socket.h"
#include "modules/link/codec.h"
#include "modules/link/dial_schedule.h"
#include "modules/link/gen/link_messages_types.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace teasellock {

namespace {

constexpr std::int16_t HeartbeatKind = 1;
constexpr std::int16_t HelloKind = 2;
/// Asks the peer to watch the link closely, as any message does.
constexpr std::int16_t WakeKind = 3;
constexpr std::int32_t ProtocolVersion = 1;
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t ReadBytes = 64 * 1024;
constexpr int ListenBacklog = 512;

std::string frameOf(const wire::envelope &Envelope) {
  std::string Body = encode(Envelope);
  std::uint32_t Length = htonl(static_cast<std::uint32_t>(Body.size()));
  std::string Frame(reinterpret_cast<const char *>(&Length), LengthBytes);
  Frame += Body;
  return Frame;
}

int makeSocket(const std::string &Step, const std::string &Peer) {
  int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    throw error(Step, Peer, std::strerror(errno));
  return Socket;
}

void sendWithoutDelay(int Socket) {
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

} // namespace

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

link_hub::state::link &link_hub::state::addLink(bool IsDialled) {
  auto Link = std::make_unique<link>();
  Link->Id = link_id(++LastLink);
  Link->Dialled = IsDialled;
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
    begin(Link);
  }
}

void link_hub::state::dial(link &Link) {
  Link.PeerName = toString(Link.Target);
  Link.Socket = makeSocket("link.dial", Link.PeerName);
  sockaddr_in Address = toSocketAddress(Link.Target);
  int Status = ::connect(Link.Socket, reinterpret_cast<sockaddr *>(&Address),
                         sizeof(Address));
  if (Status < 0 && errno != EINPROGRESS) {
    ::close(Link.Socket);
    Link.Socket = -1;
    scheduleRedial(Link);
    return;
  }
  Link.Connecting = true;
  Link.Watch = Context.Loop.watch(
      Link.Socket, {false, true},
      [this, Id = Link.Id](readiness Ready) { onReady(Id, Ready); });
  Link.Redial = Context.Timers.after(Link.Schedule.Timeout, [this,
                                                             Id = Link.Id] {
    if (auto *Found = find(Id); Found && Found->Connecting)
      breakLink(Id, error("link.dial", Found->PeerName, "no answer in time"));
  });
}

void link_hub::state::scheduleRedial(link &Link) {
  duration Wait = noteDialEnded(Link.Schedule);
  Link.Redial = Context.Timers.after(Wait, [this, Id = Link.Id] {
    if (auto *Found = find(Id))
      dial(*Found);
  });
}

void link_hub::state::begin(link &Link) {
  sendWithoutDelay(Link.Socket);
  time_point Now = Context.Timers.now();
  Link.Pulse = {Now, Now, Now, Now};
  Link.Watch = Context.Loop.watch(
      Link.Socket, {true, false},
      [this, Id = Link.Id](readiness Ready) { onReady(Id, Ready); });
  wire::hello Hello;
  Hello.vm = Context.Self.Vm.Value;
  Hello.incarnation = static_cast<std::int64_t>(Context.Self.Incarnation.Value);
  Hello.protocol = ProtocolVersion;
  wire::envelope Envelope;
  Envelope.kind = HelloKind;
  Envelope.body = encode(Hello);
  queue(Link, Envelope);
}

void link_hub::state::onReady(link_id Id, readiness Ready) {
  try {
    if (auto *Link = find(Id); Link && Link->Connecting)
      return finishConnect(*Link);
    if (auto *Link = find(Id); Link && Ready.Readable) {
      readFrom(*Link);
      takeFrames(Id);
    }
    if (auto *Link = find(Id); Link && Link->Socket >= 0 && Ready.Writable)
      flush(*Link);
  } catch (const error &Problem) {
    breakLink(Id, Problem);
  }
}

void link_hub::state::finishConnect(link &Link) {
  int Status = 0;
  socklen_t Length = sizeof(Status);
  ::getsockopt(Link.Socket, SOL_SOCKET, SO_ERROR, &Status, &Length);
  if (Status != 0)
    throw error("link.dial", Link.PeerName, std::strerror(Status));
  Link.Connecting = false;
  begin(Link);
}

void link_hub::state::readFrom(link &Link) {
  char Buffer[ReadBytes];
  for (;;) {
    ssize_t Count = ::recv(Link.Socket, Buffer, sizeof(Buffer), 0);
    if (Count > 0) {
      Link.In.append(Buffer, static_cast<std::size_t>(Count));
      Link.Pulse.LastHeard = Context.Timers.now();
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

void link_hub::state::takeFrames(link_id Id) {
  std::size_t Start = 0;
  for (;;) {
    // A receiver may have closed the link; look it up anew each time.
    auto *Link = find(Id);
    if (!Link || Link->Socket < 0)
      return;
    if (Link->In.size() - Start < LengthBytes) {
      Link->In.erase(0, Start);
      return;
    }
    std::uint32_t Length;
    std::memcpy(&Length, Link->In.data() + Start, LengthBytes);
    Length = ntohl(Length);
    if (Length > LargestFrame)
      throw error("link.read", Link->PeerName,
                  "frame of " + std::to_string(Length) + " bytes is too long");
    if (Link->In.size() - Start - LengthBytes < Length) {
      Link->In.erase(0, Start);
      return;
    }
    std::string_view Bytes(Link->In.data() + Start + LengthBytes, Length);
    auto Envelope = decode<wire::envelope>(Bytes, Link->PeerName);
    Start += LengthBytes + Length;
    deliver(*Link, std::move(Envelope));
  }
}

void link_hub::state::deliver(link &Link, wire::envelope &&Envelope) {
  if (Envelope.kind == HeartbeatKind)
    return;
  if (Envelope.kind == HelloKind) {
    auto Hello = decode<wire::hello>(Envelope.body, Link.PeerName);
    if (Hello.protocol != ProtocolVersion)
      throw error("link.hello", Link.PeerName,
                  "speaks protocol " + std::to_string(Hello.protocol));
    Link.Peer.Vm = vm_id(Hello.vm);
    Link.Peer.Incarnation =
        incarnation(static_cast<std::uint64_t>(Hello.incarnation));
    Link.Open = true;
    notePeerAnswered(Link.Schedule);
    event("link.opened", severity::Debug)
        .with("peer", Link.PeerName)
        .with("vm", Hello.vm);
    auto Id = Link.Id;
    auto Peer = Link.Peer;
    for (auto &Watcher : Watchers)
      if (Watcher.Opened)
        Watcher.Opened(Id, Peer);
    return;
  }
  if (!Link.Open)
    throw error("link.hello", Link.PeerName, "message before hello");
  noteMessage(Link.Pulse, Settings.Pulse, Context.Timers.now());
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

void link_hub::state::queue(link &Link, const wire::envelope &Envelope) {
  Link.Pulse.LastSent = Context.Timers.now();
  Link.Out += frameOf(Envelope);
  if (Link.Out.size() - Link.OutStart > Settings.LargestBacklog) {
    Context.Loop.post([this, Guard = std::weak_ptr<bool>(Alive), Id = Link.Id,
                       Peer = Link.PeerName] {
      if (!Guard.expired())
        breakLink(Id, error("link.write", Peer, "takes no data"));
    });
    return;
  }
  // One write for all frames of this turn of the loop.
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
  while (Link.OutStart < Link.Out.size()) {
    ssize_t Count = ::send(Link.Socket, Link.Out.data() + Link.OutStart,
                           Link.Out.size() - Link.OutStart, MSG_NOSIGNAL);
    if (Count > 0) {
      Link.OutStart += static_cast<std::size_t>(Count);
      BytesOut.add(static_cast<std::uint64_t>(Count));
      continue;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      Link.Watch.want({true, true});
      return;
    }
    if (errno != EINTR)
      throw error("link.write", Link.PeerName, std::strerror(errno));
  }
  Link.Out.clear();
  Link.OutStart = 0;
  Link.Watch.want({true, false});
}

void link_hub::state::breakLink(link_id Id, const error &Problem) {
  auto *Link = find(Id);
  if (!Link || Link->Socket < 0)
    return;
  bool WasOpen = Link->Open;
  Link->Watch = descriptor_watch();
  ::close(Link->Socket);
  Link->Socket = -1;
  Link->Open = false;
  Link->Connecting = false;
  Link->FlushPosted = false;
  Link->In.clear();
  Link->Out.clear();
  Link->OutStart = 0;
  event(WasOpen ? "link.broken" : "link.failed",
        WasOpen ? severity::Warning : severity::Debug)
      .with("peer", Link->PeerName)
      .with("vm", Link->Peer.Vm.Value)
      .with("step", Problem.step())
      .with("reason", Problem.reason());
  if (Link->Dialled)
    scheduleRedial(*Link);
  else
    Links.erase(Id);
  if (!WasOpen)
    return;
  Broken.add();
  for (auto &Watcher : Watchers)
    if (Watcher.Closed)
      Watcher.Closed(Id, Problem);
}

/// Watches the idle links closely as well while a peer in use is doubtful.
void link_hub::state::wakeIdle(time_point Now) {
  bool Doubt = std::any_of(Links.begin(), Links.end(), [&](const auto &Entry) {
    return Entry.second->Open &&
           isDoubtful(Entry.second->Pulse, Settings.Pulse, Now);
  });
  if (!Doubt)
    return;
  for (auto &[Id, Link] : Links) {
    if (!Link->Open || !isIdle(Link->Pulse, Settings.Pulse, Now))
      continue;
    wire::envelope Envelope;
    Envelope.kind = WakeKind;
    noteMessage(Link->Pulse, Settings.Pulse, Now);
    queue(*Link, Envelope);
  }
}

void link_hub::state::heartbeat() {
  auto Now = Context.Timers.now();
  wakeIdle(Now);
  std::vector<std::pair<link_id, std::string>> Silent;
  for (auto &[Id, Link] : Links) {
    // A dial has a limit of its own.
    if (Link->Socket < 0 || Link->Connecting)
      continue;
    if (isSilent(Link->Pulse, Settings.Pulse, Now)) {
      Silent.emplace_back(Id, Link->PeerName);
      continue;
    }
    // What was sent lately tells the peer as much.
    if (!heartbeatDue(Link->Pulse, Settings.Pulse, Now))
      continue;
    wire::envelope Envelope;
    Envelope.kind = HeartbeatKind;
    queue(*Link, Envelope);
  }
  for (auto &[Id, Peer] : Silent)
    breakLink(Id, error("link.heartbeat", Peer, "silent"));
}

link_hub::link_hub(daemon_context &Context, link_settings Settings)
    : State(std::make_unique<state>(Context, Settings)) {
  State->Heartbeats = Context.Timers.every(
      Settings.Pulse.Period, [State = State.get()] { State->heartbeat(); });
}

link_hub::~link_hub() {
  for (auto &[Id, Link] : State->Links)
    if (Link->Socket >= 0)
      ::close(Link->Socket);
  if (State->Listener >= 0)
    ::close(State->Listener);
}

endpoint link_hub::listen() {
  auto &Self = State->Context.Self;
  endpoint Bound = Self.InternalListen.value_or(Self.Internal);
  int Socket = openListenSocket(Bound, ListenBacklog, "link.listen");
  if (!Self.InternalListen)
    Self.Internal = Bound;
  State->Listener = Socket;
  State->ListenerWatch = State->Context.Loop.watch(
      Socket, {true, false}, [this](readiness) { State->accept(); });
  return Bound;
}

link_id link_hub::linkTo(const endpoint &Endpoint) {
  auto Found = State->Dialled.find(Endpoint);
  if (Found != State->Dialled.end())
    return Found->second;
  auto &Link = State->addLink(true);
  Link.Target = Endpoint;
  State->Dialled[Endpoint] = Link.Id;
  State->dial(Link);
  return Link.Id;
}

void link_hub::release(link_id Id) {
  auto *Link = State->find(Id);
  if (!Link || !Link->Dialled)
    return;
  State->Dialled.erase(Link->Target);
  Link->Dialled = false;
  if (Link->Socket < 0)
    State->Links.erase(Id);
  else
    State->breakLink(Id, error("link.release", Link->PeerName, "released"));
}

void link_hub::closeConnection(link_id Id, const std::string &Reason) {
  if (auto *Link = State->find(Id))
    State->breakLink(Id, error("link.close", Link->PeerName, Reason));
}

bool link_hub::send(link_id Id, link_message Message) {
  auto *Link = State->find(Id);
  if (!Link || !Link->Open)
    return false;
  wire::envelope Envelope;
  Envelope.kind = Message.Kind.Value;
  Envelope.request = static_cast<std::int64_t>(Message.Request.Value);
  Envelope.body = std::move(Message.Body);
  if (!Message.TraceParent.empty())
    Envelope.__set_trace_parent(Message.TraceParent);
  noteMessage(Link->Pulse, State->Settings.Pulse, State->Context.Timers.now());
  State->queue(*Link, Envelope);
  return true;
}

bool link_hub::isOpen(link_id Id) const {
  auto *Link = State->find(Id);
  return Link && Link->Open;
}

const link_peer *link_hub::peerOf(link_id Id) const {
  auto *Link = State->find(Id);
  return Link && Link->Open ? &Link->Peer : nullptr;
}

void link_hub::receive(message_kind First, message_kind Last,
                       std::function<void(link_id, link_message &&)> Receiver) {
  for (const auto &Other : State->Receivers)
    if (First.Value <= Other.Last && Other.First <= Last.Value)
      throw error("link.receive", std::to_string(First.Value),
                  "the kind has a receiver already");
  State->Receivers.push_back({First.Value, Last.Value, std::move(Receiver)});
}

void link_hub::watch(link_events Events) {
  State->Watchers.push_back(std::move(Events));
}

request_id link_hub::nextRequest() { return request_id(++State->LastRequest); }

} // namespace teasellock
