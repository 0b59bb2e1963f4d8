//! `persimmon-load` measures persimmontack under load and through failures.

mod arrival;
mod blocking;
mod clock_log;
mod deployment;
mod failover;
mod latency;
mod open_loop;
mod options;
mod profile;
mod replicas;
mod report;
mod session;
mod swing;
mod tally;

use std::process;

use gumdrop::Options;

fn main() -> process::ExitCode {
    let line = options::CommandLine::parse_args_default_or_exit();
    let Some(measure) = line.measure else {
        eprintln!("persimmon-load: a measure is missing; see persimmon-load --help");
        return process::ExitCode::from(2);
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("persimmon-load: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&measure)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("persimmon-load: {error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(measure: &options::Measure) -> Result<(), Box<dyn std::error::Error>> {
    let options = measure.options();
    let profiles = match &options.profile {
        Some(profile) => vec![profile.clone()],
        None => vec![profile::PSALMHAND, profile::BLUEBONNET],
    };
    let mut report = report::FigureReport::default();
    let mut failure = None;
    for profile in &profiles {
        for seed in options.seed_list()? {
            let name = measure.name();
            report.begin(name, profile.name, seed);
            eprintln!(
                "persimmon-load: {name}, profile {}, seed {seed}",
                profile.name
            );
            let result = match measure {
                options::Measure::Latency(_) => {
                    latency::measure(options, profile, seed, &mut report).await
                }
                options::Measure::Replicas(_) => {
                    replicas::measure(options, profile, seed, &mut report).await
                }
                options::Measure::Failover(_) => {
                    failover::measure(options, profile, seed, &mut report).await
                }
                options::Measure::Swing(_) => {
                    swing::measure(options, profile, seed, &mut report).await
                }
                options::Measure::Blocking(_) => {
                    blocking::measure(options, profile, seed, &mut report).await
                }
            };
            // The figures so far are worth printing even if a later run fails.
            if let Err(error) = result {
                eprintln!(
                    "persimmon-load: {name}, profile {}, seed {seed}: {error}",
                    profile.name
                );
                failure = Some(error);
            }
        }
    }
    print!("{}", report.table());
    if let Some(path) = &options.json {
        std::fs::write(path, report.json()?)?;
    }
    failure.map_or(Ok(()), |error| Err(error.into()))
}
