#include "modules/gateway/acknowledgement_gate.h"

#include <algorithm>

namespace teasellock {

namespace {

template <typename Predicate>
std::vector<gate_verdict> giveUpIf(acknowledgement_gate &Gate, Predicate Gone,
                                   const std::string &Problem) {
  std::vector<gate_verdict> Verdicts;
  std::erase_if(Gate.Waiting, [&](const waiting_write &Write) {
    if (!Gone(Write))
      return false;
    Verdicts.push_back({Write.Id, false, {}, Problem});
    return true;
  });
  return Verdicts;
}

std::uint32_t flushedBy(const primary_probe &Probe,
                        const gate_conditions &Conditions,
                        const position &Position) {
  std::set<upstream_id> Flushed;
  for (const replica_flush &Replica : Probe.Replicas)
    if (Replica.Offset >= Position.Offset &&
        Conditions.Replicas.contains(Replica.Replica))
      Flushed.insert(Replica.Replica);
  return static_cast<std::uint32_t>(Flushed.size());
}

} // namespace

bool mayAcknowledge(const acknowledgement_gate &Gate, term Term) {
  return Term > Gate.FencedTerm;
}

void awaitAcknowledgement(acknowledgement_gate &Gate, waiting_write Write) {
  Gate.Waiting.push_back(std::move(Write));
}

std::vector<gate_verdict> onProbe(acknowledgement_gate &Gate,
                                  const primary_probe &Probe,
                                  const gate_conditions &Conditions) {
  std::vector<gate_verdict> Verdicts;
  if (Probe.Position.Term != Conditions.ViewTerm || !Conditions.LeaseValid ||
      !mayAcknowledge(Gate, Conditions.ViewTerm))
    return Verdicts;
  std::erase_if(Gate.Waiting, [&](waiting_write &Write) {
    if (Write.Term != Conditions.ViewTerm)
      return false;
    if (!Write.Covered) {
      if (Probe.StartedAt < Write.AnsweredAt)
        return false;
      Write.Covered = Probe.Position;
    }
    if (flushedBy(Probe, Conditions, *Write.Covered) < Conditions.AckReplicas)
      return false;
    Gate.Acknowledged = std::max(Gate.Acknowledged, *Write.Covered);
    Verdicts.push_back({Write.Id, true, *Write.Covered, ""});
    return true;
  });
  return Verdicts;
}

std::vector<gate_verdict> fence(acknowledgement_gate &Gate, term Term) {
  Gate.FencedTerm = std::max(Gate.FencedTerm, Term);
  return giveUpIf(
      Gate,
      [&](const waiting_write &Write) { return Write.Term <= Gate.FencedTerm; },
      "the primary is being replaced");
}

std::vector<gate_verdict> onTerm(acknowledgement_gate &Gate, term ViewTerm) {
  return giveUpIf(
      Gate, [&](const waiting_write &Write) { return Write.Term != ViewTerm; },
      "the primary was replaced");
}

std::vector<gate_verdict> expire(acknowledgement_gate &Gate, time_point Now) {
  return giveUpIf(
      Gate, [&](const waiting_write &Write) { return Write.Deadline <= Now; },
      "not confirmed by enough replicas in time");
}

} // namespace teasellock
