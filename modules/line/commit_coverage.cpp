#include "modules/line/commit_coverage.h"

#include <algorithm>

namespace teasellock {

void confirmLeadership(commit_coverage &Coverage, time_point At, term Term) {
  Coverage.ConfirmedAt = std::max(Coverage.ConfirmedAt, At);
  Coverage.ConfirmedTerm = std::max(Coverage.ConfirmedTerm, Term);
}

bool isConfirmed(const commit_coverage &Coverage,
                 const replica_sighting &Sighting) {
  return Sighting.ConnectedAt <= Coverage.ConfirmedAt &&
         Sighting.Received.Term >= Coverage.ConfirmedTerm;
}

void recordSighting(commit_coverage &Coverage,
                    const replica_sighting &Sighting) {
  if (isConfirmed(Coverage, Sighting))
    Coverage.Covered = std::max(Coverage.Covered, Sighting.Received);
}

bool covers(const commit_coverage &Coverage, const position &Commit) {
  return Coverage.Covered.Term == Commit.Term && Coverage.Covered >= Commit;
}

} // namespace teasellock
