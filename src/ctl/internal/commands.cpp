#include "ctl/commands.h"

#include "ctl/internal/progress.h"
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

void printObjects(const Command &Cmd, const std::string &Kind,
                  const json::value &Value) {
  if (Cmd.Output_ == Output::Json)
    std::cout << json::serialize(Value) << '\n';
  else
    std::cout << tableOf(Kind, Value);
}

/// Reads the objects of a file, or of the standard input if \p File is "-". The
/// document is one object, or a list of objects under "items".
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

/// Checks an object without a server. Returns the errors, or an empty string.
std::string validationErrors(const json::value &Object) {
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

/// Reads and checks the file given with -f. The error lists all invalid
/// objects.
absl::StatusOr<std::vector<json::value>> readValidObjects(const Command &Cmd) {
  auto Objects = readObjects(Cmd.File_);
  if (!Objects.ok())
    return Objects;
  std::string Errors;
  for (const json::value &Object : *Objects)
    if (const std::string Text = validationErrors(Object); !Text.empty())
      Errors += "\n  " + Cmd.File_ + ": " + textAt(Object, "kind") + "/" +
                textAt(Object, "metadata.name") + ": " + Text;
  if (!Errors.empty())
    return absl::InvalidArgumentError("not applied:" + Errors);
  return Objects;
}

ExitCode validate(const Command &Cmd) {
  const auto Objects = readValidObjects(Cmd);
  if (!Objects.ok())
    return reportError(ExitCode::Usage,
                       std::string(Objects.status().message()));
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
    framework::fibers::sleepFor(PollInterval);
  }
  return reportError(ExitCode::TimedOut,
                     Target + ": timed out before in force on all entries");
}

ExitCode apply(Session &Server, const Command &Cmd) {
  const auto Objects = readValidObjects(Cmd);
  if (!Objects.ok())
    return reportError(ExitCode::Usage,
                       std::string(Objects.status().message()));
  ExitCode Worst = ExitCode::Ok;
  std::size_t Changed = 0;
  std::string LastTarget;
  for (const json::value &Object : *Objects) {
    const std::string Target =
        "/v1/" + textAt(Object, "kind") + "/" + textAt(Object, "metadata.name");
    framework::http::Headers ExtraHeaders;
    if (!Cmd.IfMatch_.empty())
      ExtraHeaders.add("If-Match", Cmd.IfMatch_);
    const auto Answer =
        Server.call("PUT", Target + (Cmd.DryRun_ ? "?dryRun=true" : ""),
                    json::serialize(Object), ExtraHeaders);
    if (!Answer.ok())
      return reportUnreachable(Answer.status());
    if (!succeeded(*Answer)) {
      std::cerr << Target << ": ";
      Worst = reportRefusal(*Answer);
      continue;
    }
    const bool IsChanged = textAt(Answer->Json_, "changed") == "true";
    Changed += IsChanged;
    LastTarget = Target;
    if (Cmd.Output_ == Output::Json)
      std::cout << Answer->Text_ << '\n';
    else if (IsChanged)
      std::cout << Target.substr(4)
                << (Cmd.DryRun_ ? " would change\n" : " changed\n");
  }
  if (Cmd.Output_ == Output::Table)
    std::cout << Changed << " of " << Objects->size() << " objects changed\n";
  if (Cmd.Wait_ && Worst == ExitCode::Ok && !LastTarget.empty())
    return waitInForce(Server, LastTarget);
  return Worst;
}

