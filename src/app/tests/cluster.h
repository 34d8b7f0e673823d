#pragma once

#include "app/entryapp.h"
#include "framework/digest/digest.h"
#include "framework/fibers/asioscheduler.h"
#include "framework/fibers/waiter.h"
#include "framework/http/httpclient.h"
#include "standin/platform.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace laburnumspread::app {

inline boost::asio::io_context &sharedIo() {
  static boost::asio::io_context Io;
  static const bool Installed = (framework::fibers::useAsioScheduler(Io), true);
  (void)Installed;
  return Io;
}

/// Several complete entries and the simulated platform in one process. Tests
/// wait for conditions; WaitTimeout only ends a test whose condition never
/// holds.
class Cluster {
public:
  static constexpr auto WaitTimeout = std::chrono::seconds(60);
  static constexpr const char *Operator = "operator-secret";
  static constexpr const char *Caller = "caller-secret";

  explicit Cluster(int Entries, int Endpoints = 3) {
    BOOST_REQUIRE(Platform_.start().ok());
    for (int I = 0; I < Endpoints; ++I)
      EndpointPorts_.push_back(
          *Platform_.addEndpoint(vmName(I), 4, {"127.0.0.1", 0}));
    for (int I = 0; I < Entries; ++I)
      addEntry();
    BOOST_REQUIRE(waitFor([&] { return members() == Entries && allReady(); }));
  }

  static std::string vmName(int Index) { return "vm-" + std::to_string(Index); }

  EntryApp &addEntry() {
    const int Index = static_cast<int>(Entries_.size());
    ControlPorts_.push_back(*Platform_.addControl({"127.0.0.1", 0}));
    entry::EntrySettings Settings;
    Settings.Name_ = fleet::EntryName("e" + std::to_string(Index));
    Settings.Vm_ = fleet::VmName("entry-vm-" + std::to_string(Index));
    Settings.Zone_ = fleet::ZoneName("z" + std::to_string(Index % 3));
    Settings.HttpListen_ = Settings.PeerListen_ = {"127.0.0.1", 0};
    Settings.StoreEndpoints_ = {{"127.0.0.1", ControlPorts_.back()}};
    Settings.Platform_ = Settings.StoreEndpoints_[0];
    Settings.StorePrefix_ = "/l/";
    Settings.PeerKeys_ = Keys_;
    Settings.OperatorKeys_ = {{"test", framework::digest::sha256Hex(Operator)}};
    Settings.HttpLimits_.IoTimeout_ = std::chrono::milliseconds(300);
    for (const auto &Other : Entries_)
      Settings.Seeds_.push_back("127.0.0.1:" +
                                std::to_string(Other->peerPort()));
    Entries_.push_back(new EntryApp(sharedIo(), Settings));
    BOOST_REQUIRE(Entries_.back()->start().ok());
    return *Entries_.back();
  }

