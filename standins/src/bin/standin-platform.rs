//! Runs the stand-in platform.

use std::fs;
use std::path;
use std::process;

use gumdrop::Options;
use persimmontack::{event, exit_code, shutdown};
use standins::platform::{platform_server, settings};

/// Options of the program.
#[derive(Debug, Options)]
struct ProgramOptions {
    /// Print this help.
    help: bool,
    /// Settings file.
    #[options(no_short, required, meta = "FILE")]
    config: path::PathBuf,
}

#[tokio::main]
async fn main() -> process::ExitCode {
    event::init();
    let options = ProgramOptions::parse_args_default_or_exit();
    let settings: settings::PlatformSettings = match fs::read_to_string(&options.config)
        .map_err(|error| error.to_string())
        .and_then(|text| toml::from_str(&text).map_err(|error| error.to_string()))
    {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("standin-platform: {}: {error}", options.config.display());
            return exit_code::ExitCode::Invalid.into();
        }
    };
    let started = async {
        let signal = shutdown::ShutdownSignal::from_process()?;
        let (_address, task) = platform_server::start(settings).await?;
        tokio::select! {
            () = signal.wait() => {}
            _ended = task => {}
        }
        Ok::<_, std::io::Error>(())
    };
    match started.await {
        Ok(()) => exit_code::ExitCode::Success.into(),
        Err(error) => {
            eprintln!("standin-platform: {error}");
            exit_code::ExitCode::Failure.into()
        }
    }
}
