//! `persimmonctl`: the command-line tool for operators. It is stateless; concurrent changes of the
//! rules are ordered by the platform's store.

mod apply;
mod check;
mod commit;
mod config;
mod control_call;
mod ctl_error;
mod drain;
mod explain;
mod help;
mod history;
mod options;
mod promote;
mod rule_store;
mod rules_file;
mod show;
mod status;
mod status_view;
mod text_table;
mod verifier;
mod wait;

use std::env;
use std::ffi;
use std::io;
use std::io::Write;

use crate::exit_code;

/// Prefix of every error message.
const PROGRAM: &str = "persimmonctl";

/// Output of a successful command, as text and as JSON.
#[derive(Debug)]
struct CtlOutput {
    text: String,
    json: serde_json::Value,
}

/// Runs the command line `arguments`, which exclude the program's name, and returns the exit code.
pub fn run(arguments: impl Iterator<Item = ffi::OsString>) -> exit_code::ExitCode {
    let resolved = options::CtlOptions::parse(arguments)
        .and_then(|options| config::CtlRequest::resolve(options, |name| env::var(name).ok()));
    let config = match resolved {
        Ok(config::CtlRequest::Help(text)) => return print(&text, exit_code::ExitCode::Success),
        Ok(config::CtlRequest::Run(config)) => config,
        Err(error) => return print_error(&error, false),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            let text = format!("the runtime cannot start ({error}); check the limit on open files");
            return print_error(
                &ctl_error::CtlError::new(exit_code::ExitCode::Failure, text),
                false,
            );
        }
    };
    match runtime.block_on(run_action(&config)) {
        Ok(output) if config.json => print(
            &format!("{:#}\n", output.json),
            exit_code::ExitCode::Success,
        ),
        Ok(output) => print(&output.text, exit_code::ExitCode::Success),
        Err(error) => print_error(&error, config.json),
    }
}

async fn run_action(config: &config::CtlConfig) -> Result<CtlOutput, ctl_error::CtlError> {
    match &config.action {
        config::CtlAction::Check { file } => check::run(file),
        config::CtlAction::Apply(request) => apply::run(config, request).await,
        config::CtlAction::Show { revision } => show::run(config, *revision).await,
        config::CtlAction::History { last } => history::run(config, *last).await,
        config::CtlAction::Status => status::run(config).await,
        config::CtlAction::Explain { entry, request } => explain::run(*entry, request).await,
        config::CtlAction::Drain { rule, author } => drain::add(config, rule, author).await,
        config::CtlAction::Undrain { target, author } => {
            drain::remove(config, target, author).await
        }
        config::CtlAction::Promote { group, upstream } => {
            promote::run(config, group, upstream.as_deref()).await
        }
        config::CtlAction::Verifier { user } => verifier::run(user),
    }
}

/// Prints to standard output. A broken pipe is not an error: a reader like `head` closes it once it
/// has read enough.
fn print(text: &str, code: exit_code::ExitCode) -> exit_code::ExitCode {
    let mut output = io::stdout().lock();
    match output
        .write_all(text.as_bytes())
        .and_then(|()| output.flush())
    {
        Ok(()) => code,
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => code,
        Err(error) => {
            let text = format!(
                "standard output cannot be written ({error}); check where it is redirected"
            );
            print_error(
                &ctl_error::CtlError::new(exit_code::ExitCode::Failure, text),
                false,
            )
        }
    }
}

/// Prints an error, and with `--json` also its details on standard output.
fn print_error(error: &ctl_error::CtlError, json: bool) -> exit_code::ExitCode {
    let mut text = String::new();
    for message in &error.messages {
        text.push_str(&format!("{PROGRAM}: {message}\n"));
    }
    for detail in &error.details {
        text.push_str(&format!("  {detail}\n"));
    }
    // If standard error is closed, there is nowhere to report the failure.
    let _ignored = io::stderr().lock().write_all(text.as_bytes());
    match &error.json {
        Some(value) if json => print(&format!("{value:#}\n"), error.code),
        _ => error.code,
    }
}
