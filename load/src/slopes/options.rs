//! [`SlopeOptions`]: the command line of `persimmon-slopes`.

use std::str;

/// Which measurements run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Part {
    /// Both.
    #[default]
    All,
    /// Decision code and tables within this process.
    Decisions,
    /// Real keeper processes.
    Keepers,
}

impl str::FromStr for Part {
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

/// Options of `persimmon-slopes`.
#[derive(Debug, gumdrop::Options)]
pub struct SlopeOptions {
    /// Asks for this text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Which measurements run.
    #[options(help = "all, decisions or keepers (default: all)")]
    pub part: Part,
    /// Numbers of keepers.
    #[options(
        help = "numbers of keeper processes, e.g. -k 1 -k 8 (default: 1 2 4 8 16 24)",
        meta = "N"
    )]
    pub keepers: Vec<usize>,
    /// Seconds over which each set of keepers is measured.
    #[options(help = "seconds for each number of keepers", default = "15")]
    pub seconds: u64,
    /// File for the rows as JSON.
    #[options(help = "write the rows as JSON to this file", meta = "FILE")]
    pub json: Option<String>,
}
