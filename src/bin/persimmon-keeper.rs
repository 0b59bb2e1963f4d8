//! The keeper: watches the platform, keeps membership, orders promotions and distributes rules.

use std::process;

use gumdrop::Options;
use persimmontack::event;
use persimmontack::exit_code;
use persimmontack::keeper::{daemon, options, settings};
use persimmontack::shutdown;

fn main() -> process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match options::KeeperOptions::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => return fail(exit_code::ExitCode::Usage, &error.to_string()),
    };
    if options.help {
        println!("Usage: {} --config FILE [--check]\n", daemon::PROGRAM);
        println!(
            "{}\n\n{}",
            options::KeeperOptions::usage(),
            options::EXAMPLES
        );
        return exit_code::ExitCode::Success.into();
    }
    if options.version {
        println!("{} {}", daemon::PROGRAM, env!("CARGO_PKG_VERSION"));
        return exit_code::ExitCode::Success.into();
    }
    let Some(path) = options.config else {
        return fail(
            exit_code::ExitCode::Usage,
            "--config FILE is required (see --help)",
        );
    };
    let settings = match settings::KeeperSettings::load(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(exit_code::ExitCode::Invalid, &error),
    };
    if options.check {
        println!("{path}: valid");
        return exit_code::ExitCode::Success.into();
    }
    event::init();
    match serve(settings) {
        Ok(()) => exit_code::ExitCode::Success.into(),
        Err(error) => fail(exit_code::ExitCode::Failure, &error),
    }
}

#[tokio::main]
async fn serve(settings: settings::KeeperSettings) -> Result<(), String> {
    let shutdown = shutdown::ShutdownSignal::from_process()
        .map_err(|error| format!("signal handlers: {error}"))?;
    daemon::run(settings, shutdown).await
}

fn fail(code: exit_code::ExitCode, text: &str) -> process::ExitCode {
    eprintln!("{}: {text}", daemon::PROGRAM);
    code.into()
}
