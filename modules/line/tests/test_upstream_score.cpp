#include "modules/line/upstream_score.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

time_point timeAt(std::int64_t Milliseconds) {
  return time_point(fromMilliseconds(Milliseconds));
}

/// A gateway that reads from one of two upstreams every 10 ms: from the second,
/// whose cost is 30% higher, while the first one's factor is above that.
struct read_load {
  /// Of the first upstream's answers, one in this many fails; 0 for none.
  int FailureInterval = 0;
  upstream_score Score;
  int SentToFirst = 0;
  int Failed = 0;

  void run(std::int64_t FromMs, std::int64_t ToMs) {
    SentToFirst = Failed = 0;
    for (std::int64_t Now = FromMs; Now < ToMs; Now += 10) {
      if (costFactor(Score, timeAt(Now)) > 1.3)
        continue;
      bool Fails = FailureInterval > 0 && ++SentToFirst % FailureInterval == 0;
      SentToFirst += FailureInterval == 0;
      Failed += Fails;
      recordEvidence(Score,
                     Fails ? upstream_evidence::Failed
                           : upstream_evidence::Answered,
                     timeAt(Now));
    }
  }
};

} // namespace

// Guards against an upstream that fails part of its statements and still gets
// all reads of its zone, as its probes succeed.
TEST_CASE("line: an upstream that fails one of four statements is avoided") {
  read_load Load;
  Load.FailureInterval = 4;
  Load.run(0, 30000);
  // Of 3,000 reads.
  CHECK(Load.SentToFirst < 300);
  CHECK(Load.SentToFirst > 0);
  // It is used again once it has recovered.
  Load.FailureInterval = 0;
  Load.run(30000, 40000);
  CHECK(Load.SentToFirst > 500);
}

// Guards against a switch of upstreams by ordinary errors of statements.
TEST_CASE("line: one failure in forty answers is tolerated") {
  read_load Load;
  Load.FailureInterval = 40;
  Load.run(0, 30000);
  CHECK(Load.SentToFirst == 3000);
}

// Guards against an upstream that alternates between down and up and gets all
// reads each time that it is up.
TEST_CASE("line: an upstream that flaps stays avoided and returns gradually") {
  upstream_score Score;
  double Lowest = 100;
  for (std::int64_t Now = 0; Now < 20000; Now += 2000) {
    recordEvidence(Score, upstream_evidence::ConnectionLost, timeAt(Now));
    recordEvidence(Score, upstream_evidence::ConnectionLost, timeAt(Now + 10));
    if (Now >= 4000)
      Lowest = std::min(Lowest, costFactor(Score, timeAt(Now + 1999)));
  }
  CHECK(Lowest > 4);
  double Before = costFactor(Score, timeAt(20000));
  for (std::int64_t Now = 21000; Now < 45000; Now += 1000) {
    double Factor = costFactor(Score, timeAt(Now));
    CHECK(Factor <= Before);
    CHECK(Factor >= 1);
    Before = Factor;
  }
  CHECK(Before == 1);
}
