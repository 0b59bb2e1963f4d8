//! [`SoakOptions`]: the command line.

use std::path;

use gumdrop::Options;

/// The command line.
#[derive(Clone, Debug, Options)]
pub struct SoakOptions {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(no_short, meta = "N", help = "seed of the schedule and of the callers")]
    pub seed: u64,
    #[options(no_short, meta = "M", help = "minutes of faults (1)")]
    pub minutes: Option<f64>,
    #[options(no_short, meta = "N", help = "data centres, with two VMs each (3)")]
    pub centres: Option<usize>,
    #[options(
        no_short,
        meta = "DIR",
        help = "copy journals and logs to DIR/seed-N if something is found"
    )]
    pub keep: Option<path::PathBuf>,
    #[options(no_short, help = "copy journals and logs in any case")]
    pub keep_all: bool,
    #[options(no_short, help = "print the schedule and end")]
    pub schedule: bool,
    #[options(no_short, meta = "LEVEL", help = "RUST_LOG of the processes (info)")]
    pub log: Option<String>,
}
