//! Library part of the program, so that other programs can embed it.
