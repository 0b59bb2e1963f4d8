//! Owns the connections, slots and queues of upstreams.

use std::path;
use std::process;

use gumdrop::Options;
use persimmontack::pool::{daemon, pool_settings};
use persimmontack::{event, exit_code};

const PROGRAM: &str = "persimmon-pool";
const EXAMPLES: &str = "Examples:
  persimmon-pool --config /etc/persimmontack/pool.toml
  persimmon-pool --config samples/pool.toml --check
  RUST_LOG=debug persimmon-pool --config pool.toml";

#[derive(Debug, Options)]
struct PoolOptions {
    /// Print this help.
    help: bool,
    /// Settings file (TOML); samples/pool.toml describes each key.
    #[options(meta = "FILE")]
    config: Option<path::PathBuf>,
    /// Check the settings and exit.
    #[options(no_short)]
    check: bool,
    /// Print the version.
    #[options(short = "V")]
    version: bool,
}

fn main() -> process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(code) => code.into(),
        Err((code, text)) => {
            eprintln!("{PROGRAM}: {text}");
            code.into()
        }
    }
}

fn run(arguments: &[String]) -> Result<exit_code::ExitCode, (exit_code::ExitCode, String)> {
    let options = PoolOptions::parse_args_default(arguments)
        .map_err(|error| (exit_code::ExitCode::Usage, format!("{error}; try --help")))?;
    if options.help {
        println!("Usage: {PROGRAM} --config FILE [--check]\n");
        println!("{}\n\n{EXAMPLES}", PoolOptions::usage());
        return Ok(exit_code::ExitCode::Success);
    }
    if options.version {
        println!("{PROGRAM} {}", env!("CARGO_PKG_VERSION"));
        return Ok(exit_code::ExitCode::Success);
    }
    let Some(path) = options.config else {
        let text = "--config FILE is required; try --help".to_owned();
        return Err((exit_code::ExitCode::Usage, text));
    };
    let settings = pool_settings::PoolSettings::load(&path)
        .map_err(|error| (exit_code::ExitCode::Invalid, error))?;
    if options.check {
        println!("{}: settings are valid", path.display());
        return Ok(exit_code::ExitCode::Success);
    }
    event::init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| (exit_code::ExitCode::Failure, error.to_string()))?;
    runtime
        .block_on(daemon::run(settings))
        .map_err(|error| (exit_code::ExitCode::Failure, error))
}
