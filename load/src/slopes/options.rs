//! [`SlopeOptions`]: the command line of `persimmon-slopes`.

use std::str;

/// Which measurements run, as `--part` selects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MeasuredPart {
    /// Both parts.
    #[default]
    All,
    /// Decision code and tables, called within this process.
    Decisions,
    /// Running keeper processes.
    Keepers,
}

impl str::FromStr for MeasuredPart {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "all" => Ok(Self::All),
            "decisions" => Ok(Self::Decisions),
            "keepers" => Ok(Self::Keepers),
            other => Err(format!(
                "part {other:?} is unknown, expected all, decisions or keepers"
            )),
        }
    }
}

/// Measures how the cost of the control plane grows with the size of the deployment.
#[derive(Debug, gumdrop::Options)]
pub struct SlopeOptions {
    /// Whether to print the usage text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Which measurements run.
    #[options(help = "all, decisions or keepers (default: all)")]
    pub part: MeasuredPart,
    /// Numbers of keeper processes, each of which is measured; the defaults if empty.
    #[options(
        help = "numbers of keeper processes, e.g. -k 1 -k 8 (default: 1 2 4 8 16 24)",
        meta = "N"
    )]
    pub keepers: Vec<usize>,
    /// Time in seconds for which each number of keepers is measured.
    #[options(help = "seconds to measure each number of keepers", default = "15")]
    pub seconds: u64,
    /// JSON file to which the rows are written.
    #[options(help = "write the rows as JSON to this file", meta = "FILE")]
    pub json: Option<String>,
}
