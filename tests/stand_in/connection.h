#pragma once

#include "core/endpoint.h"
#include "core/event_loop.h"

#include <functional>
#include <string>
#include <string_view>

namespace teasellock::stand_in {

/// A buffered TCP connection on the event loop. Can be paused (reads and
/// writes stop, data waits) and muted (what arrives is thrown away and nothing
/// is sent any more).
class connection {
public:
  /// Takes over a connected or connecting socket.
  connection(event_loop &Loop, int Descriptor);
  ~connection();
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  /// Starts reading. OnData is called after bytes have arrived, OnClosed when
  /// the other side has closed or failed.
  void start(std::function<void()> OnData, std::function<void()> OnClosed);

  /// Bytes that have arrived and are not yet consumed.
  std::string_view input() const;

  /// Drops the first bytes of the input.
  void consume(std::size_t Bytes);

  /// What waits to be sent. Append to it, then call flush().
  std::string &output() { return Out; }

  /// Sends as much as the socket takes.
  void flush();

  void pause(bool Paused);
  void mute();
  bool muted() const { return Muted; }

  /// Whether too much waits to be sent to produce more.
  bool congested() const { return Out.size() - SentBytes > HighWaterBytes; }

private:
  static constexpr std::size_t HighWaterBytes = 4 * 1024 * 1024;

  void onReady(readiness Ready);
  void receive();
  void want();
  void fail();

  event_loop &Loop;
  int Descriptor;
  descriptor_watch Watch;
  std::function<void()> OnData;
  std::function<void()> OnClosed;
  std::string In;
  std::size_t Consumed = 0;
  std::string Out;
  std::size_t SentBytes = 0;
  bool Paused = false;
  bool Muted = false;
  bool Failed = false;
};

/// A non-blocking listening socket. Throws error.
int listenOn(const endpoint &Endpoint);

/// The address a socket is bound to.
endpoint boundEndpoint(int Descriptor);

/// A non-blocking socket that connects. Throws error when it can't start.
int connectTo(const endpoint &Endpoint);

/// The next waiting connection as a non-blocking socket, or -1.
int acceptFrom(int Listener);

} // namespace teasellock::stand_in
