#include "app/tests/cluster.h"

#include "ctl/commands.h"
#include "framework/fibers/await.h"
#include "framework/fibers/spawn.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace laburnumspread;
using namespace laburnumspread::app;
using boost::asio::ip::tcp;
using framework::fibers::await;
using framework::http::Headers;

namespace {

/// One entry with a declared fleet, shared by the test cases that leave pools
/// and endpoints unchanged.
Cluster &sharedCluster() {
  static Cluster &Fleet = *[] {
    auto *Instance = new Cluster(1, 2);
    Instance->declareFleet();
    return Instance;
  }();
  return Fleet;
}

Headers singleHeader(const std::string &Name, const std::string &Value) {
  Headers Fields;
  Fields.add(Name, Value);
  return Fields;
}

Headers nonRepeatable(const std::string &Key) {
  Headers Fields = singleHeader("Repeatable", "?0");
  Fields.add("Idempotency-Key", Key);
  return Fields;
}

/// Sends raw bytes and reads until the server closes the connection.
std::string rawExchange(std::uint16_t Port, const std::string &Bytes) {
  tcp::socket Socket(sharedIo());
  await([&](auto Done) {
    Socket.async_connect({boost::asio::ip::make_address("127.0.0.1"), Port},
                         Done);
  });
  await([&](auto Done) {
    boost::asio::async_write(Socket, boost::asio::buffer(Bytes), Done);
  });
  std::string Answer;
  await([&](auto Done) {
    boost::asio::async_read(Socket, boost::asio::dynamic_buffer(Answer), Done);
  });
  return Answer;
}

std::string uuidMintedAt(framework::clock::TimePoint When) {
  std::array<char, 16> Stamp{};
  std::snprintf(
      Stamp.data(), Stamp.size(), "%012llx",
      static_cast<unsigned long long>(framework::clock::toMillis(When)));
  const std::string Time(Stamp.data());
  return Time.substr(0, 8) + "-" + Time.substr(8, 4) +
         "-7abc-8def-0123456789ab";
}

} // namespace

BOOST_AUTO_TEST_CASE(InvalidHeadersAreRefusedWithACodeAndNothingRuns) {
  Cluster &Fleet = sharedCluster();
  const auto Started = Fleet.Platform_.ledger().Started_;
  const auto Now = framework::clock::SystemClock().now();
  auto CodeWith = [&](const Headers &Fields) {
    const auto Answer = Fleet.submit(0, Fields);
    BOOST_TEST(Cluster::outcomeOf(Answer) == "not-run");
    return Cluster::codeOf(Answer);
  };
  BOOST_TEST(CodeWith(singleHeader("Repeatable", "perhaps")) == "bad-request");
  BOOST_TEST(CodeWith(singleHeader("Repeatable", "?0")) ==
             "missing-idempotency-key");
  BOOST_TEST(CodeWith(nonRepeatable("tiffin")) == "malformed-idempotency-key");
  BOOST_TEST(CodeWith(nonRepeatable(uuidMintedAt(
                 Now - std::chrono::hours(1)))) == "idempotency-key-too-old");
  BOOST_TEST(
      CodeWith(nonRepeatable(uuidMintedAt(Now + std::chrono::hours(1)))) ==
      "idempotency-key-from-the-future");
  BOOST_TEST(CodeWith(singleHeader("Request-Deadline", "1000")) ==
             "deadline-passed");
  BOOST_TEST(CodeWith(singleHeader("Request-Deadline", "soon")) ==
             "bad-request");
  BOOST_TEST(CodeWith(singleHeader("Request-Deadline", "99999999999999999")) ==
             "bad-request");
  BOOST_TEST(CodeWith(singleHeader("Request-Class", "royal")) == "bad-request");
  BOOST_TEST(CodeWith(singleHeader("Request-Size", "cpus=many")) ==
             "bad-request");
  BOOST_TEST(CodeWith(singleHeader("Request-Size", "accelerators=1")) ==
             "never-fits");
  BOOST_TEST(Fleet.Platform_.ledger().Started_ == Started);
}

BOOST_AUTO_TEST_CASE(KeysPoolsAndMethodsAreChecked) {
  Cluster &Fleet = sharedCluster();
  const std::string Target = "/v1/pools/orders/requests";
  BOOST_TEST(Cluster::codeOf(Fleet.call(0, "POST", Target, "{}", "")) ==
             "missing-key");
  BOOST_TEST(Cluster::codeOf(Fleet.call(0, "POST", Target, "{}", "guess")) ==
             "unknown-key");
  BOOST_TEST(Cluster::codeOf(Fleet.call(0, "POST", "/v1/pools/x/requests", "{}",
                                        Cluster::Caller)) == "unknown-pool");
  BOOST_TEST(Cluster::codeOf(Fleet.call(0, "GET", Target)) ==
             "method-not-allowed");
  BOOST_TEST(Cluster::codeOf(Fleet.call(0, "GET", "/v1/cows")) == "not-found");
  BOOST_TEST(Cluster::codeOf(Fleet.call(0, "GET", "/v1/vms", "",
                                        Cluster::Caller)) == "unknown-key");
}

