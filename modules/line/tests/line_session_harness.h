/// One session of an entry, without sockets.
#pragma once

#include "modules/deployment/organisation_index.h"
#include "modules/line/line_caller_state.h"

#include <map>
#include <string>

namespace teasellock {

/// A session of an entry with one route, from database "db" to group "g".
struct line_session_harness {
  deployment Deployment;
  organisation_index Organisations;
  line_environment Environment;
  line_caller_state Caller;
  line_effects Effects;
  std::uint64_t LastTransaction = 0;

  line_session_harness();
  line_session_harness(const line_session_harness &) = delete;
  line_session_harness &operator=(const line_session_harness &) = delete;

  const organisation_index &organisations();

  /// Puts a new version into force in which the organisations hold these keys.
  void setKeys(const std::map<std::string, std::string> &OrganisationByKey);

  std::string sendMessage(const std::string &Line);

  std::string deliverReply(wire::statement_reply Reply);

  static wire::statement_reply answeredReply(const std::string &Messages);

  static wire::statement_reply
  failedReply(wire::statement_outcome::type Outcome, const std::string &Code);
};

} // namespace teasellock
