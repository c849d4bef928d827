#include "ctl/api_client.h"

#include "core/error.h"

#include <curl/curl.h>
#include <memory>

namespace teasellock {

namespace {

constexpr long ConnectTimeoutMs = 1000;
constexpr long CallTimeoutMs = 10000;
constexpr int ServiceUnavailable = 503;

size_t appendBody(char *Data, size_t Size, size_t Count, void *Target) {
  static_cast<std::string *>(Target)->append(Data, Size * Count);
  return Size * Count;
}

using curl_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using curl_headers =
    std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

std::string callVm(const endpoint &Vm, const std::string &Token,
                   const std::string &Method, const std::string &Path,
                   const std::string &Body, int &Status) {
  curl_handle Handle(curl_easy_init(), curl_easy_cleanup);
  std::string Url = "http://" + toString(Vm) + Path;
  std::string Text;
  std::string Authorization = "Authorization: Bearer " + Token;
  curl_slist *List =
      curl_slist_append(nullptr, "Content-Type: application/json");
  if (!Token.empty())
    List = curl_slist_append(List, Authorization.c_str());
  curl_headers Headers(List, curl_slist_free_all);
  curl_easy_setopt(Handle.get(), CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle.get(), CURLOPT_CUSTOMREQUEST, Method.c_str());
  curl_easy_setopt(Handle.get(), CURLOPT_HTTPHEADER, Headers.get());
  curl_easy_setopt(Handle.get(), CURLOPT_CONNECTTIMEOUT_MS, ConnectTimeoutMs);
  curl_easy_setopt(Handle.get(), CURLOPT_TIMEOUT_MS, CallTimeoutMs);
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEFUNCTION, appendBody);
  curl_easy_setopt(Handle.get(), CURLOPT_WRITEDATA, &Text);
  // Ignores proxy settings of the environment: VMs are called directly.
  curl_easy_setopt(Handle.get(), CURLOPT_PROXY, "");
  if (Method != "GET") {
    curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDS, Body.c_str());
    curl_easy_setopt(Handle.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(Body.size()));
  }
  CURLcode Code = curl_easy_perform(Handle.get());
  if (Code != CURLE_OK)
    throw error("api.call", toString(Vm), curl_easy_strerror(Code));
  long ResponseCode = 0;
  curl_easy_getinfo(Handle.get(), CURLINFO_RESPONSE_CODE, &ResponseCode);
  Status = static_cast<int>(ResponseCode);
  return Text;
}

} // namespace

api_client::api_client(std::vector<endpoint> Vms, std::string Token)
    : Vms(std::move(Vms)), Token(std::move(Token)) {}

api_response api_client::call(const std::string &Method,
                              const std::string &Path,
                              const std::string &Body) {
  std::string Problems;
  for (const auto &Vm : Vms) {
    try {
      api_response Response;
      std::string Text = callVm(Vm, Token, Method, Path, Body, Response.Status);
      Response.Body = nlohmann::json::parse(Text, nullptr, false);
      if (Response.Body.is_discarded())
        throw error("api.call", toString(Vm),
                    "the response is not JSON: " + Text);
      bool TryNextVm =
          Response.Status == ServiceUnavailable && &Vm != &Vms.back();
      if (!TryNextVm)
        return Response;
      Problems += toString(Vm) + ": " + Response.Body.dump() + "; ";
    } catch (const error &Problem) {
      Problems += Problem.peer() + ": " + Problem.reason() + "; ";
    }
  }
  throw error("api.call", Path, "no VM responded: " + Problems);
}

} // namespace teasellock
