//! Empty library. The tests under `tests/` start the real programs as separate processes on loopback addresses.
