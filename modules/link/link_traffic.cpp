#include "modules/link/link_traffic.h"

namespace teasellock {

void link_traffic::countMessage(std::int16_t Kind, distance Distance,
                                std::size_t Bytes) {
  auto &Counters = ByKind[{Kind, Distance}];
  if (!Counters.Messages) {
    metric_labels Labels = {{"kind", std::to_string(Kind)},
                            {"distance", nameOf(Distance)}};
    Counters.Messages =
        &Metrics.counterOf("teasellock_link_messages_total", Labels);
    Counters.Bytes =
        &Metrics.counterOf("teasellock_link_message_bytes_total", Labels);
  }
  Counters.Messages->add();
  Counters.Bytes->add(Bytes);
}

void link_traffic::countSent(distance Distance, std::size_t Bytes) {
  auto &Counter = Sent[Distance];
  if (!Counter)
    Counter = &Metrics.counterOf("teasellock_link_sent_bytes_total",
                                 {{"distance", nameOf(Distance)}});
  Counter->add(Bytes);
}

} // namespace teasellock
