#include "modules/gateway/acknowledgement_gate.h"

#include <algorithm>

namespace teasellock {

namespace {

template <typename Predicate>
std::vector<acknowledgement_result> removeIf(acknowledgement_gate &Gate,
                                             Predicate ShouldRemove,
                                             const std::string &Problem) {
  std::vector<acknowledgement_result> Results;
  std::erase_if(Gate.Pending, [&](const unacknowledged_write &Write) {
    if (!ShouldRemove(Write))
      return false;
    Results.push_back({Write.Id, false, {}, Problem});
    return true;
  });
  return Results;
}

std::uint32_t countFlushedReplicas(const primary_probe &Probe,
                                   const acknowledgement_conditions &Conditions,
                                   const position &Position) {
  std::set<upstream_id> Flushed;
  for (const replica_flush &Replica : Probe.Replicas)
    if (Replica.Offset >= Position.Offset &&
        Conditions.Replicas.contains(Replica.Replica))
      Flushed.insert(Replica.Replica);
  return static_cast<std::uint32_t>(Flushed.size());
}

} // namespace

bool canAcknowledge(const acknowledgement_gate &Gate, term Term) {
  return Term > Gate.FencedTerm;
}

void addPendingWrite(acknowledgement_gate &Gate, unacknowledged_write Write) {
  Gate.Pending.push_back(std::move(Write));
}

std::vector<acknowledgement_result>
applyProbe(acknowledgement_gate &Gate, const primary_probe &Probe,
           const acknowledgement_conditions &Conditions) {
  std::vector<acknowledgement_result> Results;
  if (Probe.Position.Term != Conditions.ViewTerm || !Conditions.LeaseValid ||
      !canAcknowledge(Gate, Conditions.ViewTerm))
    return Results;
  std::erase_if(Gate.Pending, [&](unacknowledged_write &Write) {
    if (Write.Term != Conditions.ViewTerm)
      return false;
    if (!Write.CoveringPosition) {
      if (Probe.StartedAt < Write.AnsweredAt)
        return false;
      Write.CoveringPosition = Probe.Position;
    }
    if (countFlushedReplicas(Probe, Conditions, *Write.CoveringPosition) <
        Conditions.AckReplicas)
      return false;
    Gate.HighestAcknowledged =
        std::max(Gate.HighestAcknowledged, *Write.CoveringPosition);
    Results.push_back({Write.Id, true, *Write.CoveringPosition, ""});
    return true;
  });
  return Results;
}

std::vector<acknowledgement_result> applyFence(acknowledgement_gate &Gate,
                                               term Term) {
  Gate.FencedTerm = std::max(Gate.FencedTerm, Term);
  return removeIf(
      Gate,
      [&](const unacknowledged_write &Write) {
        return Write.Term <= Gate.FencedTerm;
      },
      "the primary is being replaced");
}

std::vector<acknowledgement_result> applyViewTerm(acknowledgement_gate &Gate,
                                                  term ViewTerm) {
  return removeIf(
      Gate,
      [&](const unacknowledged_write &Write) { return Write.Term != ViewTerm; },
      "the primary was replaced");
}

std::vector<acknowledgement_result>
expirePendingWrites(acknowledgement_gate &Gate, time_point Now) {
  return removeIf(
      Gate,
      [&](const unacknowledged_write &Write) { return Write.Deadline <= Now; },
      "the write was not confirmed by enough replicas in time");
}

} // namespace teasellock
