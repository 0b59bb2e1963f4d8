//! Runs a whole deployment under a seeded schedule of faults and checks every guarantee at the end.
//!
//! The seed determines the faults, their times and the choices of the clients. Which requests the
//! faults affect depends on timing, so two runs with the same seed can differ in their results.

#[path = "../soak/mod.rs"]
mod soak;

use std::process;

use gumdrop::Options;
use persimmontack::exit_code;

use soak::{options, run};

#[tokio::main]
async fn main() -> process::ExitCode {
    let options = options::SoakOptions::parse_args_default_or_exit();
    match run::run(&options).await {
        Ok(true) => exit_code::ExitCode::Success.into(),
        Ok(false) => exit_code::ExitCode::Failure.into(),
        Err(error) => {
            eprintln!("persimmon-soak: {error}");
            exit_code::ExitCode::Failure.into()
        }
    }
}
