#include "cell/termgauges.h"

namespace laburnumspread::cell {

void TermGauges::publish(framework::metrics::Registry &Into) const {
  const auto Set = [&](std::string_view Name, double Value) {
    Into.gauge(Name).set(Value);
  };
  Set("cell_token", static_cast<double>(Token_));
  Set("jobs_open", static_cast<double>(JobsOpen_));
  Set("jobs_known", static_cast<double>(JobsKnown_));
  Set("runs_live", static_cast<double>(RunsLive_));
  Set("runs_unconfirmed", static_cast<double>(RunsUnconfirmed_));
  Set("runs_unwanted", static_cast<double>(RunsUnwanted_));
  Set("oldest_unwanted_run_seconds",
      std::chrono::duration<double>(OldestUnwanted_).count());
  Set("workers", static_cast<double>(Workers_));
  Set("workers_silent", static_cast<double>(WorkersSilent_));
  Set("workers_unfenced", static_cast<double>(WorkersUnfenced_));
  Restricted_.forEach([&](WorkerRestriction Reason, std::size_t Count) {
    if (Reason != WorkerRestriction::None)
      Set("workers_unusable{reason=\"" + std::string(nameOf(Reason)) + "\"}",
          static_cast<double>(Count));
  });
  Set("workers_evacuated", static_cast<double>(WorkersEvacuated_));
  Set("runs_evacuated", static_cast<double>(RunsEvacuated_));
  Set("workers_list_age_seconds",
      std::chrono::duration<double>(WorkersListAge_).count());
  Set("store_stalled", StoreStalled_ ? 1 : 0);
  Set("start_delay_seconds",
      std::chrono::duration<double>(StartDelay_).count());
  Set("fiber_delay_seconds",
      std::chrono::duration<double>(FiberDelay_).count());
}

} // namespace laburnumspread::cell
