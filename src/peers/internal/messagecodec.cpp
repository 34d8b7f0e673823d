#include "peers/messagecodec.h"

#include "peer.pb.h"

namespace laburnumspread::peers {

using framework::clock::fromMicros;
using framework::clock::toMicros;
using idempotency::AttemptId;
using idempotency::CopyReply;
using idempotency::CopyRequest;
using idempotency::Record;
using idempotency::ReserveReply;
using idempotency::ReserveRequest;
using limits::Loan;
using limits::LoanId;

namespace {

void write(const MemberId &From, wire::Member &To) {
  To.set_name(From.Name_.str());
  To.set_incarnation(From.Incarnation_.value());
}

MemberId read(const wire::Member &From) {
  return {fleet::EntryName(From.name()),
          fleet::Incarnation(From.incarnation())};
}

void write(const LoanId &From, wire::LoanId &To) {
  write(From.Lender_, *To.mutable_lender());
  To.set_sequence(From.Sequence_);
}

LoanId read(const wire::LoanId &From) {
  return {read(From.lender()), From.sequence()};
}

void write(const AttemptId &From, wire::Attempt &To) {
  write(From.Entry_, *To.mutable_entry());
  To.set_sequence(From.Sequence_);
}

AttemptId read(const wire::Attempt &From) {
  return {read(From.entry()), From.sequence()};
}

void write(const Record &From, wire::Record &To) {
  write(From.Attempt_, *To.mutable_attempt());
  To.set_state(static_cast<std::uint32_t>(From.State_));
  To.set_lease_until_micros(toMicros(From.LeaseUntil_));
  To.set_forget_after_micros(toMicros(From.ForgetAfter_));
  To.set_fingerprint(From.Fingerprint_);
  To.set_status(From.Response_.Status_);
  To.set_content_type(From.Response_.ContentType_);
  To.set_body(From.Response_.Body_);
  To.set_whole(From.Response_.Complete_);
}

/// Values unknown to this release are read as \p Cautious, the safest choice.
template <typename Enum>
Enum readEnum(std::uint32_t Value, Enum Last, Enum Cautious) {
  return Value <= static_cast<std::uint32_t>(Last) ? static_cast<Enum>(Value)
                                                   : Cautious;
}

Record read(const wire::Record &From) {
  Record To;
  To.Attempt_ = read(From.attempt());
  To.State_ = readEnum(From.state(), idempotency::RecordState::Unknown,
                       idempotency::RecordState::Unknown);
  To.LeaseUntil_ = fromMicros(From.lease_until_micros());
  To.ForgetAfter_ = fromMicros(From.forget_after_micros());
  To.Fingerprint_ = From.fingerprint();
  To.Response_ = {From.status(), From.content_type(), From.body(),
                  From.whole()};
  return To;
}

void write(const Heartbeat &From, wire::Envelope &Out) {
  wire::Heartbeat &To = *Out.mutable_heartbeat();
  To.set_view(From.View_.value());
  To.set_settled_through(From.SettledThrough_.value());
  To.set_config_revision(From.ConfigRevision_.value());
  To.set_echo_micros(toMicros(From.EchoedSentAt_));
  To.set_buckets_to_copy(From.BucketsToCopy_);
  To.set_store_in_touch(From.StoreInTouch_);
  To.set_ready(From.Ready_);
  for (const limits::HeldUnit &Item : From.StillHeld_) {
    wire::HeldUnit &Row = *To.add_still_held();
    Row.set_subject(Item.Subject_.str());
    Row.set_unit(Item.Unit_.value());
  }
  for (const PoolUsage &Item : From.PoolUsage_) {
    wire::PoolUse &Row = *To.add_use();
    Row.set_pool(Item.Pool_.str());
    Row.set_team(Item.Team_.str());
    Row.set_running(Item.Running_);
    Row.set_waiting(Item.Waiting_);
  }
  for (const VmUsage &Item : From.LeavingVms_) {
    wire::VmUse &Row = *To.add_leaving();
    Row.set_vm(Item.Vm_.str());
    Row.set_busy(Item.Busy_);
  }
}

Heartbeat read(const wire::Heartbeat &From) {
  Heartbeat To;
  To.View_ = membership::ViewNumber(From.view());
  To.SettledThrough_ = membership::ViewNumber(From.settled_through());
  To.ConfigRevision_ = fleet::Revision(From.config_revision());
  To.EchoedSentAt_ = fromMicros(From.echo_micros());
  To.BucketsToCopy_ = From.buckets_to_copy();
  To.StoreInTouch_ = From.store_in_touch();
  To.Ready_ = From.ready();
  for (const wire::HeldUnit &Row : From.still_held())
    To.StillHeld_.push_back(
        {limits::SubjectName(Row.subject()), limits::Unit(Row.unit())});
  for (const wire::PoolUse &Row : From.use())
    To.PoolUsage_.push_back({fleet::PoolName(Row.pool()),
                             fleet::TeamName(Row.team()), Row.running(),
                             Row.waiting()});
  for (const wire::VmUse &Row : From.leaving())
    To.LeavingVms_.push_back({fleet::VmName(Row.vm()), Row.busy()});
  return To;
}

void write(const BorrowRequest &From, wire::Envelope &Out) {
  wire::Borrow &To = *Out.mutable_borrow();
  To.set_pool(From.Pool_.str());
  To.set_team(From.Team_.str());
  To.set_request_class(static_cast<std::uint32_t>(From.Class_));
  To.set_count(From.Count_);
  To.set_until_micros(toMicros(From.Until_));
}

BorrowRequest read(const wire::Borrow &From) {
  return {fleet::PoolName(From.pool()), fleet::TeamName(From.team()),
          readEnum(From.request_class(), fleet::RequestClass::Batch,
                   fleet::RequestClass::Batch),
          From.count(), fromMicros(From.until_micros())};
}

void write(const LoanGrant &From, wire::Envelope &Out) {
  wire::Grant &To = *Out.mutable_grant();
  To.set_pool(From.Pool_.str());
  To.set_team(From.Team_.str());
  for (const Loan &Item : From.Loans_) {
    wire::Loan &Row = *To.add_loans();
    write(Item.Id_, *Row.mutable_id());
    Row.set_subject(Item.Subject_.str());
    Row.set_unit(Item.Unit_.value());
    Row.set_until_micros(toMicros(Item.Until_));
  }
}

LoanGrant read(const wire::Grant &From) {
  LoanGrant To;
  To.Pool_ = fleet::PoolName(From.pool());
  To.Team_ = fleet::TeamName(From.team());
  for (const wire::Loan &Row : From.loans())
    To.Loans_.push_back({read(Row.id()), limits::SubjectName(Row.subject()),
                         limits::Unit(Row.unit()),
                         fromMicros(Row.until_micros())});
  return To;
}

void write(const LoanReturn &From, wire::Envelope &Out) {
  wire::Return &To = *Out.mutable_returned();
  for (const LoanId &Item : From.Loans_)
    write(Item, *To.add_loans());
}

LoanReturn read(const wire::Return &From) {
  LoanReturn To;
  for (const wire::LoanId &Row : From.loans())
    To.Loans_.push_back(read(Row));
  return To;
}

void write(const ReserveRequest &From, wire::Envelope &Out) {
  wire::Reserve &To = *Out.mutable_reserve();
  To.set_name(From.Name_.str());
  To.set_minted_micros(toMicros(From.MintedAt_));
  write(From.Attempt_, *To.mutable_attempt());
  To.set_view(From.View_.value());
  To.set_lease_until_micros(toMicros(From.LeaseUntil_));
  To.set_fingerprint(From.Fingerprint_);
}

ReserveRequest read(const wire::Reserve &From) {
  ReserveRequest To;
  To.Name_ = idempotency::RecordName(From.name());
  To.MintedAt_ = fromMicros(From.minted_micros());
  To.Attempt_ = read(From.attempt());
  To.View_ = membership::ViewNumber(From.view());
  To.LeaseUntil_ = fromMicros(From.lease_until_micros());
  To.Fingerprint_ = From.fingerprint();
  return To;
}

void write(const ReserveReply &From, wire::Envelope &Out) {
  wire::Reserved &To = *Out.mutable_reserved();
  write(From.Attempt_, *To.mutable_attempt());
  To.set_result(static_cast<std::uint32_t>(From.Result_));
  if (From.Result_ == idempotency::ReserveResult::Duplicate)
    write(From.Found_, *To.mutable_found());
}

ReserveReply read(const wire::Reserved &From, const MemberId &Sender) {
  ReserveReply To;
  To.From_ = Sender;
  To.Attempt_ = read(From.attempt());
  To.Result_ = readEnum(From.result(), idempotency::ReserveResult::RecordsLost,
                        idempotency::ReserveResult::NotReady);
  To.Found_ = read(From.found());
  return To;
}

void write(const idempotency::NamedRecord &From, wire::NamedRecord &To) {
  To.set_name(From.Name_.str());
  write(From.Record_, *To.mutable_record());
}

idempotency::NamedRecord read(const wire::NamedRecord &From) {
  return {idempotency::RecordName(From.name()), read(From.record())};
}

void write(const Finish &From, wire::Envelope &Out) {
  write(From.Record_, *Out.mutable_finish());
}

void write(const Abandon &From, wire::Envelope &Out) {
  Out.mutable_abandon()->set_name(From.Name_.str());
  write(From.Attempt_, *Out.mutable_abandon()->mutable_attempt());
}

void write(const CopyRequest &From, wire::Envelope &Out) {
  Out.mutable_copy()->set_bucket(From.Bucket_.value());
  Out.mutable_copy()->set_since(From.Since_.value());
}

void write(const CopyReply &From, wire::Envelope &Out) {
  wire::Copied &To = *Out.mutable_copied();
  To.set_bucket(From.Bucket_.value());
  To.set_since(From.Since_.value());
  To.set_result(static_cast<std::uint32_t>(From.Result_));
  To.set_blind_before_micros(toMicros(From.RecordsLostBefore_));
  for (const idempotency::NamedRecord &Item : From.Records_)
    write(Item, *To.add_records());
}

CopyReply read(const wire::Copied &From, const MemberId &Sender) {
  CopyReply To;
  To.Source_ = Sender;
  To.Bucket_ = idempotency::Bucket(From.bucket());
  To.Since_ = membership::ViewNumber(From.since());
  To.Result_ = readEnum(From.result(), idempotency::CopyResult::Unavailable,
                        idempotency::CopyResult::NotReady);
  To.RecordsLostBefore_ = fromMicros(From.blind_before_micros());
  for (const wire::NamedRecord &Row : From.records())
    To.Records_.push_back(read(Row));
  return To;
}

void write(const SnapshotRequest &From, wire::Envelope &Out) {
  Out.mutable_snapshot_request()->set_since(From.Since_.value());
}

void write(const Snapshot &From, wire::Envelope &Out) {
  wire::Snapshot &To = *Out.mutable_snapshot();
  To.set_through(From.Through_.value());
  for (const store::KeyValue &Item : From.Items_) {
    wire::KeyValue &Row = *To.add_items();
    Row.set_key(Item.Key_);
    Row.set_value(Item.Value_);
    Row.set_mod_revision(Item.ModRevision_.value());
  }
}

Snapshot read(const wire::Snapshot &From) {
  Snapshot To;
  To.Through_ = fleet::Revision(From.through());
  for (const wire::KeyValue &Row : From.items())
    To.Items_.push_back(
        {Row.key(), Row.value(), fleet::Revision(Row.mod_revision())});
  return To;
}

void write(const CancelRequest &From, wire::Envelope &Out) {
  Out.mutable_cancel()->set_name(From.Name_.str());
}

void write(const LeadershipOffer &From, wire::Envelope &Out) {
  Out.mutable_head_offer()->set_token(From.Token_);
}

void write(const LeaderNotice &From, wire::LeaderNotice &To) {
  write(From.Id_, *To.mutable_leader());
  To.set_address(From.Address_);
  To.set_token(From.Token_);
}

LeaderNotice read(const wire::LeaderNotice &From) {
  return {read(From.leader()), From.address(), From.token()};
}

void write(const PeerAddress &From, wire::PeerAddress &To) {
  write(From.Id_, *To.mutable_entry());
  To.set_address(From.Address_);
}

PeerAddress read(const wire::PeerAddress &From) {
  return {read(From.entry()), From.address()};
}

void write(const JobCall &From, wire::Envelope &Out) {
  wire::JobCall &To = *Out.mutable_job_call();
  To.set_sequence(From.Sequence_);
  To.set_kind(static_cast<std::uint32_t>(From.Kind_));
  To.set_job(From.Job_);
  To.set_queue(From.Queue_);
  To.set_spec(From.Spec_);
  To.set_config_version(From.ConfigVersion_);
  if (From.ForwardTo_)
    write(*From.ForwardTo_, *To.mutable_forward_to());
  if (From.ReplyTo_)
    write(*From.ReplyTo_, *To.mutable_reply_to());
  To.set_attempt(From.Attempt_);
  To.set_token(From.Token_);
  if (From.SentAt_)
    To.set_sent_micros(toMicros(*From.SentAt_));
  if (!From.Origin_)
    return;
  To.mutable_origin()->set_host(From.Origin_->Host_);
  To.mutable_origin()->set_path(From.Origin_->Path_);
  To.mutable_origin()->set_key(From.Origin_->Key_);
}

std::optional<CallOrigin> readOrigin(const wire::JobCall &From) {
  if (!From.has_origin())
    return std::nullopt;
  return CallOrigin{From.origin().host(), From.origin().path(),
                    From.origin().key()};
}

JobCall read(const wire::JobCall &From, const MemberId &Sender) {
  return {From.sequence(),
          readEnum(From.kind(), JobCallKind::Waiting, JobCallKind::State),
          From.job(),
          From.queue(),
          From.spec(),
          From.config_version(),
          readOrigin(From),
          From.has_forward_to() ? std::optional(read(From.forward_to()))
                                : std::nullopt,
          From.has_reply_to() ? std::optional(read(From.reply_to()))
                              : std::nullopt,
          From.attempt(),
          From.has_reply_to() ? read(From.reply_to()).Id_ : Sender,
          From.token(),
          From.has_sent_micros() ? std::optional(fromMicros(From.sent_micros()))
                                 : std::nullopt};
}

void write(const LeaderNotice &From, wire::Envelope &Out) {
  write(From, *Out.mutable_leader_notice());
}

void write(const LeaderQuery &, wire::Envelope &Out) {
  Out.mutable_leader_query();
}

void write(const CallTiming &From, wire::CallTiming &To) {
  To.set_sent_micros(toMicros(From.SentAt_));
  To.set_held_micros(From.Held_.count());
}

CallTiming read(const wire::CallTiming &From) {
  return {fromMicros(From.sent_micros()),
          framework::clock::Duration(From.held_micros())};
}

void write(const JobReply &From, wire::Envelope &Out) {
  wire::JobReply &To = *Out.mutable_job_reply();
  To.set_sequence(From.Sequence_);
  To.set_verdict(static_cast<std::uint32_t>(From.Status_));
  To.set_state(From.State_);
  To.set_waiting(From.Waiting_);
  To.set_retry_after_ms(From.RetryAfterMs_);
  To.set_config_version(From.ConfigVersion_);
  if (From.Leader_)
    write(*From.Leader_, *To.mutable_leader());
  To.set_refusal(static_cast<std::uint32_t>(From.Refusal_));
  if (From.ReplyTo_)
    write(*From.ReplyTo_, *To.mutable_reply_to());
  To.set_attempt(From.Attempt_);
  To.set_token(From.Token_);
  if (From.Timing_)
    write(*From.Timing_, *To.mutable_timing());
}

JobReply read(const wire::JobReply &From) {
  return {
      From.sequence(),
      readEnum(From.verdict(), JobCallStatus::Forwarded,
               JobCallStatus::Unknown),
      From.state(),
      From.waiting(),
      From.retry_after_ms(),
      From.config_version(),
      From.has_leader() ? std::optional(read(From.leader())) : std::nullopt,
      readEnum(From.refusal(), RefusalReason::TooManyTasks,
               RefusalReason::StoreUnavailable),
      From.has_reply_to() ? std::optional(read(From.reply_to())) : std::nullopt,
      From.attempt(),
      From.token(),
      From.has_timing() ? std::optional(read(From.timing())) : std::nullopt};
}

absl::StatusOr<Message> readBody(const wire::Envelope &In,
                                 const MemberId &Sender,
                                 const MemberId &Recipient) {
  switch (In.body_case()) {
  case wire::Envelope::kHeartbeat:
    return read(In.heartbeat());
  case wire::Envelope::kBorrow:
    return read(In.borrow());
  case wire::Envelope::kGrant:
    return read(In.grant());
  case wire::Envelope::kReturned:
    return read(In.returned());
  case wire::Envelope::kReserve:
    return read(In.reserve());
  case wire::Envelope::kReserved:
    return read(In.reserved(), Sender);
  case wire::Envelope::kFinish:
    return Finish{read(In.finish())};
  case wire::Envelope::kAbandon:
    return Abandon{idempotency::RecordName(In.abandon().name()),
                   read(In.abandon().attempt())};
  case wire::Envelope::kCopy:
    return CopyRequest{Sender, Recipient,
                       idempotency::Bucket(In.copy().bucket()),
                       membership::ViewNumber(In.copy().since())};
  case wire::Envelope::kCopied:
    return read(In.copied(), Sender);
  case wire::Envelope::kSnapshotRequest:
    return SnapshotRequest{fleet::Revision(In.snapshot_request().since())};
  case wire::Envelope::kSnapshot:
    return read(In.snapshot());
  case wire::Envelope::kCancel:
    return CancelRequest{idempotency::RecordName(In.cancel().name())};
  case wire::Envelope::kJobCall:
    return read(In.job_call(), Sender);
  case wire::Envelope::kJobReply:
    return read(In.job_reply());
  case wire::Envelope::kHeadOffer:
    return LeadershipOffer{In.head_offer().token()};
  case wire::Envelope::kLeaderNotice:
    return read(In.leader_notice());
  case wire::Envelope::kLeaderQuery:
    return LeaderQuery();
  case wire::Envelope::BODY_NOT_SET:
    break;
  }
  return absl::InvalidArgumentError("message body is missing or unknown");
}

} // namespace

std::string encode(const Envelope &Outgoing) {
  wire::Envelope Out;
  Out.set_version(WireVersion);
  write(Outgoing.From_.Id_, *Out.mutable_sender());
  write(Outgoing.To_, *Out.mutable_recipient());
  Out.set_sender_address(Outgoing.From_.Address_);
  Out.set_sent_micros(toMicros(Outgoing.From_.SentAt_));
  std::visit([&](const auto &Body) { write(Body, Out); }, Outgoing.Message_);
  return Out.SerializeAsString();
}

absl::StatusOr<Envelope> decode(std::string_view Bytes) {
  wire::Envelope In;
  if (!In.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    return absl::InvalidArgumentError("not a peer message");
  if (In.version() != WireVersion)
    return absl::InvalidArgumentError("unsupported message version " +
                                      std::to_string(In.version()));
  Envelope Result;
  Result.From_ = {read(In.sender()), In.sender_address(),
                  fromMicros(In.sent_micros())};
  Result.To_ = read(In.recipient());
  absl::StatusOr<Message> Body = readBody(In, Result.From_.Id_, Result.To_);
  if (!Body.ok())
    return Body.status();
  Result.Message_ = std::move(*Body);
  return Result;
}

} // namespace laburnumspread::peers