ExitCode watch(Session &Server, const Command &Cmd, const std::string &Kind) {
  std::string Target = "/v1/" + Kind + "?watch=true";
  if (!Cmd.Since_.empty())
    Target += "&resourceVersion=" + Cmd.Since_;
  const absl::Status Ended =
      Server.stream(Target, [&](const json::value &Line) {
        if (Cmd.Output_ == Output::Json) {
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
  return reportError(ExitCode::Refused,
                     "stream ended: " + std::string(Ended.message()));
}

ExitCode get(Session &Server, const Command &Cmd) {
  if (Cmd.Arguments_.empty())
    return reportError(ExitCode::Usage, "get needs a kind");
  const std::string &Kind = Cmd.Arguments_[0];
  if (Cmd.Watch_)
    return watch(Server, Cmd, Kind);
  std::string Target = "/v1/" + Kind;
  if (Cmd.Arguments_.size() > 1)
    Target += "/" + Cmd.Arguments_[1];
  const auto Answer = Server.call("GET", Target, "");
  if (!Answer.ok())
    return reportUnreachable(Answer.status());
  if (!succeeded(*Answer))
    return reportRefusal(*Answer);
  if (Cmd.Arguments_.size() > 1 && Kind != "entries")
    printObjects(Cmd, Kind,
                 json::object{{"items", json::array{Answer->Json_}}});
  else
    printObjects(Cmd, Kind, Answer->Json_);
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

ExitCode describe(Session &Server, const Command &Cmd) {
  if (Cmd.Arguments_.size() != 2)
    return reportError(ExitCode::Usage, "describe needs a kind and a name");
  const auto Answer = Server.call(
      "GET", "/v1/" + Cmd.Arguments_[0] + "/" + Cmd.Arguments_[1], "");
  if (!Answer.ok())
    return reportUnreachable(Answer.status());
  if (!succeeded(*Answer))
    return reportRefusal(*Answer);
  printIndented(Answer->Json_, 0);
  return ExitCode::Ok;
}

ExitCode remove(Session &Server, const Command &Cmd) {
  if (Cmd.Arguments_.size() != 2)
    return reportError(ExitCode::Usage, "delete needs a kind and a name");
  framework::http::Headers ExtraHeaders;
  if (!Cmd.IfMatch_.empty())
    ExtraHeaders.add("If-Match", Cmd.IfMatch_);
  const auto Answer =
      Server.call("DELETE",
                  "/v1/" + Cmd.Arguments_[0] + "/" + Cmd.Arguments_[1] +
                      (Cmd.DryRun_ ? "?dryRun=true" : ""),
                  "", ExtraHeaders);
  if (!Answer.ok())
    return reportUnreachable(Answer.status());
  if (!succeeded(*Answer))
    return reportRefusal(*Answer);
  std::cout << Cmd.Arguments_[0] << "/" << Cmd.Arguments_[1] << " deleted\n";
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

ExitCode submit(Session &Server, const Command &Cmd) {
  if (Cmd.Arguments_.empty())
    return reportError(ExitCode::Usage, "submit needs a pool");
  framework::http::Headers ExtraHeaders;
  ExtraHeaders.add(
      "Request-Deadline",
      std::to_string(framework::clock::toMillis(SystemClock().now()) +
                     Cmd.TimeoutMs_));
  if (!Cmd.Class_.empty())
    ExtraHeaders.add("Request-Class", Cmd.Class_);
  std::string Key = Cmd.IdempotencyKey_;
  if (Cmd.Once_) {
    ExtraHeaders.add("Repeatable", "?0");
    if (Key.empty())
      Key = newIdempotencyKey();
  }
  if (!Key.empty())
    ExtraHeaders.add("Idempotency-Key", Key);
  const auto Answer =
      Server.call("POST", "/v1/pools/" + Cmd.Arguments_[0] + "/requests",
                  Cmd.Body_, ExtraHeaders);
  if (!Answer.ok())
    return reportUnreachable(Answer.status());
  if (Cmd.Output_ == Output::Json)
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

ExitCode keygen(const Command &Cmd) {
  if (Cmd.Peer_) {
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

ExitCode runCommand(boost::asio::io_context &Io, const Command &Cmd) {
  if (Cmd.Verb_ == "keygen")
    return keygen(Cmd);
  const bool NeedsFile = Cmd.Verb_ == "apply" || Cmd.Verb_ == "validate";
  if (NeedsFile && Cmd.File_.empty())
    return reportError(ExitCode::Usage, Cmd.Verb_ + " needs -f FILE");
  if (Cmd.Verb_ == "validate")
    return validate(Cmd);
  if (Cmd.Servers_.empty())
    return reportError(ExitCode::Usage, "no --server and no LABURNUM_SERVER");
  Session Server(Io, Cmd);
  const std::map<std::string, std::function<ExitCode()>> Verbs = {
      {"apply", [&] { return apply(Server, Cmd); }},
      {"get", [&] { return get(Server, Cmd); }},
      {"describe", [&] { return describe(Server, Cmd); }},
      {"delete", [&] { return remove(Server, Cmd); }},
      {"drain", [&] { return drain(Server, Cmd); }},
      {"follow", [&] { return followWave(Server, Cmd); }},
      {"dump", [&] { return dump(Server); }},
      {"submit", [&] { return submit(Server, Cmd); }},
      {"watch",
       [&] {
         return Cmd.Arguments_.empty()
                    ? reportError(ExitCode::Usage, "watch needs a kind")
                    : watch(Server, Cmd, Cmd.Arguments_[0]);
       }},
      {"decisions", [&] {
         Command Listed = Cmd;
         Listed.Arguments_ = {"decisions"};
         return get(Server, Listed);
       }}};
  const auto Verb = Verbs.find(Cmd.Verb_);
  if (Verb == Verbs.end())
    return reportError(ExitCode::Usage,
                       "unknown verb " + Cmd.Verb_ + "; see --help");
  return Verb->second();
}

} // namespace laburnumspread::ctl
