#pragma once

#include "core/endpoint.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace teasellock {

/// An answer of the HTTP API.
struct api_answer {
  int Status = 0;
  nlohmann::json Body;
};

/// Calls the HTTP API of the first VM that answers.
class api_client {
public:
  /// VMs are tried in order. Token may be empty.
  api_client(std::vector<endpoint> Vms, std::string Token);

  /// Throws error when no VM answers or an answer is no JSON. An edit carries
  /// an edit id, so that a call whose answer was lost may be sent again.
  api_answer call(const std::string &Method, const std::string &Path,
                  const std::string &Body = "");

private:
  std::vector<endpoint> Vms;
  std::string Token;
};

} // namespace teasellock
