/// Framed, multiplexed connections between the VMs of the deployment.
///
/// A frame is a 32-bit big-endian length and a compact Thrift `envelope`. Both
/// sides say hello first, then exchange heartbeats; a connection on which
/// nothing arrives for the silence limit is closed, even when the kernel still
/// acknowledges what is written to it.
#pragma once

#include "core/daemon_context.h"
#include "core/error.h"
#include "modules/link/link_pulse.h"

#include <functional>
#include <memory>
#include <string>

namespace teasellock {

/// Names one link in this process. A dialled link keeps its id over
/// reconnections; an accepted one ends with its connection.
using link_id = strong_type<struct link_id_tag, std::uint64_t>;

/// What a frame is for. Each module has a range of its own: link 1 to 99,
/// control 100 to 199, consensus 200 to 299, gateway 300 to 399.
using message_kind = strong_type<struct message_kind_tag, std::int16_t>;

/// Who is at the other end.
struct link_peer {
  vm_id Vm;
  incarnation Incarnation;
};

/// A frame to send, or one that arrived.
struct link_message {
  message_kind Kind;
  /// Chosen by the requester; an answer carries the request's.
  request_id Request;
  std::string Body;
  std::string TraceParent;
};

/// How long links wait.
struct link_settings {
  pulse_settings Pulse;
  /// A link whose peer takes no data is closed beyond this many bytes.
  std::size_t LargestBacklog = 256 * 1024 * 1024;
};

/// What a task hears about links.
struct link_events {
  /// The peer said hello; messages can be sent.
  std::function<void(link_id, const link_peer &)> Opened;
  /// The connection ended. Whatever was sent and not answered is unknown.
  std::function<void(link_id, const error &)> Closed;
};

/// Owns every connection between this VM and others.
class link_hub {
public:
  link_hub(daemon_context &Context, link_settings Settings);
  ~link_hub();

  /// Accepts links at the context's internal endpoint. Throws error when it
  /// can't be bound. With port 0 a free port is taken and returned.
  endpoint listen();

  /// The link to a VM's endpoint, dialled on first use and kept up until
  /// release().
  link_id linkTo(const endpoint &Endpoint);

  /// Gives up a dialled link.
  void release(link_id Link);

  /// Closes the current connection of a link. A dialled one is dialled again.
  void closeConnection(link_id Link, const std::string &Reason);

  /// Sends a frame. False: the link is not open and nothing was sent. True: it
  /// may or may not arrive.
  bool send(link_id Link, link_message Message);

  /// Whether a frame could be sent now.
  bool isOpen(link_id Link) const;

  /// The peer of an open link.
  const link_peer *peerOf(link_id Link) const;

  /// Delivers messages of kinds First to Last. Throws error when
  /// a kind has a receiver already. An exception of the receiver closes the
  /// link that sent the message.
  void receive(message_kind First, message_kind Last,
               std::function<void(link_id, link_message &&)> Receiver);

  /// Reports openings and closings of all links, for the hub's life.
  void watch(link_events Events);

  /// A number for a new request, unique in this incarnation.
  request_id nextRequest();

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace teasellock
