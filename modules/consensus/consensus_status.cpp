#include "modules/consensus/consensus_status.h"

#include <nlohmann/json.hpp>

namespace teasellock {

namespace {

using nlohmann::json;

const char *roleName(consensus_role Role) {
  switch (Role) {
  case consensus_role::Follower:
    return "follower";
  case consensus_role::PreCandidate:
    return "pre-candidate";
  case consensus_role::Candidate:
    return "candidate";
  case consensus_role::Leader:
    return "leader";
  }
  return "unknown";
}

json memberStatus(const consensus_state &State, const control_member &Member,
                  time_point Now) {
  json Status = {{"store", toString(Member.Store)},
                 {"vm", toString(Member.Vm)},
                 {"address", toString(Member.Address)},
                 {"voter", Member.IsVoter}};
  auto Found = State.Followers.find(Member.Store);
  if (Found == State.Followers.end())
    return Status;
  const follower_progress &Follower = Found->second;
  Status["match"] = Follower.MatchIndex;
  if (Follower.LastReceivedAt != time_point())
    Status["last_heard_ms"] = toMilliseconds(Now - Follower.LastReceivedAt);
  return Status;
}

} // namespace

std::string consensusStatusJson(const consensus_state &State, bool Failed,
                                time_point Now) {
  json Status = {{"store", toString(State.Self)},
                 {"cluster", std::to_string(State.HardState.Cluster)},
                 {"role", Failed ? "failed" : roleName(State.Role)},
                 {"term", State.HardState.Term},
                 {"leader", toString(State.Leader)},
                 {"last", State.Log.lastIndex()},
                 {"committed", State.CommitIndex},
                 {"applied", State.AppliedIndex},
                 {"members", json::array()}};
  for (const control_member &Member : currentMembers(State))
    Status["members"].push_back(memberStatus(State, Member, Now));
  return Status.dump();
}

} // namespace teasellock
