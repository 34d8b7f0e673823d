#pragma once

namespace laburnumspread::scheduling {

/// Decisions that can be switched off one by one, so that a test can compare
/// plans with and without each. All are on in production; each acts only where
/// the configuration or the jobs ask for it.
struct Features {
  bool WorkspaceShares_ = true;
  bool Admission_ = true;
  bool Copies_ = true;
};

} // namespace laburnumspread::scheduling
