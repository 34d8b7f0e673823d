#include "scheduling/advicetable.h"

#include <algorithm>

namespace laburnumspread::scheduling {

using jobs::WorkerIncarnation;

std::optional<AdviceQuestion> AdviceTable::nextQuestion(
    const std::vector<StepName> &Steps, const FindWorkers &Find,
    const std::function<std::size_t(const StepName &)> &MostWorkers,
    TimePoint Now) {
  if (Pending_)
    return std::nullopt;
  const bool RefusedFirst = SinceRefused_ + 1 >= QuestionsPerRefused;
  std::vector<WorkerIncarnation> Among;
  for (const bool Refused : {RefusedFirst, !RefusedFirst})
    for (const auto &[Since, At] : findTurns(Steps, Refused, Now)) {
      Row &Of = Rows_[Steps[At]];
      Among.clear();
      Find(Steps[At], Among);
      AdviceQuestion Question{
          Steps[At], workersToAskAbout(Of, Among, MostWorkers(Steps[At]), Now)};
      if (Question.Workers_.empty()) {
        Of.NextAt_ = Now + RetryInterval;
        continue;
      }
      Pending_ = true;
      SinceRefused_ = Refused ? 0 : SinceRefused_ + 1;
      Of.WaitingSince_ = Now;
      return Question;
    }
  return std::nullopt;
}

std::vector<AdviceTable::Turn>
AdviceTable::findTurns(const std::vector<StepName> &Steps, bool Refused,
                       TimePoint Now) {
  std::vector<Turn> Result;
  for (std::size_t At = 0; At < Steps.size(); ++At) {
    Row &Of = Rows_[Steps[At]];
    if (Of.WaitingSince_ == TimePoint())
      Of.WaitingSince_ = Now;
    if (Of.refused() == Refused && Of.NextAt_ <= Now)
      Result.emplace_back(Of.WaitingSince_, At);
  }
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::vector<WorkerIncarnation>
AdviceTable::workersToAskAbout(Row &Of,
                               const std::vector<WorkerIncarnation> &Among,
                               std::size_t Most, TimePoint Now) {
  std::vector<WorkerIncarnation> Result;
  // A worker that was named once is named again.
  for (const WorkerIncarnation &Worker : Among) {
    const auto Known = Of.Tickets_.find(Worker);
    if (Result.size() < Most && Known != Of.Tickets_.end() &&
        Known->second.RenewAt_ <= Now)
      Result.push_back(Worker);
  }
  for (const WorkerIncarnation &Worker : Among)
    if (Result.size() < Most && !wasAsked(Of, numberOf(Worker)))
      Result.push_back(Worker);
  return Result;
}

std::uint32_t AdviceTable::numberOf(const WorkerIncarnation &Worker) {
  return Numbers_
      .try_emplace(Worker, static_cast<std::uint32_t>(Numbers_.size()))
      .first->second;
}

bool AdviceTable::wasAsked(const Row &Of, std::uint32_t Number) {
  return Number < Of.Asked_.size() && Of.Asked_[Number];
}

void AdviceTable::recordAnswer(const AdviceQuestion &Asked,
                               const AdviceReply &Answer, TimePoint AskedAt) {
  Pending_ = false;
  Row &Of = Rows_[Asked.Step_];
  Of.WasAsked_ = true;
  const TimePoint ExpiresAt = AskedAt + Answer.ValidFor_;
  const TimePoint RenewAt =
      std::max(AskedAt + RetryInterval, ExpiresAt - 2 * UseMargin);
  for (const WorkerIncarnation &Worker : Asked.Workers_) {
    const std::uint32_t Number = numberOf(Worker);
    if (Of.Asked_.size() <= Number)
      Of.Asked_.resize(Number + 1);
    Of.Asked_[Number] = true;
    const auto Named = std::find_if(
        Answer.Workers_.begin(), Answer.Workers_.end(),
        [&](const AdvisedWorker &Item) { return Item.Worker_ == Worker.Id_; });
    if (Named == Answer.Workers_.end())
      Of.Tickets_.erase(Worker);
    else
      Of.Tickets_[Worker] = {Named->Ticket_, ExpiresAt, RenewAt};
  }
}

void AdviceTable::recordNoAnswer(const AdviceQuestion &Asked, TimePoint Now) {
  Pending_ = false;
  Rows_[Asked.Step_].NextAt_ = Now + RetryInterval;
}

std::optional<std::string> AdviceTable::ticket(const StepName &Step,
                                               const WorkerIncarnation &Worker,
                                               TimePoint Now) const {
  const auto Known = Rows_.find(Step);
  if (Known == Rows_.end())
    return std::nullopt;
  const auto Found = Known->second.Tickets_.find(Worker);
  if (Found == Known->second.Tickets_.end() ||
      Now + UseMargin > Found->second.ExpiresAt_)
    return std::nullopt;
  return Found->second.Text_;
}

void AdviceTable::recordRefusal(const StepName &Step,
                                const WorkerIncarnation &Worker) {
  const auto Known = Rows_.find(Step);
  if (Known == Rows_.end())
    return;
  Row &Of = Known->second;
  Of.Tickets_.erase(Worker);
  if (const std::uint32_t Number = numberOf(Worker); wasAsked(Of, Number))
    Of.Asked_[Number] = false;
  Of.NextAt_ = TimePoint();
}

void AdviceTable::forgetEnded(
    const std::function<bool(const jobs::JobId &)> &IsOpen) {
  std::erase_if(Rows_,
                [&](const auto &Item) { return !IsOpen(Item.first.Job_); });
}

} // namespace laburnumspread::scheduling
