//! Holds the tests under `tests/`, which start the separate programs on loopback.
