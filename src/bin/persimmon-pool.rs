//! The pool daemon: owns the connections to upstreams, their slots and their queues.

use std::process;

use persimmontack::daemon;
use persimmontack::pool::{self, pool_settings};

fn main() -> process::ExitCode {
    let program = daemon::DaemonProgram {
        name: "persimmon-pool",
        summary: "owns the connections, slots and queues of upstreams.",
        sample: "samples/pool.toml",
    };
    daemon::run(
        &program,
        pool_settings::PoolSettings::parse,
        pool::daemon::run,
    )
}