  /// Declares a pool "orders" with all endpoints, a team and its key, and waits
  /// until every entry serves requests.
  void declareFleet(int Limit = 8) {
    put("pools", "orders", R"({"budget": {"maxUnavailable": "50%"}})");
    put("teams", "caterers", R"({"limit": )" + std::to_string(Limit) + "}");
    put("keys", "key",
        R"({"team": "caterers", "sha256": ")" +
            framework::digest::sha256Hex(Caller) + "\"}");
    for (std::size_t I = 0; I < EndpointPorts_.size(); ++I)
      put("vms", vmName(static_cast<int>(I)),
          R"({"pool": "orders", "zone": "z0", "rack": "r)" + std::to_string(I) +
              R"(", "slots": 4, "address": "127.0.0.1:)" +
              std::to_string(EndpointPorts_[I]) + "\"}");
    BOOST_REQUIRE(waitFor([&] {
      for (std::size_t I = 0; I < Entries_.size(); ++I)
        if (submit(static_cast<int>(I)).Status_ != 200)
          return false;
      return true;
    }));
  }

  framework::http::Response put(const std::string &Kind,
                                const std::string &Name,
                                const std::string &Spec, int Entry = 0) {
    const auto Answer = call(Entry, "PUT", "/v1/" + Kind + "/" + Name,
                             R"({"metadata": {"name": ")" + Name +
                                 R"("}, "spec": )" + Spec + "}",
                             Operator);
    BOOST_REQUIRE_MESSAGE(Answer.Status_ == 200, Answer.Body_);
    return Answer;
  }

  framework::http::Response call(int Entry, const std::string &Method,
                                 const std::string &Target,
                                 const std::string &Body = "",
                                 const std::string &Key = Operator,
                                 const framework::http::Headers &More = {}) {
    framework::http::Client Client(sharedIo(),
                                   {"127.0.0.1", Entries_[Entry]->httpPort()});
    framework::http::Request Message;
    Message.Method_ = Method;
    Message.Target_ = Target;
    Message.Headers_.add("Host", "test");
    if (!Key.empty())
      Message.Headers_.add("Authorization", "Bearer " + Key);
    for (const auto &Field : More.all())
      Message.Headers_.add(Field.Name_, Field.Value_);
    Message.Body_ = Body;
    const auto Answer = Client.exchange(Message, deadline());
    return Answer.ok() ? *Answer : framework::http::Response();
  }

  framework::http::Response submit(int Entry,
                                   const framework::http::Headers &More = {},
                                   const std::string &Body = "{}") {
    return call(Entry, "POST", "/v1/pools/orders/requests", Body, Caller, More);
  }

  static std::string codeOf(const framework::http::Response &Answer) {
    boost::system::error_code Error;
    const auto Value = boost::json::parse(Answer.Body_, Error);
    if (Error || !Value.is_object() || !Value.get_object().contains("code"))
      return "";
    return std::string(Value.at("code").as_string());
  }

  static std::string outcomeOf(const framework::http::Response &Answer) {
    return std::string(
        Answer.Headers_.find("Request-Outcome").value_or("none"));
  }

  boost::json::object dump(int Entry) {
    return boost::json::parse(Entries_[Entry]->dump()).as_object();
  }

  /// Number of members in the view of entry 0; -1 if the view is not settled.
  int members() {
    const auto View = dump(0).at("view").as_object();
    if (View.at("number") != View.at("settledThrough"))
      return -1;
    return static_cast<int>(View.at("members").as_array().size());
  }

  /// Partitions an entry from all others, and from the store if \p Store.
  void isolate(int Entry, bool Store) {
    for (std::size_t I = 0; I < Entries_.size(); ++I)
      if (static_cast<int>(I) == Entry)
        Entries_[I]->setPeerFilter([](const auto &) { return false; });
      else
        Entries_[I]->setPeerFilter([Entry](const fleet::EntryName &Name) {
          return Name.str() != "e" + std::to_string(Entry);
        });
    Platform_.setControlUnreachable(ControlPorts_[Entry], Store);
  }

  void heal(int Entry) {
    for (EntryApp *Item : Entries_)
      Item->setPeerFilter(nullptr);
    Platform_.setControlUnreachable(ControlPorts_[Entry], false);
  }

  /// Whether every entry has started and is in contact with all others.
  bool allReady() {
    for (std::size_t I = 0; I < Entries_.size(); ++I) {
      const auto State = dump(static_cast<int>(I));
      if (!State.at("started").as_bool())
        return false;
      for (const auto &Member : State.at("view").at("members").as_array())
        if (!Member.at("inTouch").as_bool())
          return false;
    }
    return true;
  }

  template <typename Condition> static bool waitFor(Condition &&Holds) {
    const auto End = framework::clock::SystemClock().now() + WaitTimeout;
    while (!Holds()) {
      if (framework::clock::SystemClock().now() > End)
        return false;
      framework::fibers::sleepFor(std::chrono::milliseconds(10));
    }
    return true;
  }

  static framework::clock::TimePoint deadline() {
    return framework::clock::SystemClock().now() + WaitTimeout;
  }

  // The fibers of the entries and the platform run until the process exits, so
  // these are never destroyed.
  standin::Platform &Platform_ = *new standin::Platform(sharedIo(), {});
  std::vector<EntryApp *> Entries_;
  std::vector<std::uint16_t> ControlPorts_;
  std::vector<std::uint16_t> EndpointPorts_;
  peers::PeerKeys Keys_ = peers::generatePeerKeys();
};

} // namespace laburnumspread::app
