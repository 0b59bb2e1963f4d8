//! Start-up code of the daemons: command line, settings file, listeners and exit code.

use std::io;
use std::net;
use std::path;
use std::process;

use error_stack::ResultExt;
use gumdrop::Options;

use crate::{event, exit_code, health, shutdown};

/// Describes a daemon for its help text and its error messages.
#[derive(Clone, Copy, Debug)]
pub struct DaemonProgram {
    /// Name of the program.
    pub name: &'static str,
    /// What the daemon does, in one sentence.
    pub summary: &'static str,
    /// Path of its sample settings file.
    pub sample: &'static str,
}

/// Why a daemon could not start.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum StartError {
    /// The command line is not valid.
    #[display("{_0}; try --help")]
    Usage(#[error(not(source))] String),
    /// The settings file cannot be read or is not valid.
    #[display("settings {file}: {problem}")]
    Settings {
        /// Path of the file.
        file: String,
        /// What is wrong: the key, its value and the expected value.
        problem: String,
    },
    /// A listener cannot be bound.
    #[display("cannot listen on {what} = {address}")]
    Bind {
        /// Settings key of the listener.
        what: &'static str,
        /// Address of the listener.
        address: net::SocketAddr,
    },
    /// The runtime or the signal handlers cannot be set up.
    #[display("cannot start the runtime")]
    Runtime,
}

impl StartError {
    /// Returns the exit code of a program that could not start for this reason.
    #[must_use]
    pub const fn exit_code(&self) -> exit_code::ExitCode {
        match self {
            Self::Usage(_) => exit_code::ExitCode::Usage,
            Self::Settings { .. } => exit_code::ExitCode::Invalid,
            Self::Bind { .. } | Self::Runtime => exit_code::ExitCode::Failure,
        }
    }
}

/// Command line of a daemon.
#[derive(Debug, Options)]
pub struct DaemonOptions {
    /// Settings file.
    #[options(meta = "FILE")]
    pub config: Option<path::PathBuf>,
    /// Check the settings and exit.
    #[options(no_short)]
    pub check: bool,
    /// Print this help.
    pub help: bool,
    /// Print the version.
    #[options(short = "V")]
    pub version: bool,
}

/// Runs a daemon and returns its exit code. `parse` reads the text of the settings file, and
/// `serve` runs until the daemon is shut down.
pub fn run<S, F>(
    program: &DaemonProgram,
    parse: impl FnOnce(&str) -> Result<S, String>,
    serve: impl FnOnce(S, shutdown::ShutdownSignal) -> F,
) -> process::ExitCode
where
    F: Future<Output = Result<(), error_stack::Report<StartError>>>,
{
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match start(program, &arguments, parse, serve) {
        Ok(()) => exit_code::ExitCode::Success.into(),
        Err(report) => {
            // The alternate format is one line with the chain of causes.
            eprintln!("{}: {report:#}", program.name);
            report.current_context().exit_code().into()
        }
    }
}

fn start<S, F>(
    program: &DaemonProgram,
    arguments: &[String],
    parse: impl FnOnce(&str) -> Result<S, String>,
    serve: impl FnOnce(S, shutdown::ShutdownSignal) -> F,
) -> Result<(), error_stack::Report<StartError>>
where
    F: Future<Output = Result<(), error_stack::Report<StartError>>>,
{
    let options = DaemonOptions::parse_args_default(arguments)
        .map_err(|error| StartError::Usage(error.to_string()))?;
    if options.help {
        print!("{}", help_text(program));
        return Ok(());
    }
    if options.version {
        println!("{} {}", program.name, env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let Some(path) = options.config else {
        return Err(StartError::Usage("--config FILE is missing".to_owned()).into());
    };
    let settings = load_settings(&path, parse)?;
    if options.check {
        println!("{}: settings are valid", path.display());
        return Ok(());
    }
    event::init();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .change_context(StartError::Runtime)?;
    runtime.block_on(async {
        let signal =
            shutdown::ShutdownSignal::from_process().change_context(StartError::Runtime)?;
        serve(settings, signal).await
    })
}

fn load_settings<S>(
    path: &path::Path,
    parse: impl FnOnce(&str) -> Result<S, String>,
) -> Result<S, StartError> {
    let file = path.display().to_string();
    std::fs::read_to_string(path)
        .map_err(|error| error.to_string())
        .and_then(|text| parse(&text))
        .map_err(|problem| StartError::Settings { file, problem })
}

/// Returns the help text of a daemon.
#[must_use]
pub fn help_text(program: &DaemonProgram) -> String {
    let DaemonProgram {
        name,
        summary,
        sample,
    } = program;
    format!(
        "{name} {summary}\n\nUsage: {name} --config FILE [--check]\n\n{}\n\nExamples:\n  \
         {name} --config /etc/persimmontack/settings.toml\n      run with these settings\n  \
         {name} --config {sample} --check\n      check the settings and exit\n  \
         RUST_LOG=debug {name} --config {sample}\n      log more\n",
        DaemonOptions::usage()
    )
}

/// Binds the listener with the settings key `what` and logs its address.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(
    what: &'static str,
    address: net::SocketAddr,
) -> Result<tokio::net::TcpListener, error_stack::Report<StartError>> {
    let bound = async {
        let listener = tokio::net::TcpListener::bind(address).await?;
        let local = listener.local_addr()?;
        Ok::<_, io::Error>((listener, local))
    };
    let (listener, local) = bound
        .await
        .change_context(StartError::Bind { what, address })?;
    event::info("listening", &[("what", &what), ("address", &local)]);
    Ok(listener)
}

/// Starts the health endpoint and logs its address.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start_health(
    address: net::SocketAddr,
    flag: health::ReadyFlag,
) -> Result<(), error_stack::Report<StartError>> {
    let what = "health";
    let bound = health::start(address, flag)
        .await
        .change_context(StartError::Bind { what, address })?;
    event::info("listening", &[("what", &what), ("address", &bound)]);
    Ok(())
}
