#pragma once

#include "cell/celltypes.h"

namespace laburnumspread::cell {

/// A client whose workers never reply.
struct SilentClient {
  OrderReply start(const WorkerRecord &, const StartOrder &, Duration) {
    return {};
  }
  OrderReply stop(const WorkerRecord &, const jobs::RunName &,
                  jobs::FencingToken, Duration) {
    return {};
  }
  HoldReply hold(const WorkerRecord &, const HoldOrder &, Duration) {
    return {};
  }
  OrderReply pace(const WorkerRecord &, const jobs::RunName &, int,
                  jobs::FencingToken, Duration) {
    return {};
  }
  void forget(const WorkerRecord &) {}
  bool awaitConnection(const WorkerRecord &, Duration) { return true; }
};

} // namespace laburnumspread::cell
