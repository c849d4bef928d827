#pragma once

#include <stdexcept>
#include <string>

namespace teasellock {

/// What went wrong, at which step and with which peer. The step is a short
/// name such as "link.read"; the peer is a VM, an address or a file.
class error : public std::runtime_error {
public:
  error(std::string Step, std::string Peer, const std::string &What)
      : std::runtime_error(Step + " (" + Peer + "): " + What),
        Step(std::move(Step)), Peer(std::move(Peer)), Reason(What) {}

  /// The step at which the error arose.
  const std::string &step() const { return Step; }

  /// The other side of that step.
  const std::string &peer() const { return Peer; }

  /// The reason alone, without step and peer.
  const std::string &reason() const { return Reason; }

private:
  std::string Step;
  std::string Peer;
  std::string Reason;
};

} // namespace teasellock
