#pragma once

#include "core/endpoint.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace teasellock {

/// A response of the HTTP API.
struct api_response {
  int Status = 0;
  nlohmann::json Body;
};

/// Client of the HTTP API. Tries the configured VMs until one responds.
class api_client {
public:
  /// VMs are tried in order. Token is the bearer token of operators; it may be
  /// empty.
  api_client(std::vector<endpoint> Vms, std::string Token);

  /// Sends a request to the VMs in order and returns the first response. The
  /// next VM is tried when the connection fails, when the response is not JSON,
  /// and on status 503 unless it is the last VM. Throws error with step
  /// "api.call" when no VM has responded. A request may thus be executed more
  /// than once; edits of the table carry an edit id, which makes retries safe.
  api_response call(const std::string &Method, const std::string &Path,
                    const std::string &Body = "");

private:
  std::vector<endpoint> Vms;
  std::string Token;
};

} // namespace teasellock
