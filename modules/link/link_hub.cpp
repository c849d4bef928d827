#include "modules/link/link_hub.h"

#include "core/event_log.h"
#include "core/listen_socket.h"
#include "modules/link/link_hub_state.h"

#include <algorithm>
#include <unistd.h>

namespace teasellock {

namespace {

constexpr int ListenBacklog = 512;

} // namespace

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
