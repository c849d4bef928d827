#pragma once

#include <stdexcept>
#include <string>

namespace teasellock {

/// A failed operation and the reason. The step is a short name of the
/// operation, such as "link.read"; the peer is what it concerned: a VM, an
/// address, a file or a field.
class error : public std::runtime_error {
public:
  error(std::string Step, std::string Peer, const std::string &What)
      : std::runtime_error(Step + " (" + Peer + "): " + What),
        Step(std::move(Step)), Peer(std::move(Peer)), Reason(What) {}

  /// The name of the operation that failed.
  const std::string &step() const { return Step; }

  /// The VM, address, file or field concerned.
  const std::string &peer() const { return Peer; }

  /// The reason without step and peer.
  const std::string &reason() const { return Reason; }

private:
  std::string Step;
  std::string Peer;
  std::string Reason;
};

} // namespace teasellock