// Malformed, oversized and slow requests must get an error response before the
// connection is closed, and must not affect other callers.
BOOST_AUTO_TEST_CASE(MalformedRequestsGetAnErrorResponse) {
  Cluster &Fleet = sharedCluster();
  const std::uint16_t Port = Fleet.Entries_[0]->httpPort();
  BOOST_TEST(rawExchange(Port, "RUBBISH\r\n\r\n").starts_with("HTTP/1.1 400"));
  BOOST_TEST(rawExchange(Port, "POST / HTTP/1.1\r\nX: " +
                                   std::string(20'000, 'x') + "\r\n\r\n")
                 .starts_with("HTTP/1.1 431"));
  const std::string Head = "POST /v1/pools/orders/requests HTTP/1.1\r\n"
                           "Authorization: Bearer " +
                           std::string(Cluster::Caller) + "\r\n";
  BOOST_TEST(rawExchange(Port, Head + "Content-Length: 99999999999\r\n\r\n")
                 .starts_with("HTTP/1.1 413"));
  // An incomplete header and an incomplete body, each without further data.
  BOOST_TEST(rawExchange(Port, "POST / HT").starts_with("HTTP/1.1 408"));
  const std::string Slow =
      rawExchange(Port, Head + "Content-Length: 100\r\n\r\nhalf");
  BOOST_TEST(Slow.starts_with("HTTP/1.1 408"));
  BOOST_TEST(Slow.find("not-run") != std::string::npos);
  BOOST_TEST(Fleet.submit(0).Status_ == 200);
}

BOOST_AUTO_TEST_CASE(LargeBodiesAreStreamed) {
  Cluster &Fleet = sharedCluster();
  const std::string Body(3 * 1024 * 1024, 'm');
  const auto Answer = Fleet.submit(0, {}, Body);
  BOOST_TEST(Answer.Status_ == 200);
  BOOST_TEST((Answer.Body_ == Body));
}

// An endpoint sends a response larger than the limit. The entry must break the
// connection before the announced end, so that the caller does not take a part
// for the complete response.
BOOST_AUTO_TEST_CASE(OversizedResponseIsNotDeliveredAsComplete) {
  Cluster Fleet(1, 1);
  Fleet.declareFleet();
  Fleet.Platform_.faults().Endpoints_[Cluster::vmName(0)].Mode_ =
      standin::EndpointMode::Oversize;
  BOOST_TEST(Fleet.submit(0).Status_ == 0);
}

BOOST_AUTO_TEST_CASE(StaleIfMatchIsRefusedWithConflict) {
  Cluster &Fleet = sharedCluster();
  const auto First =
      boost::json::parse(Fleet.put("teams", "racers", R"({"limit": 1})").Body_);
  const std::string Version(
      First.at("metadata").at("resourceVersion").as_string());
  Fleet.put("teams", "racers", R"({"limit": 2})");
  const auto Lost = Fleet.call(
      0, "PUT", "/v1/teams/racers",
      R"({"metadata": {"name": "racers"}, "spec": {"limit": 3}})",
      Cluster::Operator, singleHeader("If-Match", "\"" + Version + "\""));
  BOOST_TEST(Lost.Status_ == 409);
  BOOST_TEST(Cluster::codeOf(Lost) == "conflict");
  const auto Now =
      boost::json::parse(Fleet.call(0, "GET", "/v1/teams/racers").Body_);
  BOOST_TEST(Now.at("spec").at("limit").to_number<int>() == 2);
}

// Guards against a delete that goes through without its condition, because the
// condition could not be read.
BOOST_AUTO_TEST_CASE(MalformedIfMatchIsRefusedForEveryVerb) {
  Cluster &Fleet = sharedCluster();
  Fleet.put("teams", "guarded", R"({"limit": 1})");
  for (const char *const Verb : {"PUT", "DELETE"}) {
    const auto Answer =
        Fleet.call(0, Verb, "/v1/teams/guarded",
                   R"({"metadata": {"name": "guarded"}, "spec": {"limit": 2}})",
                   Cluster::Operator, singleHeader("If-Match", "yesterday"));
    BOOST_TEST(Answer.Status_ == 400, Verb);
  }
  const auto Now = Fleet.call(0, "GET", "/v1/teams/guarded");
  BOOST_TEST(Now.Status_ == 200);
  BOOST_TEST(
      boost::json::parse(Now.Body_).at("spec").at("limit").to_number<int>() ==
      1);
}

BOOST_AUTO_TEST_CASE(InvalidObjectsAreRefusedWithFieldAndReason) {
  Cluster &Fleet = sharedCluster();
  auto DetailOf = [&](const std::string &Target, const std::string &Body) {
    const auto Answer = Fleet.call(0, "PUT", Target, Body);
    BOOST_TEST(Answer.Status_ >= 400);
    return std::string(
        boost::json::parse(Answer.Body_).at("detail").as_string());
  };
  BOOST_TEST(DetailOf("/v1/teams/a", "{").starts_with("line 1"));
  BOOST_TEST(DetailOf("/v1/teams/a",
                      R"({"metadata": {"name": "b"}, "spec": {"limit": 1}})") ==
             "metadata.name: is not the name in the path");
  BOOST_TEST(DetailOf("/v1/keys/k", R"({"metadata": {"name": "k"},
      "spec": {"team": "nobody", "sha256": ")" +
                                        std::string(64, 'a') + "\"}}") ==
             "spec.team: there is no team nobody");
  Fleet.put("pools", "tight", R"({"budget": {"maxUnavailable": "0"}})");
  BOOST_TEST(Fleet.call(0, "DELETE", "/v1/pools/orders").Status_ == 409);
  BOOST_TEST(Fleet
                 .call(0, "PUT", "/v1/teams/dry?dryRun=true",
                       R"({"metadata": {"name": "dry"}, "spec": {"limit": 1}})")
                 .Status_ == 200);
  BOOST_TEST(Fleet.call(0, "GET", "/v1/teams/dry").Status_ == 404);
}

BOOST_AUTO_TEST_CASE(WatchersReceiveChangesAndExpiredVersionsGet410) {
  Cluster &Fleet = sharedCluster();
  const auto List = boost::json::parse(Fleet.call(0, "GET", "/v1/teams").Body_);
  const std::string Since(
      List.at("metadata").at("resourceVersion").as_string());
  framework::http::Client Client(sharedIo(),
                                 {"127.0.0.1", Fleet.Entries_[0]->httpPort()});
  framework::http::Request Watch;
  Watch.Method_ = "GET";
  Watch.Target_ = "/v1/teams?watch=true&resourceVersion=" + Since;
  Watch.Headers_.add("Authorization",
                     "Bearer " + std::string(Cluster::Operator));
  framework::fibers::spawn(
      [&] { Fleet.put("teams", "watched", R"({"limit": 1})"); });
  std::string Seen;
  Client
      .stream(
          Watch, Cluster::deadline(), [] { return Cluster::deadline(); },
          [](const auto &) { return true; },
          [&](std::string_view Part) {
            Seen += Part;
            return Seen.find("\"watched\"") == std::string::npos;
          })
      .IgnoreError();
  BOOST_TEST(Seen.find("ADDED") != std::string::npos);
  BOOST_TEST(Seen.find("BOOKMARK") != std::string::npos);
  BOOST_TEST(
      Fleet.call(0, "GET", "/v1/teams?watch=true&resourceVersion=0").Status_ ==
      410);
}

// Callers close their connections while one request runs and another one waits.
// The waiting one must leave the queue, the running one must be stopped, and
// both must release their slot and permit.
BOOST_AUTO_TEST_CASE(ClosingTheConnectionCancelsTheRequest) {
  Cluster Fleet(1, 1);
  Fleet.declareFleet(1);
  const std::uint16_t Port = Fleet.Entries_[0]->httpPort();
  const std::string Body = R"({"workMs": 60000})";
  const std::string Request =
      "POST /v1/pools/orders/requests HTTP/1.1\r\nAuthorization: Bearer " +
      std::string(Cluster::Caller) +
      "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
  tcp::socket Running(sharedIo()), Waiting(sharedIo());
  const tcp::endpoint To(boost::asio::ip::make_address("127.0.0.1"), Port);
  for (tcp::socket *Item : {&Running, &Waiting}) {
    await([&](auto Done) { Item->async_connect(To, Done); });
    await([&](auto Done) {
      boost::asio::async_write(*Item, boost::asio::buffer(Request), Done);
    });
  }
  BOOST_TEST(Cluster::waitFor([&] {
    return !Fleet.dump(0).at("queues").as_array().empty() &&
           Fleet.Platform_.ledger().RunningByTeam_["caterers"] == 1;
  }));
  Waiting.close();
  BOOST_TEST(Cluster::waitFor(
      [&] { return Fleet.dump(0).at("queues").as_array().empty(); }));
  Running.close();
  BOOST_TEST(Cluster::waitFor([&] {
    return Fleet.dump(0).at("inFlight").to_number<int>() == 0 &&
           Fleet.Platform_.ledger().Stopped_ == 1;
  }));
  BOOST_TEST(Fleet.submit(0).Status_ == 200);
}
