#include "ctl/commands.h"

#include "ctl/internal/following.h"
#include "ctl/internal/reporting.h"
#include "ctl/table.h"
#include "fleet/resourcejson.h"
#include "framework/digest/digest.h"
#include "framework/fibers/waiter.h"
#include "framework/settings/jsonreader.h"
#include "peers/peermesh.h"

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include <boost/json.hpp>

namespace laburnumspread::ctl {

namespace json = boost::json;
using framework::clock::SystemClock;
using framework::clock::TimePoint;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t SecretBytes = 24;

void print(const Command &Given, const std::string &Kind,
           const json::value &Value) {
  if (Given.Output_ == Output::Json)
    std::cout << json::serialize(Value) << '\n';
  else
    std::cout << tableOf(Kind, Value);
}

/// Objects of a file: one, or a list under "items".
absl::StatusOr<std::vector<json::value>> readObjects(const std::string &File) {
  std::stringstream Text;
  if (File == "-") {
    Text << std::cin.rdbuf();
  } else {
    std::ifstream In(File);
    if (!In)
      return absl::NotFoundError(File + ": cannot be read");
    Text << In.rdbuf();
  }
  const auto Document = framework::settings::parseJson(Text.str());
  if (!Document.ok())
    return absl::InvalidArgumentError(File + ": " +
                                      std::string(Document.status().message()));
  std::vector<json::value> Objects;
  if (Document->is_object() && Document->get_object().contains("items")) {
    const json::value &Items = Document->get_object().at("items");
    if (!Items.is_array())
      return absl::InvalidArgumentError(File + ": items: must be an array");
    for (const json::value &Item : Items.get_array())
      Objects.push_back(Item);
  } else {
    Objects.push_back(*Document);
  }
  return Objects;
}

/// Checks an object as far as that goes without a server.
std::string faultsOf(const json::value &Object) {
  const auto Kind = fleet::parseKind(textAt(Object, "kind"));
  if (!Kind)
    return "kind: must be one of pools vms teams keys waves";
  framework::settings::FieldErrors Errors;
  switch (*Kind) {
  case fleet::Kind::Pools:
    fleet::readResource<fleet::Pool>(Object, Errors);
    break;
  case fleet::Kind::Vms:
    fleet::readResource<fleet::Vm>(Object, Errors);
    break;
  case fleet::Kind::Teams:
    fleet::readResource<fleet::Team>(Object, Errors);
    break;
  case fleet::Kind::Keys:
    fleet::readResource<fleet::Key>(Object, Errors);
    break;
  case fleet::Kind::Waves:
    fleet::readResource<fleet::Wave>(Object, Errors);
    break;
  }
  return framework::settings::describe(Errors);
}

/// Reads and checks the file of -f; says on the standard error what is wrong.
absl::StatusOr<std::vector<json::value>> checkedObjects(const Command &Given) {
  auto Objects = readObjects(Given.File_);
  if (!Objects.ok())
    return Objects;
  std::string Faults;
  for (const json::value &Object : *Objects)
    if (const std::string Text = faultsOf(Object); !Text.empty())
      Faults += "\n  " + Given.File_ + ": " + textAt(Object, "kind") + "/" +
                textAt(Object, "metadata.name") + ": " + Text;
  if (!Faults.empty())
    return absl::InvalidArgumentError("not applied:" + Faults);
  return Objects;
}

ExitCode validate(const Command &Given) {
  const auto Objects = checkedObjects(Given);
  if (!Objects.ok())
    return complain(ExitCode::Usage, std::string(Objects.status().message()));
  std::cout << Objects->size() << " objects are valid\n";
  return ExitCode::Ok;
}

ExitCode waitInForce(Session &Server, const std::string &Target) {
  const TimePoint Deadline = SystemClock().now() + 30s;
  while (SystemClock().now() < Deadline) {
    const auto Answer = Server.call("GET", Target, "");
    if (Answer.ok() &&
        Answer->Text_.find("\"AllEntries\"") != std::string::npos)
      return ExitCode::Ok;
    framework::fibers::sleepFor(PollEvery);
  }
  return complain(ExitCode::TimedOut, Target + ": not in force everywhere yet");
}

ExitCode apply(Session &Server, const Command &Given) {
  const auto Objects = checkedObjects(Given);
  if (!Objects.ok())
    return complain(ExitCode::Usage, std::string(Objects.status().message()));
  ExitCode Worst = ExitCode::Ok;
  std::size_t Changed = 0;
  std::string LastTarget;
  for (const json::value &Object : *Objects) {
    const std::string Target =
        "/v1/" + textAt(Object, "kind") + "/" + textAt(Object, "metadata.name");
    framework::http::Headers More;
    if (!Given.IfMatch_.empty())
      More.add("If-Match", Given.IfMatch_);
    const auto Answer =
        Server.call("PUT", Target + (Given.DryRun_ ? "?dryRun=true" : ""),
                    json::serialize(Object), More);
    if (!Answer.ok())
      return reportUnreachable(Answer.status());
    if (!succeeded(*Answer)) {
      std::cerr << Target << ": ";
      Worst = reportRefusal(*Answer);
      continue;
    }
    const bool New = textAt(Answer->Json_, "changed") == "true";
    Changed += New;
    LastTarget = Target;
    if (Given.Output_ == Output::Json)
      std::cout << Answer->Text_ << '\n';
    else if (New)
      std::cout << Target.substr(4)
                << (Given.DryRun_ ? " would change\n" : " changed\n");
  }
  if (Given.Output_ == Output::Table)
    std::cout << Changed << " of " << Objects->size() << " objects changed\n";
  if (Given.Wait_ && Worst == ExitCode::Ok && !LastTarget.empty())
    return waitInForce(Server, LastTarget);
  return Worst;
}

ExitCode watch(Session &Server, const Command &Given, const std::string &Kind) {
  std::string Target = "/v1/" + Kind + "?watch=true";
  if (!Given.Since_.empty())
    Target += "&resourceVersion=" + Given.Since_;
  const absl::Status Ended =
      Server.stream(Target, [&](const json::value &Line) {
        if (Given.Output_ == Output::Json) {
          std::cout << json::serialize(Line) << std::endl;
          return true;
        }
        if (textAt(Line, "type") == "BOOKMARK")
          return true;
        if (Kind == "decisions")
          std::cout << textAt(Line, "object.kind") << "  "
                    << textAt(Line, "object.subject") << "  "
                    << textAt(Line, "object.reason") << "  "
                    << textAt(Line, "object.detail") << std::endl;
        else
          std::cout << textAt(Line, "type") << "  " << Kind << "/"
                    << textAt(Line, "object.metadata.name") << "  "
                    << textAt(Line, "object.status.phase") << "  generation "
                    << textAt(Line, "object.metadata.generation") << std::endl;
        return true;
      });
  return complain(ExitCode::Refused,
                  "stream ended: " + std::string(Ended.message()));
}

ExitCode get(Session &Server, const Command &Given) {
  if (Given.Words_.empty())
    return complain(ExitCode::Usage, "get needs a kind");
  const std::string &Kind = Given.Words_[0];
  if (Given.Watch_)
    return watch(Server, Given, Kind);
  std::string Target = "/v1/" + Kind;
  if (Given.Words_.size() > 1)
    Target += "/" + Given.Words_[1];
  const auto Answer = Server.call("GET", Target, "");
  if (!Answer.ok())
    return reportUnreachable(Answer.status());
  if (!succeeded(*Answer))
    return reportRefusal(*Answer);
  if (Given.Words_.size() > 1 && Kind != "entries")
    print(Given, Kind, json::object{{"items", json::array{Answer->Json_}}});
  else
    print(Given, Kind, Answer->Json_);
  return ExitCode::Ok;
}

void printIndented(const json::value &Value, std::size_t Depth) {
  const std::string Pad(2 * Depth, ' ');
  if (const json::object *Object = Value.if_object()) {
    for (const auto &Field : *Object) {
      const bool Nested = Field.value().is_object() || Field.value().is_array();
      std::cout << Pad << std::string_view(Field.key()) << ":";
      if (Nested) {
        std::cout << '\n';
        printIndented(Field.value(), Depth + 1);
      } else {
        std::cout << ' ' << textAt(Field.value(), "") << '\n';
      }
    }
  } else if (const json::array *Items = Value.if_array()) {
    for (const json::value &Item : *Items) {
      if (Item.is_object()) {
        std::cout << Pad << "-\n";
        printIndented(Item, Depth + 1);
      } else {
        std::cout << Pad << "- " << textAt(Item, "") << '\n';
      }
    }
  }
}

ExitCode describe(Session &Server, const Command &Given) {
  if (Given.Words_.size() != 2)
    return complain(ExitCode::Usage, "describe needs a kind and a name");
  const auto Answer =
      Server.call("GET", "/v1/" + Given.Words_[0] + "/" + Given.Words_[1], "");
  if (!Answer.ok())
    return reportUnreachable(Answer.status());
  if (!succeeded(*Answer))
    return reportRefusal(*Answer);
  printIndented(Answer->Json_, 0);
  return ExitCode::Ok;
}

ExitCode remove(Session &Server, const Command &Given) {
  if (Given.Words_.size() != 2)
    return complain(ExitCode::Usage, "delete needs a kind and a name");
  framework::http::Headers More;
  if (!Given.IfMatch_.empty())
    More.add("If-Match", Given.IfMatch_);
  const auto Answer =
      Server.call("DELETE",
                  "/v1/" + Given.Words_[0] + "/" + Given.Words_[1] +
                      (Given.DryRun_ ? "?dryRun=true" : ""),
                  "", More);
  if (!Answer.ok())
    return reportUnreachable(Answer.status());
  if (!succeeded(*Answer))
    return reportRefusal(*Answer);
  std::cout << Given.Words_[0] << "/" << Given.Words_[1] << " deleted\n";
  return ExitCode::Ok;
}

ExitCode dump(Session &Server) {
  const auto Answer = Server.call("GET", "/debug/state", "");
  if (!Answer.ok())
    return reportUnreachable(Answer.status());
  if (!succeeded(*Answer))
    return reportRefusal(*Answer);
  std::cout << Answer->Text_ << '\n';
  return ExitCode::Ok;
}

ExitCode submit(Session &Server, const Command &Given) {
  if (Given.Words_.empty())
    return complain(ExitCode::Usage, "submit needs a pool");
  framework::http::Headers More;
  More.add("Request-Deadline",
           std::to_string(framework::clock::toMillis(SystemClock().now()) +
                          Given.TimeoutMs_));
  if (!Given.Class_.empty())
    More.add("Request-Class", Given.Class_);
  std::string Key = Given.IdempotencyKey_;
  if (Given.Once_) {
    More.add("Repeatable", "?0");
    if (Key.empty())
      Key = newIdempotencyKey();
  }
  if (!Key.empty())
    More.add("Idempotency-Key", Key);
  const auto Answer = Server.call(
      "POST", "/v1/pools/" + Given.Words_[0] + "/requests", Given.Body_, More);
  if (!Answer.ok())
    return reportUnreachable(Answer.status());
  if (Given.Output_ == Output::Json)
    std::cout << json::serialize(json::object{{"status", Answer->Status_},
                                              {"outcome", Answer->Outcome_},
                                              {"idempotencyKey", Key},
                                              {"replayed", Answer->Replayed_},
                                              {"body", Answer->Text_}})
              << '\n';
  else
    std::cout << "outcome " << Answer->Outcome_ << ", status "
              << Answer->Status_ << (Answer->Replayed_ ? ", replayed" : "")
              << '\n'
              << Answer->Text_ << '\n';
  if (Answer->Outcome_ == "ran")
    return ExitCode::Ok;
  return Answer->Outcome_ == "unknown" ? ExitCode::Unknown : ExitCode::Refused;
}

ExitCode keygen(const Command &Given) {
  if (Given.Peer_) {
    const peers::PeerKeys Keys = peers::generatePeerKeys();
    std::cout << json::serialize(json::object{{"public", Keys.Public_},
                                              {"secret", Keys.Secret_}})
              << '\n';
    return ExitCode::Ok;
  }
  const std::string Secret = framework::digest::randomHex(SecretBytes);
  std::cout << json::serialize(json::object{
                   {"secret", Secret},
                   {"sha256", framework::digest::sha256Hex(Secret)}})
            << '\n';
  return ExitCode::Ok;
}

} // namespace

