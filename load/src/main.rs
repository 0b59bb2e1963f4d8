//! `persimmon-load` measures persimmontack under load and through failures.

mod arrival;
mod blocking;
mod deployment;
mod failover;
mod latency;
mod open_loop;
mod options;
mod process_log;
mod profile;
mod replicas;
mod report;
mod request_stats;
mod session;
mod swing;

use std::process;

use gumdrop::Options;

fn main() -> process::ExitCode {
    let command_line = options::CommandLine::parse_args_default_or_exit();
    let Some(command) = command_line.command else {
        eprintln!("persimmon-load: no command given; see persimmon-load --help");
        return process::ExitCode::from(2);
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("persimmon-load: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&command)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("persimmon-load: {error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(command: &options::MeasureCommand) -> Result<(), Box<dyn std::error::Error>> {
    let options = command.options();
    let profiles = match &options.profile {
        Some(profile) => vec![profile.clone()],
        None => vec![profile::PSALMHAND, profile::BLUEBONNET],
    };
    let mut report = report::FigureReport::default();
    let mut last_error = None;
    for profile in &profiles {
        for seed in options.seed_list()? {
            let name = command.name();
            report.begin_run(name, profile.name, seed);
            eprintln!(
                "persimmon-load: {name}, profile {}, seed {seed}",
                profile.name
            );
            let result = match command {
                options::MeasureCommand::Latency(_) => {
                    latency::measure(options, profile, seed, &mut report).await
                }
                options::MeasureCommand::Replicas(_) => {
                    replicas::measure(options, profile, seed, &mut report).await
                }
                options::MeasureCommand::Failover(_) => {
                    failover::measure(options, profile, seed, &mut report).await
                }
                options::MeasureCommand::Swing(_) => {
                    swing::measure(options, profile, seed, &mut report).await
                }
                options::MeasureCommand::Blocking(_) => {
                    blocking::measure(options, profile, seed, &mut report).await
                }
            };
            // Continues, so that the figures of the other runs are still printed.
            if let Err(error) = result {
                eprintln!(
                    "persimmon-load: {name}, profile {}, seed {seed}: {error}",
                    profile.name
                );
                last_error = Some(error);
            }
        }
    }
    print!("{}", report.table());
    if let Some(path) = &options.json {
        std::fs::write(path, report.json()?)?;
    }
    last_error.map_or(Ok(()), |error| Err(error.into()))
}
