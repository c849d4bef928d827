/// Framed, multiplexed connections between the VMs of the deployment.
///
/// A frame is a 32-bit big-endian length and an `envelope` in Thrift's compact
/// protocol. Both sides send `hello` first, then exchange messages and
/// heartbeats. A connection on which nothing arrives within the heartbeat
/// timeout is closed, even if the peer's kernel still acknowledges what is
/// written to it.
#pragma once

#include "core/daemon_context.h"
#include "core/error.h"
#include "modules/link/link_heartbeat.h"

#include <functional>
#include <memory>
#include <string>

namespace teasellock {

/// Id of a link in this process. A dialled link keeps its id when it
/// reconnects; an accepted link ends with its connection.
using link_id = strong_type<struct link_id_tag, std::uint64_t>;

/// The type of a frame's message. Ranges by module: link 1 to 99, control 100
/// to 199, consensus 200 to 299, gateway 300 to 399, limits 400 to 499.
using message_kind = strong_type<struct message_kind_tag, std::int16_t>;

/// The VM at the other end of a link, and the incarnation of its process.
struct link_peer {
  vm_id Vm;
  incarnation Incarnation;
};

/// A message to send or a received one.
struct link_message {
  message_kind Kind;
  /// Chosen by the sender of a request; the reply has the same id.
  request_id Request;
  /// A Thrift struct in the compact protocol; which one depends on the kind.
  std::string Body;
  /// The W3C `traceparent` of the request; empty if it is not traced.
  std::string TraceParent;
  /// Whether compression between zones is worth its processor time.
  bool IsCompressible = false;
};

/// Timeouts and limits of links.
struct link_settings {
  heartbeat_settings Heartbeat;
  /// Maximum bytes that wait to be written to a peer; beyond that the
  /// connection is closed.
  std::size_t MaxBacklogBytes = 256 * 1024 * 1024;
  /// Whether messages to other availability zones are compressed.
  bool CompressBetweenZones = true;
};

/// Callbacks for changes of links. Either may be empty.
struct link_events {
  /// The peer's `hello` has arrived; messages can be sent.
  std::function<void(link_id, const link_peer &)> Opened;
  /// The connection of an open link has ended. The outcome of requests without
  /// a reply is unknown.
  std::function<void(link_id, const error &)> Closed;
};

/// Owns all connections between this VM and other ones. Runs on the event loop
/// of the process and is not thread-safe.
class link_hub {
public:
  link_hub(daemon_context &Context, link_settings Settings);
  ~link_hub();

  /// Starts to accept links at the internal endpoint of the context and returns
  /// that endpoint. With port 0 a free port is chosen. Throws error if the
  /// endpoint can't be bound.
  endpoint listen();

  /// Returns the link to a VM's endpoint. It is dialled on first use and again
  /// whenever its connection ends, for as long as the process runs. It may not
  /// be open yet.
  link_id linkTo(const endpoint &Endpoint);

  /// Returns the link to a VM's endpoint as linkTo() does, but only until the
  /// same number of calls of releaseLink().
  link_id retainLink(const endpoint &Endpoint);

  /// Ends the use of a retained link. The last user's call closes it for good,
  /// without the event Closed, unless linkTo() has returned it too.
  void releaseLink(link_id Link);

  /// Closes the current connection of a link. A dialled link reconnects.
  void closeConnection(link_id Link, const std::string &Reason);

  /// Sends a message. Returns false if the link is not open and nothing was
  /// sent. True does not mean that the message will arrive.
  bool send(link_id Link, link_message Message);

  /// Reports whether a message can be sent now.
  bool isOpen(link_id Link) const;

  /// Returns the peer of an open link, or nullptr if the link is not open.
  const link_peer *peerOf(link_id Link) const;

  /// Registers the receiver of messages of kinds First to Last. Throws error if
  /// one of them has a receiver already. If the receiver throws an exception,
  /// the connection on which the message arrived is closed.
  void registerReceiver(message_kind First, message_kind Last,
                        std::function<void(link_id, link_message &&)> Receiver);

  /// Registers callbacks for all links. They can't be removed.
  void subscribe(link_events Events);

  /// Returns an id for a new request, unique in this incarnation.
  request_id nextRequest();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