std::string newIdempotencyKey() {
  const auto Millis = static_cast<unsigned long long>(
      framework::clock::toMillis(SystemClock().now()));
  const std::string Random = framework::digest::randomHex(10);
  std::array<char, 13> Stamp{};
  std::snprintf(Stamp.data(), Stamp.size(), "%012llx", Millis);
  const std::string Time(Stamp.data());
  return Time.substr(0, 8) + "-" + Time.substr(8) + "-7" + Random.substr(0, 3) +
         "-8" + Random.substr(3, 3) + "-" + Random.substr(6, 12);
}

std::string helpText() {
  return R"(laburnumctl VERB [WORDS] [OPTIONS]

  apply -f FILE            declare the objects of a file (JSON with comments)
  validate -f FILE         check a file, send nothing
  get KIND [NAME]          list objects: pools vms teams keys waves entries
                           decisions; --watch follows changes
  describe KIND NAME       one object whole, conditions included
  watch KIND               as get --watch
  delete KIND NAME         delete an object; "entries" declares a VM stopped
  drain VM [off]           take a VM out of service and follow its drain
  follow WAVE              follow a maintenance wave to its end
  decisions                what was decided and why; --watch follows
  dump                     state of one entry
  submit POOL -d BODY      run a request; --once for non-repeatable work
  keygen [--peer]          make a key (secret and SHA-256), or a peer key pair

Options
  -s, --server IP:PORT     an entry; may be repeated   [LABURNUM_SERVER]
  -k, --key KEY            operator's or caller's key  [LABURNUM_KEY]
  -o json                  JSON instead of a table
      --dry-run, --if-match VERSION, --wait, --since VERSION, --timeout-ms N
      --class urgent|normal|batch, --idempotency-key UUID

Examples
  laburnumctl apply -f fleet.json --wait
  laburnumctl get vms
  laburnumctl get waves --watch
  laburnumctl submit orders -k trial-key-of-riders -d '{"workMs": 20}' --once
  laburnumctl drain t-vm-03

Exit codes
  0 done   1 refused   2 usage   3 unreachable   4 conflict
  5 outcome unknown    6 timed out
)";
}

