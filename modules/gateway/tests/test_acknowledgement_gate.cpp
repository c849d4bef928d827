#include "modules/gateway/acknowledgement_gate.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace teasellock;

namespace {

using seconds = std::chrono::seconds;

/// The history of one write.
struct write_record {
  std::uint64_t Term;
  int AnsweredAt;
  int Deadline;
  bool Ended = false;
};

/// The model of the gate: the inputs that decide whether a write may be
/// acknowledged.
struct gate_model {
  struct recorded_probe {
    int StartedAt;
    position Position;
    std::set<std::uint64_t> FlushedOffsets;
  };
  int Clock = 1;
  bool Lease = true;
  std::uint64_t ViewTerm = 1;
  std::uint64_t Fenced = 0;
  std::uint32_t AckReplicas = 1;
  std::map<std::uint64_t, write_record> Writes;
  std::uint64_t NextId = 0;
};

struct gate_system {
  acknowledgement_gate Gate;
};

time_point at(int Tick) { return time_point(seconds(Tick)); }

/// One random event, applied to the gate and checked against the model.
struct gate_event : rc::state::Command<gate_model, gate_system> {
  enum kind { Answer, Probe, Lease, Fence, Term, Expire, KindCount };
  int Kind = *rc::gen::inRange<int>(0, KindCount);
  int StartedAgo = *rc::gen::inRange(0, 4);
  std::uint64_t Offset = *rc::gen::inRange<std::uint64_t>(1, 8);
  std::uint64_t TermShift = *rc::gen::inRange<std::uint64_t>(0, 2);
  std::vector<std::uint64_t> Flushed =
      *rc::gen::container<std::vector<std::uint64_t>>(
          3, rc::gen::inRange<std::uint64_t>(0, 9));
  bool NewLease = *rc::gen::arbitrary<bool>();

  void apply(gate_model &Model) const override {
    ++Model.Clock;
    switch (Kind) {
    case Answer:
      Model.Writes[Model.NextId++] = {Model.ViewTerm, Model.Clock,
                                      Model.Clock + 6};
      break;
    case Lease:
      Model.Lease = NewLease;
      break;
    case Fence:
      Model.Fenced = std::max(Model.Fenced, Model.ViewTerm);
      break;
    case Term:
      ++Model.ViewTerm;
      break;
    default:
      break;
    }
  }

  primary_probe probe(const gate_model &Model) const {
    primary_probe Result;
    Result.StartedAt = at(Model.Clock - StartedAgo);
    Result.Position = {term(Model.ViewTerm - TermShift), Offset};
    for (std::size_t Index = 0; Index < Flushed.size(); ++Index)
      // The third server is not a replica of the view.
      Result.Replicas.push_back(
          {upstream_id(std::string(1, static_cast<char>('a' + Index))),
           Flushed[Index]});
    return Result;
  }

  void run(const gate_model &Before, gate_system &System) const override {
    gate_model Model = Before;
    apply(Model);
    std::vector<acknowledgement_result> Results;
    switch (Kind) {
    case Answer: {
      unacknowledged_write Write;
      Write.Id = Before.NextId;
      // The statement may have been sent in the previous term.
      Write.Term = term(Model.ViewTerm - TermShift);
      Write.AnsweredAt = at(Model.Clock);
      Write.Deadline = at(Model.Clock + 6);
      addPendingWrite(System.Gate, Write);
      break;
    }
    case Probe:
      Results = probeAndCheck(Model, System);
      break;
    case Fence:
      Results = applyFence(System.Gate, term(Model.ViewTerm));
      checkNoneAcknowledged(Results);
      break;
    case Term:
      Results = applyViewTerm(System.Gate, term(Model.ViewTerm));
      checkNoneAcknowledged(Results);
      break;
    case Expire:
      Results = expirePendingWrites(System.Gate, at(Model.Clock));
      checkNoneAcknowledged(Results);
      for (const unacknowledged_write &Write : System.Gate.Pending)
        RC_ASSERT(Write.Deadline > at(Model.Clock));
      break;
    default:
      break;
    }
  }

  static void
  checkNoneAcknowledged(const std::vector<acknowledgement_result> &Results) {
    for (const acknowledgement_result &Result : Results)
      RC_ASSERT_FALSE(Result.Acknowledged);
  }

  std::vector<acknowledgement_result> probeAndCheck(const gate_model &Model,
                                                    gate_system &System) const {
    std::vector<unacknowledged_write> Before = System.Gate.Pending;
    acknowledgement_conditions Conditions;
    Conditions.ViewTerm = term(Model.ViewTerm);
    Conditions.AckReplicas = Model.AckReplicas;
    Conditions.Replicas = {upstream_id("a"), upstream_id("b")};
    Conditions.LeaseValid = Model.Lease;
    Conditions.Now = at(Model.Clock);
    primary_probe Probed = probe(Model);
    auto Results = applyProbe(System.Gate, Probed, Conditions);
    std::set<std::uint64_t> Acknowledged;
    for (const acknowledgement_result &Result : Results) {
      RC_ASSERT(Result.Acknowledged);
      Acknowledged.insert(Result.Id);
      RC_ASSERT(Result.Reached <= System.Gate.HighestAcknowledged);
    }
    for (const unacknowledged_write &Write : Before)
      RC_ASSERT(Acknowledged.contains(Write.Id) ==
                canBeAcknowledged(Model, Probed, Write));
    return Results;
  }

  // The rule as specified, independent of the implementation.
  bool canBeAcknowledged(const gate_model &Model, const primary_probe &Probed,
                         const unacknowledged_write &Write) const {
    if (!Model.Lease || Model.Fenced >= Model.ViewTerm || TermShift != 0 ||
        Write.Term.Value != Model.ViewTerm)
      return false;
    if (!Write.CoveringPosition && Probed.StartedAt < Write.AnsweredAt)
      return false;
    std::uint64_t Needed =
        Write.CoveringPosition ? Write.CoveringPosition->Offset : Offset;
    return Flushed[0] >= Needed || Flushed[1] >= Needed;
  }

  void show(std::ostream &Out) const override {
    Out << "event " << Kind << " ago " << StartedAgo << " offset " << Offset;
  }
};

} // namespace

TEST_CASE(
    "gateway: the acknowledgement gate follows its rule in all histories") {
  CHECK(rc::check([] {
    gate_model Model;
    gate_system System;
    rc::state::check(Model, System,
                     rc::state::gen::execOneOfWithArgs<gate_event>());
  }));
}

TEST_CASE(
    "gateway: a late probe acknowledges nothing after a fence of its term") {
  acknowledgement_gate Gate;
  applyFence(Gate, term(3));
  addPendingWrite(Gate, {1, term(3), at(1), at(9), std::nullopt});
  primary_probe Probe{at(2), {term(3), 5}, {{upstream_id("a"), 5}}};
  acknowledgement_conditions Conditions;
  Conditions.ViewTerm = term(3);
  Conditions.Replicas = {upstream_id("a")};
  Conditions.LeaseValid = true;
  CHECK(applyProbe(Gate, Probe, Conditions).empty());
  CHECK((Gate.HighestAcknowledged == position()));
}
