//! The keeper daemon: watches the platform, tracks membership, promotes upstreams and distributes
//! rules.

use std::process;

use persimmontack::daemon;
use persimmontack::keeper::{self, settings};

fn main() -> process::ExitCode {
    let program = daemon::DaemonProgram {
        name: settings::PROGRAM,
        summary: "watches the platform, orders promotions and distributes rules.",
        sample: "samples/keeper.toml",
    };
    daemon::run(
        &program,
        settings::KeeperSettings::parse,
        keeper::daemon::run,
    )
}
