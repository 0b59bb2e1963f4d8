//! [`LoadOptions`]: the command line.

use std::path;

use gumdrop::Options;

use crate::profile;

/// Measures persimmontack under load and through failures.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// Prints the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// What is measured.
    #[options(command)]
    pub measure: Option<Measure>,
}

/// What is measured.
#[derive(Debug, Options)]
pub enum Measure {
    /// Added latency and throughput.
    #[options(help = "added latency and throughput of one entry and one pool")]
    Latency(LoadOptions),
    /// Reads on replicas.
    #[options(help = "share of reads on replicas, and stale reads")]
    Replicas(LoadOptions),
    /// Failovers.
    #[options(help = "service gaps when the primary fails, and false promotions")]
    Failover(LoadOptions),
    /// Swings of demand.
    #[options(help = "goodput, fairness and recovery when demand exceeds capacity")]
    Swing(LoadOptions),
    /// Short work beside long work.
    #[options(help = "latency of short work beside exports")]
    Blocking(LoadOptions),
}

/// Options of a measure.
#[derive(Debug, Options)]
pub struct LoadOptions {
    /// Prints the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Deployment; both if absent.
    #[options(no_short, help = "psalmhand or bluebonnet (default: both)")]
    pub profile: Option<profile::DeploymentProfile>,
    /// One seed.
    #[options(no_short, help = "seed of all random choices (default: 1)")]
    pub seed: Option<u64>,
    /// Several seeds.
    #[options(no_short, help = "several seeds, for example 1,2,3")]
    pub seeds: Option<String>,
    /// Length of each measured span.
    #[options(no_short, help = "length of each measured span in seconds")]
    pub seconds: Option<f64>,
    /// Where the figures are written.
    #[options(no_short, help = "file for the figures as JSON")]
    pub json: Option<path::PathBuf>,
    /// Which cases run.
    #[options(no_short, help = "only cases whose name contains this text")]
    pub case: Option<String>,
    /// Where the files of the processes are kept.
    #[options(no_short, help = "directory to which logs are copied after each run")]
    pub logs: Option<path::PathBuf>,
}

impl Measure {
    /// Returns the name of the subcommand.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Latency(_) => "latency",
            Self::Replicas(_) => "replicas",
            Self::Failover(_) => "failover",
            Self::Swing(_) => "swing",
            Self::Blocking(_) => "blocking",
        }
    }

    /// Returns the measure's options.
    #[must_use]
    pub const fn options(&self) -> &LoadOptions {
        match self {
            Self::Latency(options)
            | Self::Replicas(options)
            | Self::Failover(options)
            | Self::Swing(options)
            | Self::Blocking(options) => options,
        }
    }
}

impl LoadOptions {
    /// Returns the seeds to run.
    ///
    /// # Errors
    ///
    /// Fails if a seed is not a whole number.
    pub fn seed_list(&self) -> Result<Vec<u64>, String> {
        let Some(text) = &self.seeds else {
            return Ok(vec![self.seed.unwrap_or(1)]);
        };
        let parse = |part: &str| {
            part.trim()
                .parse()
                .map_err(|error| format!("seed {part:?} is not a whole number: {error}"))
        };
        text.split(',').map(parse).collect()
    }

    /// Tells whether a case was asked for.
    #[must_use]
    pub fn wants(&self, case: &str) -> bool {
        self.case.as_ref().is_none_or(|text| case.contains(text))
    }
}
