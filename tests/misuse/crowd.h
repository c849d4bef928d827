/// Callers that don't behave, for the tests of a process's memory and
/// descriptors: each connection sends what its script says and reads nothing
/// unless told to.
#pragma once

#include "core/endpoint.h"
#include "core/event_loop.h"
#include "core/timer_service.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace teasellock::misuse {

/// What one connection of a crowd sends.
struct connection_script {
  /// Sent first.
  std::string Opening;
  /// Sent after the opening, again and again, until TotalBytes are sent in all.
  std::string Filler;
  std::size_t TotalBytes = 0;
  /// Sent last.
  std::string Ending;
  /// Greatest number of bytes passed to one send().
  std::size_t PieceBytes = 64 * 1024;
  /// Pause between two pieces; zero: as fast as the peer accepts them.
  duration PieceInterval{};
};

/// Connections to one address that all follow the same script. A connection
/// that the peer closes stays closed.
class crowd {
public:
  crowd(event_loop &Loop, timer_service &Timers, const endpoint &Target,
        const connection_script &Script, std::size_t Size);
  ~crowd();
  crowd(const crowd &) = delete;
  crowd &operator=(const crowd &) = delete;

  /// Returns the number of connections that have sent everything or that the
  /// peer has closed.
  std::size_t finished() const;
  std::size_t size() const;

private:
  struct member;
  std::vector<std::unique_ptr<member>> Members;
};

} // namespace teasellock::misuse
