//! Scaling measurements of the control plane: processor time and memory of the decision code and of
//! the tables at growing sizes, and the cost of running keepers. `docs/CAPACITY.md` extrapolates the
//! costs at the full size from them.

mod cost;
mod deployment;
mod gossip_simulation;
mod groups;
mod keepers;
mod members;
mod options;
mod report;
mod rules;
mod tables;

use std::io::Write as _;
use std::process;

use gumdrop::Options as _;

/// Parses the command line and runs the measurements that it selects.
pub fn run() -> process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let options = match options::SlopeOptions::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("persimmon-slopes: {error}; try --help");
            return process::ExitCode::from(2);
        }
    };
    if options.help {
        println!("{}", options::SlopeOptions::usage());
        return process::ExitCode::SUCCESS;
    }
    match measure(&options) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("persimmon-slopes: {error}");
            process::ExitCode::FAILURE
        }
    }
}

fn measure(options: &options::SlopeOptions) -> std::io::Result<()> {
    let mut report = report::ScalingReport::new();
    if options.part != options::MeasuredPart::Keepers {
        members::measure(&mut report);
        gossip_simulation::measure(&mut report);
        groups::measure(&mut report);
        rules::measure(&mut report);
        tables::measure(&mut report);
    }
    if options.part != options::MeasuredPart::Decisions {
        tokio::runtime::Runtime::new()?.block_on(keepers::measure(&mut report, options))?;
    }
    if let Some(path) = &options.json {
        let mut file = std::fs::File::create(path)?;
        writeln!(file, "{}", serde_json::to_string_pretty(report.rows())?)?;
    }
    Ok(())
}
