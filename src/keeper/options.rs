//! [`KeeperOptions`]: the command line of `persimmon-keeper`.

use gumdrop::Options;

/// Examples at the end of the help.
pub const EXAMPLES: &str = "\
Examples:
  persimmon-keeper --config /etc/persimmontack/keeper.toml
      run with these settings
  persimmon-keeper --config keeper.toml --check
      check the settings and exit
  RUST_LOG=debug persimmon-keeper --config keeper.toml
      also log every probe that fails";

/// The command line.
#[derive(Debug, Default, Options)]
pub struct KeeperOptions {
    /// Settings file.
    #[options(help = "settings file (TOML)", meta = "FILE", no_short)]
    pub config: Option<String>,
    /// Only check the settings.
    #[options(help = "check the settings and exit", no_short)]
    pub check: bool,
    /// Print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the version.
    #[options(help = "print the version", short = "V")]
    pub version: bool,
}
