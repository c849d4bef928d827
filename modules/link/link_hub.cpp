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
  bool WasOpen = Link->IsOpen;
  Link->Watch = descriptor_watch();
  ::close(Link->Socket);
  Link->Socket = -1;
  Link->IsOpen = false;
  Link->IsConnecting = false;
  Link->FlushPosted = false;
  Link->Decoder = frame_decoder();
  Link->Encoder = frame_encoder();
  Link->WriteBuffer.clear();
  Link->WriteOffset = 0;
  event(WasOpen ? "link.broken" : "link.failed",
        WasOpen ? severity::Warning : severity::Debug)
      .with("peer", Link->PeerName)
      .with("vm", Link->Peer.Vm.Value)
      .with("step", Problem.step())
      .with("reason", Problem.reason());
  if (Link->IsDialled)
    scheduleRedial(*Link);
  else
    Links.erase(Id);
  if (!WasOpen)
    return;
  BrokenLinks.add();
  for (auto &Watcher : Watchers)
    if (Watcher.Closed)
      Watcher.Closed(Id, Problem);
}

/// Makes all idle links active if the peer of an active link is suspected to
/// have failed.
void link_hub::state::activateIdleLinks(time_point Now) {
  bool HasSuspect =
      std::any_of(Links.begin(), Links.end(), [&](const auto &Entry) {
        return Entry.second->IsOpen &&
               isSuspected(Entry.second->Heartbeat, Settings.Heartbeat, Now);
      });
  if (!HasSuspect)
    return;
  for (auto &[Id, Link] : Links) {
    if (!Link->IsOpen || !isIdle(Link->Heartbeat, Settings.Heartbeat, Now))
      continue;
    wire::envelope Envelope;
    Envelope.kind = WakeKind;
    recordMessage(Link->Heartbeat, Settings.Heartbeat, Now);
    queue(*Link, Envelope);
  }
}

void link_hub::state::endIdleStreams(time_point Now) {
  for (auto &[Id, Link] : Links)
    if (Link->IsOpen && isIdle(Link->Heartbeat, Settings.Heartbeat, Now) &&
        endStream(Link->Encoder))
      scheduleFlush(*Link);
}

void link_hub::state::checkHeartbeats() {
  auto Now = Context.Timers.now();
  activateIdleLinks(Now);
  endIdleStreams(Now);
  std::vector<std::pair<link_id, std::string>> TimedOutLinks;
  for (auto &[Id, Link] : Links) {
    // A dial has its own timeout.
    if (Link->Socket < 0 || Link->IsConnecting)
      continue;
    if (hasTimedOut(Link->Heartbeat, Settings.Heartbeat, Now)) {
      TimedOutLinks.emplace_back(Id, Link->PeerName);
      continue;
    }
    // Anything that was sent recently has the same effect as a heartbeat.
    if (!isHeartbeatDue(Link->Heartbeat, Settings.Heartbeat, Now))
      continue;
    wire::envelope Envelope;
    Envelope.kind = HeartbeatKind;
    queue(*Link, Envelope);
  }
  for (auto &[Id, Peer] : TimedOutLinks)
    breakLink(Id, error("link.heartbeat", Peer, "silent"));
}

link_hub::link_hub(daemon_context &Context, link_settings Settings)
    : State(std::make_unique<state>(Context, Settings)) {
  State->HeartbeatTimer =
      Context.Timers.every(Settings.Heartbeat.Interval,
                           [State = State.get()] { State->checkHeartbeats(); });
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
  endpoint Bound = Self.InternalListenEndpoint.value_or(Self.InternalEndpoint);
  int Socket = openListenSocket(Bound, ListenBacklog, "link.listen");
  if (!Self.InternalListenEndpoint)
    Self.InternalEndpoint = Bound;
  State->Listener = Socket;
  State->ListenerWatch = State->Context.Loop.watch(
      Socket, {true, false}, [this](readiness) { State->accept(); });
  return Bound;
}

link_hub::state::link &link_hub::state::dialledLink(const endpoint &Endpoint) {
  auto Found = DialledLinks.find(Endpoint);
  if (Found != DialledLinks.end())
    return *Links.at(Found->second);
  auto &Link = addLink(true);
  Link.Target = Endpoint;
  DialledLinks[Endpoint] = Link.Id;
  dial(Link);
  return Link;
}

link_id link_hub::linkTo(const endpoint &Endpoint) {
  auto &Link = State->dialledLink(Endpoint);
  Link.IsPermanent = true;
  return Link.Id;
}

link_id link_hub::retainLink(const endpoint &Endpoint) {
  auto &Link = State->dialledLink(Endpoint);
  ++Link.Users;
  return Link.Id;
}

void link_hub::releaseLink(link_id Id) {
  auto *Link = State->find(Id);
  if (!Link || Link->Users == 0 || --Link->Users > 0 || Link->IsPermanent)
    return;
  Link->Watch = descriptor_watch();
  if (Link->Socket >= 0)
    ::close(Link->Socket);
  State->DialledLinks.erase(Link->Target);
  State->Links.erase(Id);
}

void link_hub::closeConnection(link_id Id, const std::string &Reason) {
  if (auto *Link = State->find(Id))
    State->breakLink(Id, error("link.close", Link->PeerName, Reason));
}

bool link_hub::send(link_id Id, link_message Message) {
  auto *Link = State->find(Id);
  if (!Link || !Link->IsOpen)
    return false;
  wire::envelope Envelope;
  Envelope.kind = Message.Kind.Value;
  Envelope.request = static_cast<std::int64_t>(Message.Request.Value);
  Envelope.body = std::move(Message.Body);
  if (!Message.TraceParent.empty())
    Envelope.__set_trace_parent(Message.TraceParent);
  recordMessage(Link->Heartbeat, State->Settings.Heartbeat,
                State->Context.Timers.now());
  State->queue(*Link, Envelope, Message.IsCompressible);
  return true;
}

bool link_hub::isOpen(link_id Id) const {
  auto *Link = State->find(Id);
  return Link && Link->IsOpen;
}

const link_peer *link_hub::peerOf(link_id Id) const {
  auto *Link = State->find(Id);
  return Link && Link->IsOpen ? &Link->Peer : nullptr;
}

void link_hub::registerReceiver(
    message_kind First, message_kind Last,
    std::function<void(link_id, link_message &&)> Receiver) {
  for (const auto &Other : State->Receivers)
    if (First.Value <= Other.Last && Other.First <= Last.Value)
      throw error("link.receive", std::to_string(First.Value),
                  "the kind has a receiver already");
  State->Receivers.push_back({First.Value, Last.Value, std::move(Receiver)});
}

void link_hub::subscribe(link_events Events) {
  State->Watchers.push_back(std::move(Events));
}

request_id link_hub::nextRequest() {
  return request_id(++State->LastRequestId);
}

} // namespace teasellock
