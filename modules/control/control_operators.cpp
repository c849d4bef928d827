#include "modules/control/control_service_state.h"

#include "core/event_log.h"
#include "modules/control/assignment.h"
#include "modules/control/leases.h"
#include "modules/control/operator_json.h"
#include "modules/control/promotion.h"
#include "modules/control/renewal_reply.h"
#include "modules/control/table_edit.h"
#include "modules/link/codec.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace teasellock {

namespace {

using nlohmann::json;

std::string toText(const json &Json) {
  return Json.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<std::string> splitPath(const std::string &Path) {
  std::vector<std::string> Parts;
  std::istringstream In(Path);
  for (std::string Part; std::getline(In, Part, '/');)
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

} // namespace

void control_service::state::onOperatorRequest(link_id Link,
                                               link_message &&Message) {
  auto Request = decode<wire::operator_request>(Message.Body, "operator");
  handle(Request.method, Request.path, Request.body,
         [this, Link, Number = Message.Request](int Status, std::string Body) {
           wire::operator_reply Reply;
           Reply.status = Status;
           Reply.body = std::move(Body);
           Hub.send(Link, {message_kind(OperatorReplyKind), Number,
                           encode(Reply), ""});
         });
}

void control_service::state::answerNotLeader(const answer_callback &Answer) {
  auto Known = Consensus.leaderAddress();
  json Leader = Known ? json(toString(*Known)) : json();
  Answer(503, toText({{"error", "this VM does not lead control"},
                      {"leader", Leader}}));
}

void control_service::state::handle(const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Body,
                                    const answer_callback &Answer) {
  auto Parts = splitPath(Path);
  bool Known = !Parts.empty() && (Parts[0] == "v1" || Parts[0] == "internal");
  if (Parts.size() < 2 || !Known) {
    Answer(404, errorResult(404, "no such path").Body);
    return;
  }
  if (Parts[1] == "control" && handleControl(Method, Parts, Body, Answer))
    return;
  if (!Leading || !Consensus.isLeader()) {
    answerNotLeader(Answer);
    return;
  }
  if (handleInternal(Method, Parts, Body, Answer))
    return;
  if (Method == "GET" && handleRead(Parts, Answer))
    return;
  if (Method == "PUT" && Parts.size() == 2 && Parts[1] == "table") {
    putTable(Body, Answer);
    return;
  }
  if (Method == "POST" && Parts.size() == 4) {
    if (Parts[1] == "proposals") {
      judgeProposal(Parts[2], Parts[3], Answer);
      return;
    }
    if (Parts[1] == "groups" && Parts[3] == "promote") {
      promoteByOperator(group_id(Parts[2]), Body, Answer);
      return;
    }
    if (Parts[1] == "vms" && Parts[3] == "drain") {
      drainByOperator(vm_id(Parts[2]), Answer);
      return;
    }
  }
  Answer(404, errorResult(404, "no such path").Body);
}

bool control_service::state::handleRead(const std::vector<std::string> &Parts,
                                        const answer_callback &Answer) {
  const auto &Resource = Parts[1];
  if (Parts.size() == 3 && Resource == "groups") {
    auto Group = Replicated.Groups.find(group_id(Parts[2]));
    if (Group == Replicated.Groups.end())
      Answer(404, errorResult(404, "no group " + Parts[2]).Body);
    else
      Answer(200, toText(groupJson(Group->second, Leader)));
    return true;
  }
  if (Parts.size() == 3 && Resource == "table" && Parts[2] == "status") {
    Answer(200, toText(tableStatusJson(Replicated, Leader, now())));
    return true;
  }
  if (Parts.size() != 2)
    return false;
  if (Resource == "table")
    Answer(200, toText(tableJson(Replicated)));
  else if (Resource == "groups")
    Answer(200, toText(groupsJson(Replicated, Leader)));
  else if (Resource == "vms")
    Answer(200, toText(vmsJson(Replicated, Leader, Settings, now())));
  else if (Resource == "limiters")
    Answer(200, toText(limitersJson(Replicated, Leader, Settings, now())));
  else if (Resource == "deployment")
    Answer(200, toText(deploymentJson(Replicated)));
  else if (Resource == "proposals")
    Answer(200, toText(proposalsJson(Leader)));
  else
    return false;
  return true;
}

void control_service::state::answerEdit(const edit_id &Edit,
                                        const answer_callback &Answer) {
  const auto *First = findEditOutcome(Replicated, Edit);
  if (!First) {
    Answer(503, errorResult(503, "the edit's outcome is unknown; send it again "
                                 "with the same edit id")
                    .Body);
    return;
  }
  auto Result = editResult(*First);
  Answer(Result.Status, Result.Body);
}

void control_service::state::putTable(const std::string &Body,
                                      const answer_callback &Answer) {
  auto Edit = parseEdit(Body);
  if (!Edit.Problems.empty()) {
    Answer(400, problemsJson(Edit.Problems));
    return;
  }
  if (findEditOutcome(Replicated, Edit.Edit)) {
    answerEdit(Edit.Edit, Answer);
    return;
  }
  event("control.table_edit")
      .with("edit", Edit.Edit.Value)
      .with("base", Edit.Base.Value)
      .with("rows", static_cast<std::uint64_t>(Edit.Rows.size()));
  propose(makeEditCommand(Edit.Edit, Edit.Base, Edit.Rows),
          [this, Id = Edit.Edit, Answer](proposal_outcome Outcome) {
            if (Outcome == proposal_outcome::Rejected)
              answerNotLeader(Answer);
            else
              answerEdit(Id, Answer);
          });
}

void control_service::state::judgeProposal(const std::string &Id,
                                           const std::string &Verdict,
                                           const answer_callback &Answer) {
  auto Found = Leader.Proposals.find(Id);
  if (Found == Leader.Proposals.end()) {
    Answer(404, errorResult(404, "no proposal " + Id).Body);
    return;
  }
  if (Verdict == "approve") {
    Leader.ApprovedProposals.insert(Id);
    Leader.RejectedProposals.erase(Id);
  } else if (Verdict == "reject") {
    Leader.RejectedProposals.insert(Id);
    Leader.ApprovedProposals.erase(Id);
  } else {
    Answer(404, errorResult(404, "approve or reject").Body);
    return;
  }
  event("control.proposal_judged").with("id", Id).with("verdict", Verdict);
  Answer(200, toText({{"id", Id}, {"verdict", Verdict}}));
  scheduleDecision(Found->second.Group);
}

void control_service::state::promoteByOperator(const group_id &Name,
                                               const std::string &Body,
                                               const answer_callback &Answer) {
  auto Group = Replicated.Groups.find(Name);
  json Request = json::parse(Body, nullptr, false);
  bool IsValid = Request.is_object() && Request.contains("upstream") &&
                 Request["upstream"].is_string() &&
                 (!Request.contains("force") || Request["force"].is_boolean());
  if (Group == Replicated.Groups.end() || !IsValid) {
    int Status = IsValid ? 404 : 400;
    Answer(Status, errorResult(Status, IsValid ? "no group " + Name.Value
                                               : "{upstream, force} expected")
                       .Body);
    return;
  }
  if (Committing.contains(Name)) {
    Answer(409, errorResult(409, "a change of the group is being committed; "
                                 "try again")
                    .Body);
    return;
  }
  upstream_id Upstream(Request["upstream"].get<std::string>());
  bool Force = Request.value("force", false);
  try {
    auto Next = beginManualPromotion(Group->second, Upstream, Force);
    json Risk = promotionRiskJson(Group->second, Leader, Upstream);
    Risk["forced"] = Force;
    commit(Next, "promote_by_hand", toText(Risk));
    Answer(202, toText(Risk));
  } catch (const error &Problem) {
    Answer(400, errorResult(400, Problem.reason()).Body);
  }
}

void control_service::state::drainByOperator(const vm_id &Vm,
                                             const answer_callback &Answer) {
  auto Known = Replicated.Vms.find(Vm);
  if (Known == Replicated.Vms.end()) {
    Answer(404, errorResult(404, "no VM " + Vm.Value).Body);
    return;
  }
  auto Record = Known->second;
  Record.Draining = true;
  propose(makeVmCommand(Record), [this, Vm, Answer](proposal_outcome Outcome) {
    if (Outcome == proposal_outcome::Committed)
      Answer(202, toText({{"vm", Vm.Value}, {"draining", true}}));
    else
      answerNotLeader(Answer);
  });
}

bool control_service::state::handleControl(
    const std::string &Method, const std::vector<std::string> &Parts,
    const std::string &Body, const answer_callback &Answer) {
  if (Parts.size() != 3)
    return false;
  if (Method == "GET" && Parts[2] == "status")
    Answer(200, Consensus.statusJson());
  else if (Method == "POST" && Parts[2] == "init")
    initialise(Body, Answer);
  else if (Method == "POST" && Parts[2] == "replace")
    replaceMember(Body, Answer);
  else
    return false;
  return true;
}

namespace {

/// Store ids are JSON numbers, or strings where JavaScript cannot represent the
/// number.
store_id storeFromJson(const json &Json) {
  try {
    if (Json.is_string())
      return store_id(std::stoull(Json.get<std::string>()));
    return store_id(Json.get<std::uint64_t>());
  } catch (const std::exception &) {
    throw error("control.member", "request", "store must be a number");
  }
}

/// Parses {store, vm, address, voter}. Throws error if a field is missing or
/// malformed.
control_member memberFromJson(const json &Json) {
  control_member Member;
  try {
    Member.Store = storeFromJson(Json.at("store"));
    Member.Vm = vm_id(Json.at("vm").get<std::string>());
    Member.Address = parseEndpoint(Json.at("address").get<std::string>());
    Member.IsVoter = Json.value("voter", true);
  } catch (const json::exception &Problem) {
    throw error("control.member", "request", Problem.what());
  }
  return Member;
}

std::vector<control_member> membersFromJson(const json &Request) {
  if (!Request.is_object() || !Request.contains("members") ||
      !Request["members"].is_array())
    throw error("control.member", "request", "{members: [...]} expected");
  std::vector<control_member> Members;
  for (const auto &Member : Request["members"])
    Members.push_back(memberFromJson(Member));
  return Members;
}

} // namespace

void control_service::state::initialise(const std::string &Body,
                                        const answer_callback &Answer) {
  try {
    Consensus.initialise(membersFromJson(json::parse(Body, nullptr, false)));
    Answer(200, Consensus.statusJson());
  } catch (const error &Problem) {
    Answer(400, errorResult(400, Problem.reason()).Body);
  }
}

void control_service::state::replaceMember(const std::string &Body,
                                           const answer_callback &Answer) {
  json Request = json::parse(Body, nullptr, false);
  try {
    if (Request.is_object() && Request.contains("force") &&
        Request["force"] == true) {
      Answer(200,
             toText({{"done", true}, {"risk", Consensus.forceSingleMember()}}));
      return;
    }
    if (!Consensus.isLeader()) {
      answerNotLeader(Answer);
      return;
    }
    if (!Request.is_object() || !Request.contains("old") ||
        !Request.contains("new"))
      throw error("control.replace", "request", "{old, new} expected");
    auto Progress = Consensus.replaceMember(storeFromJson(Request["old"]),
                                            memberFromJson(Request["new"]));
    Answer(Progress.IsDone ? 200 : 202,
           toText({{"done", Progress.IsDone}, {"step", Progress.Step}}));
  } catch (const error &Problem) {
    Answer(400, errorResult(400, Problem.reason()).Body);
  }
}

} // namespace teasellock
