//! [`SoakOptions`]: the command-line options.

use std::path;

use gumdrop::Options;

/// Tests a whole deployment under a seeded schedule of faults.
#[derive(Clone, Debug, Options)]
pub struct SoakOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(
        no_short,
        meta = "N",
        help = "seed of the schedule and of the clients' choices"
    )]
    pub seed: u64,
    #[options(
        no_short,
        meta = "M",
        help = "duration of the faults in minutes (default: 1)"
    )]
    pub minutes: Option<f64>,
    #[options(
        no_short,
        meta = "N",
        help = "number of data centres, each with two VMs (default: 3)"
    )]
    pub centres: Option<usize>,
    #[options(
        no_short,
        meta = "DIR",
        help = "copy journals and logs to DIR/seed-N if there are findings"
    )]
    pub keep: Option<path::PathBuf>,
    #[options(
        no_short,
        help = "copy journals and logs to the --keep directory also without findings"
    )]
    pub keep_all: bool,
    #[options(no_short, help = "print the schedule and exit")]
    pub schedule: bool,
    #[options(
        no_short,
        meta = "LEVEL",
        help = "RUST_LOG of the started processes (default: info)"
    )]
    pub log: Option<String>,
}
