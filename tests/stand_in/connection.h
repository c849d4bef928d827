#pragma once

#include "core/endpoint.h"
#include "core/event_loop.h"

#include <functional>
#include <string>
#include <string_view>

namespace teasellock::stand_in {

/// A buffered TCP connection on the event loop. It can be paused (no reads and
/// writes; data stays buffered) and muted (received data is discarded and
/// nothing is sent any more).
class connection {
public:
  /// Takes ownership of a connected or connecting socket.
  connection(event_loop &Loop, int Descriptor);
  ~connection();
  connection(const connection &) = delete;
  connection &operator=(const connection &) = delete;

  /// Starts reading. OnData is called when data was received, OnClosed when the
  /// peer has closed the connection or it has failed.
  void start(std::function<void()> OnData, std::function<void()> OnClosed);

  /// Returns received bytes that aren't consumed yet.
  std::string_view input() const;

  /// Removes the first bytes of the input.
  void consume(std::size_t Bytes);

  /// The buffer of unsent bytes. Append to it, then call flush().
  std::string &output() { return Out; }

  /// Sends as much as the socket accepts.
  void flush();

  /// Stops or resumes reading and writing.
  void setPaused(bool Paused);
  /// Discards all buffered and further data in both directions.
  void mute();
  bool isMuted() const { return IsMuted; }

  /// Whether the unsent output exceeds its limit; producers should wait.
  bool isCongested() const { return Out.size() - SentBytes > MaxOutputBytes; }

private:
  static constexpr std::size_t MaxOutputBytes = 4 * 1024 * 1024;

  void handleReady(readiness Ready);
  void receive();
  void updateWatch();
  void handleClosed();

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
  bool IsMuted = false;
  bool Failed = false;
};

/// Returns a non-blocking listening socket. Throws error.
int listenOn(const endpoint &Endpoint);

/// Returns the address a socket is bound to.
endpoint boundEndpoint(int Descriptor);

/// Returns a non-blocking socket that is connecting. Throws error if the
/// connection attempt can't be started.
int connectTo(const endpoint &Endpoint);

/// Accepts the next pending connection as a non-blocking socket. Returns -1 if
/// there is none.
int acceptFrom(int Listener);

} // namespace teasellock::stand_in
