//! Test environment.
