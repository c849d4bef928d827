/// Counts what links carry, by kind of message and by distance: traffic between
/// zones and regions is billed.
#pragma once

#include "core/distance.h"
#include "core/metrics.h"

#include <map>

namespace teasellock {

/// The counters of one VM's links. In the metrics: messages and their bytes
/// before compression by kind and distance, bytes on the wire by distance.
class link_traffic {
public:
  explicit link_traffic(metrics &Metrics) : Metrics(Metrics) {}

  /// Counts a frame of a kind that is sent.
  void countMessage(std::int16_t Kind, distance Distance, std::size_t Bytes);

  /// Counts bytes written to a connection.
  void countSent(distance Distance, std::size_t Bytes);

private:
  struct message_counters {
    counter *Messages = nullptr;
    counter *Bytes = nullptr;
  };

  metrics &Metrics;
  std::map<std::pair<std::int16_t, distance>, message_counters> ByKind;
  std::map<distance, counter *> Sent;
};

} // namespace teasellock
