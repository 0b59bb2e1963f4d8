//! The command-line tool for operators.

use std::env;
use std::process;

use persimmontack::ctl;

fn main() -> process::ExitCode {
    ctl::run(env::args_os().skip(1)).into()
}
