//! Measures how the cost of the control plane grows with the size of the deployment.

#[path = "../slopes/mod.rs"]
mod slopes;

use std::process;

fn main() -> process::ExitCode {
    slopes::run()
}
