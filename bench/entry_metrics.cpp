#include "bench/entry_metrics.h"
#include "core/error.h"
#include "core/event_log.h"

#include <cstdlib>
#include <curl/curl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace teasellock::bench {

namespace {

constexpr long FetchTimeoutMs = 2000;

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Body) {
  static_cast<std::string *>(Body)->append(Data, Size * Count);
  return Size * Count;
}

std::string fetch(const endpoint &Daemon) {
  std::string Body;
  std::string Url = "http://" + toString(Daemon) + "/metrics";
  CURL *Handle = curl_easy_init();
  curl_easy_setopt(Handle, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Handle, CURLOPT_TIMEOUT_MS, FetchTimeoutMs);
  curl_easy_setopt(Handle, CURLOPT_WRITEFUNCTION, appendBody);
  curl_easy_setopt(Handle, CURLOPT_WRITEDATA, &Body);
  CURLcode Code = curl_easy_perform(Handle);
  curl_easy_cleanup(Handle);
  if (Code != CURLE_OK)
    event("metrics.fetch_failed", severity::Warning)
        .with("daemon", toString(Daemon))
        .with("reason", curl_easy_strerror(Code));
  return Body;
}

} // namespace

read_counts sumReads(const std::string &PrometheusText) {
  read_counts Counts;
  std::istringstream Lines(PrometheusText);
  std::string Line;
  while (std::getline(Lines, Line)) {
    if (!Line.starts_with("teasellock_reads_total"))
      continue;
    std::size_t Space = Line.rfind(' ');
    if (Space == std::string::npos)
      continue;
    double Value = std::strtod(Line.c_str() + Space, nullptr);
    if (Line.find("by=\"replica\"") != std::string::npos)
      Counts.Replica += Value;
    else if (Line.find("by=\"primary\"") != std::string::npos)
      Counts.Primary += Value;
  }
  return Counts;
}

read_counts fetchReads(const std::vector<endpoint> &Daemons) {
  read_counts Sum;
  for (const endpoint &Daemon : Daemons) {
    read_counts Counts = sumReads(fetch(Daemon));
    Sum.Replica += Counts.Replica;
    Sum.Primary += Counts.Primary;
  }
  return Sum;
}

std::int64_t residentBytes(std::int64_t Pid) {
  std::string File = "/proc/" + std::to_string(Pid) + "/statm";
  std::ifstream In(File);
  std::int64_t Total = 0, Resident = 0;
  if (!(In >> Total >> Resident))
    throw error("memory.read", File, "cannot be read");
  return Resident * sysconf(_SC_PAGESIZE);
}

} // namespace teasellock::bench
