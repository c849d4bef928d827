/// Conversions between libpq's types and those of this module.
#pragma once

#include "modules/upstream/upstream_connection.h"

#include <libpq-fe.h>
#include <memory>
#include <string>
#include <vector>

namespace teasellock {

struct result_deleter {
  void operator()(PGresult *Result) const { PQclear(Result); }
};
using result_ptr = std::unique_ptr<PGresult, result_deleter>;

/// The parameters of one execution as arrays for libpq. Refers to the values.
struct parameter_arrays {
  std::vector<const char *> Values;
  std::vector<int> Lengths;
  std::vector<int> Formats;

  explicit parameter_arrays(const std::vector<wire::parameter> &Parameters);
};

/// Returns the types of parameters for libpq.
std::vector<Oid> toOids(const std::vector<std::int32_t> &Types);

/// Returns the rows of a result as text.
text_table toTable(const PGresult *Result);

/// Returns libpq's error message of the connection without line ends at its
/// end.
std::string problemOf(const PGconn *Connection);

/// Starts to connect. Returns null if there is no memory.
PGconn *startConnection(const upstream_target &Target);

} // namespace teasellock
