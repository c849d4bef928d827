/// The settings and prepared statements of a session at an upstream: which
/// statements prepare it for a caller's statement, and what is in force after
/// the upstream's answers.
///
/// A value counts as in force once the upstream has confirmed it. An upstream
/// rejects every statement of a transaction, SET and PREPARE included, once it
/// is no longer the primary; the session goes on after a rollback.
#pragma once

#include "modules/gateway/gen/gateway_messages_types.h"
#include "modules/line/line_connection.h"
#include "modules/line/line_protocol.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace teasellock {

/// The values that a session has.
struct session_values {
  /// Session settings in force, by name.
  std::map<std::string, std::string> Settings;
  /// Names of the prepared statements that the session has.
  std::set<std::string> Prepared;
  /// A statement that changes values failed after it was executed, so the
  /// session must not be used again.
  bool AreUnknown = false;
};

/// A change that a statement makes once the upstream has confirmed it.
struct session_change {
  enum class kind { Reset, Set, Prepare };
  kind Kind = kind::Reset;
  /// Set: name of the setting. Prepare: name of the prepared statement.
  std::string Name;
  /// Set: the value.
  std::string Value;
};

/// Statements that prepare a session, encoded, and the change that each makes.
struct session_preparation {
  std::string Bytes;
  std::vector<session_change> Changes;
};

/// Returns the name of a prepared statement at upstreams. It depends only on
/// the shape, so all callers' sessions share it.
std::string preparedName(const wire::line_step &Step);

/// Plans the statements that give a session the requested settings and, for
/// execute, the prepared statement.
session_preparation
planPreparation(const line_protocol &Protocol, const session_values &Values,
                const std::map<std::string, std::string> &RequestedSettings,
                const wire::line_step &Step);

/// Applies the changes that the upstream has confirmed. The answers are in the
/// order of the changes; there may be fewer, or further ones.
void confirmChanges(session_values &Values,
                    const std::vector<session_change> &Changes,
                    const std::vector<line_answer> &Answers);

} // namespace teasellock
