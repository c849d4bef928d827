#include "modules/line/upstream_score.h"

#include <cmath>

namespace teasellock {

namespace {

/// Weights of one observation in the share of failures. A lost connection
/// counts more: an upstream loses all of its statements with it.
constexpr double AnswerWeight = 1.0 / 32;
constexpr double FailureWeight = 1.0 / 32;
constexpr double ConnectionLostWeight = 1.0 / 4;
/// Without further failures the share halves in this time: an upstream that
/// alternates between down and up every few seconds stays avoided.
constexpr double HalfLifeSeconds = 4;
/// Shares below this are ordinary errors of callers' statements.
constexpr double ToleratedShare = 0.1;
/// The factor for an upstream at which everything fails, minus 1. With it an
/// upstream in the same availability zone costs more than one in another
/// region.
constexpr double MaxAddedFactor = 20;

double shareAt(const upstream_score &Score, time_point Now) {
  double Seconds = std::chrono::duration<double>(Now - Score.UpdatedAt).count();
  return Score.FailureShare * std::exp2(-Seconds / HalfLifeSeconds);
}

} // namespace

void recordEvidence(upstream_score &Score, upstream_evidence Evidence,
                    time_point Now) {
  double Share = shareAt(Score, Now);
  switch (Evidence) {
  case upstream_evidence::Answered:
    Share -= Share * AnswerWeight;
    break;
  case upstream_evidence::Failed:
    Share += (1 - Share) * FailureWeight;
    break;
  case upstream_evidence::ConnectionLost:
    Share += (1 - Share) * ConnectionLostWeight;
    break;
  }
  Score = {Share, Now};
}

double costFactor(const upstream_score &Score, time_point Now) {
  double Excess = shareAt(Score, Now) - ToleratedShare;
  return Excess <= 0 ? 1 : 1 + MaxAddedFactor * Excess;
}

} // namespace teasellock
