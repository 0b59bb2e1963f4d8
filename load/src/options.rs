//! Command line of `persimmon-load`: [`CommandLine`] with one [`MeasureCommand`].

use std::path;

use gumdrop::Options;

use crate::profile;

/// Measures persimmontack under load and through failures.
#[derive(Debug, Options)]
pub struct CommandLine {
    /// Whether to print the usage text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Subcommand to run.
    #[options(command)]
    pub command: Option<MeasureCommand>,
}

/// Subcommand, with the options given after it.
#[derive(Debug, Options)]
pub enum MeasureCommand {
    /// Latency that the proxy adds, and its throughput.
    #[options(help = "added latency and throughput of one entry and one pool")]
    Latency(LoadOptions),
    /// Share of reads that replicas serve, and stale reads.
    #[options(help = "share of reads on replicas, and stale reads")]
    Replicas(LoadOptions),
    /// Interruption of service when the primary fails.
    #[options(help = "interruption of service when the primary fails, and false promotions")]
    Failover(LoadOptions),
    /// Behaviour while demand exceeds the capacity and afterwards.
    #[options(help = "goodput, fairness and recovery when demand exceeds capacity")]
    Swing(LoadOptions),
    /// Latency of short statements while long statements run.
    #[options(help = "latency of short statements while exports run")]
    Blocking(LoadOptions),
}

/// Options that all measurements share.
#[derive(Debug, Options)]
pub struct LoadOptions {
    /// Whether to print the usage text and exit.
    #[options(help = "print this help")]
    pub help: bool,
    /// Deployment to measure; both if absent.
    #[options(no_short, help = "psalmhand or bluebonnet (default: both)")]
    pub profile: Option<profile::DeploymentProfile>,
    /// Seed of all random choices; 1 if absent.
    #[options(no_short, help = "seed of all random choices (default: 1)")]
    pub seed: Option<u64>,
    /// Comma-separated seeds, each of which is run; replaces `seed`.
    #[options(no_short, help = "several seeds, for example 1,2,3")]
    pub seeds: Option<String>,
    /// Duration of each measurement in seconds; each measurement has its own default.
    #[options(no_short, help = "duration of each measurement in seconds")]
    pub seconds: Option<f64>,
    /// JSON file to which the figures are written.
    #[options(no_short, help = "file for the figures as JSON")]
    pub json: Option<path::PathBuf>,
    /// Text that the name of a case must contain for the case to run.
    #[options(no_short, help = "run only the cases whose name contains this text")]
    pub case: Option<String>,
    /// Directory to which the logs and journals of the processes are copied.
    #[options(
        no_short,
        help = "directory to which logs and journals are copied after each run"
    )]
    pub logs: Option<path::PathBuf>,
}

impl MeasureCommand {
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

    /// Returns the options given after the subcommand.
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
    /// Returns the seeds to run, in the order given.
    ///
    /// # Errors
    ///
    /// Fails if a seed is not a non-negative integer.
    pub fn seed_list(&self) -> Result<Vec<u64>, String> {
        let Some(list) = &self.seeds else {
            return Ok(vec![self.seed.unwrap_or(1)]);
        };
        let parse = |part: &str| {
            part.trim()
                .parse()
                .map_err(|error| format!("seed {part:?} is not a non-negative integer: {error}"))
        };
        list.split(',').map(parse).collect()
    }

    /// Returns whether the case is to run: without `--case`, every case does.
    #[must_use]
    pub fn includes_case(&self, case: &str) -> bool {
        self.case.as_ref().is_none_or(|text| case.contains(text))
    }
}
