//! `persimmon-load` measures persimmontack under load and through failures.

mod arrival;
mod open_loop;
mod profile;
mod session;
mod tally;

fn main() {}
