#include "modules/membership/operator_forwarding.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

wire::operator_reply makeReply(int Status, const std::string &Body) {
  wire::operator_reply Reply;
  Reply.status = Status;
  Reply.body = Body;
  return Reply;
}

} // namespace

TEST_CASE("membership: a forwarded request follows three redirections, to an "
          "address only") {
  forwarded_request Request;
  auto Redirect = makeReply(503, R"({"leader": "10.0.0.2:9000"})");
  CHECK((redirectionOf(Request, Redirect) == endpoint{"10.0.0.2", 9000}));
  CHECK_FALSE(redirectionOf(Request, makeReply(200, Redirect.body)));
  CHECK_FALSE(redirectionOf(Request, makeReply(503, R"({"leader": "none"})")));
  CHECK_FALSE(redirectionOf(Request, makeReply(503, "no leader")));
  Request.Redirects = 3;
  CHECK_FALSE(redirectionOf(Request, Redirect));
}

TEST_CASE("membership: a forwarded request ends once, at its deadline") {
  time_point Start(std::chrono::hours(1));
  forwarded_requests Requests;
  std::vector<int> Ended;
  for (std::uint64_t Number : {1, 2}) {
    auto &Request = Requests[request_id(Number)];
    Request.Deadline = Start + fromMilliseconds(1000 * Number);
    Request.Callback = [&](int Status, const std::string &) {
      Ended.push_back(Status);
    };
  }
  expireRequests(Requests, Start + fromMilliseconds(999));
  CHECK(Ended.empty());
  expireRequests(Requests, Start + fromMilliseconds(1000));
  expireRequests(Requests, Start + fromMilliseconds(1500));
  CHECK(Ended == std::vector<int>{504});
  CHECK(Requests.contains(request_id(2)));
}
