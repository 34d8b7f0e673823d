#include "advisor.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace json = boost::json;

Advisor::Advisor(Times Takes, Policy Allows)
    : Takes_(Takes), Allows_(std::move(Allows)),
      Server_([this](const HttpRequest &Call) { return handle(Call); }) {}

json::object Advisor::terms() const {
  return {{"decide_ms", Takes_.DecideMs_},
          {"each_ms", Takes_.EachMs_},
          {"valid_ms", Takes_.ValidMs_}};
}

bool Advisor::valid(const std::string &Step, const std::string &Worker,
                    const std::string &Ticket) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const auto Found = Issued_.find({Step, Worker, Ticket});
  return Found != Issued_.end() &&
         Steady::now() - Found->second < Millis(Takes_.ValidMs_);
}

HttpAnswer Advisor::handle(const HttpRequest &Call) {
  const std::lock_guard<std::mutex> Turn(Turns_);
  const json::value Body = json::parse(Call.Body_);
  const std::string Step(Body.at("step").as_string().c_str());
  const json::array &Named = Body.at("workers").as_array();
  sleepFor(Takes_.DecideMs_ +
           Takes_.EachMs_ * static_cast<std::int64_t>(Named.size()));
  json::array Good;
  std::set<std::string> Ids;
  for (const json::value &Item : Named) {
    const std::string Id(Item.as_string().c_str());
    Ids.insert(Id);
    if (!Allows_(Step, Id))
      continue;
    const std::lock_guard<std::mutex> Lock(Mutex_);
    const std::string Ticket = "t" + std::to_string(++Next_);
    Issued_[{Step, Id, Ticket}] = Steady::now();
    Good.push_back(json::array{Id, Ticket});
  }
  const std::string First = Ids.empty() ? "" : *Ids.begin();
  const std::string Last = Ids.empty() ? "" : *Ids.rbegin();
  record("advise " + Step + ": " + std::to_string(Named.size()) +
         " workers named, " + First + " to " + Last + " -> " +
         std::to_string(Good.size()) + " good");
  return {200,
          json::serialize(
              json::object{{"good", Good}, {"valid_ms", Takes_.ValidMs_}}),
          false};
}

} // namespace review