ExitCode runCommand(boost::asio::io_context &Io, const Command &Given) {
  if (Given.Verb_ == "keygen")
    return keygen(Given);
  const bool NeedsFile = Given.Verb_ == "apply" || Given.Verb_ == "validate";
  if (NeedsFile && Given.File_.empty())
    return complain(ExitCode::Usage, Given.Verb_ + " needs -f FILE");
  if (Given.Verb_ == "validate")
    return validate(Given);
  if (Given.Servers_.empty())
    return complain(ExitCode::Usage, "no --server and no LABURNUM_SERVER");
  Session Server(Io, Given);
  const std::map<std::string, std::function<ExitCode()>> Verbs = {
      {"apply", [&] { return apply(Server, Given); }},
      {"get", [&] { return get(Server, Given); }},
      {"describe", [&] { return describe(Server, Given); }},
      {"delete", [&] { return remove(Server, Given); }},
      {"drain", [&] { return drain(Server, Given); }},
      {"follow", [&] { return followWave(Server, Given); }},
      {"dump", [&] { return dump(Server); }},
      {"submit", [&] { return submit(Server, Given); }},
      {"watch",
       [&] {
         return Given.Words_.empty()
                    ? complain(ExitCode::Usage, "watch needs a kind")
                    : watch(Server, Given, Given.Words_[0]);
       }},
      {"decisions", [&] {
         Command Listed = Given;
         Listed.Words_ = {"decisions"};
         return get(Server, Listed);
       }}};
  const auto Verb = Verbs.find(Given.Verb_);
  if (Verb == Verbs.end())
    return complain(ExitCode::Usage,
                    "unknown verb " + Given.Verb_ + "; see --help");
  return Verb->second();
}

} // namespace laburnumspread::ctl
