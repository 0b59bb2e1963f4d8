//! [`CtlOptions`]: the parsed command line, before validation.

use std::ffi;

use gumdrop::Options;

use crate::ctl::ctl_error;

/// Global options that take a value.
const GLOBAL_VALUE_OPTIONS: [&str; 3] = ["--platform", "--keeper", "--limit"];
/// Global options without a value.
const GLOBAL_FLAGS: [&str; 1] = ["--json"];

/// The global options and the command.
#[derive(Debug, Options)]
pub(super) struct CtlOptions {
    #[options(help = "print this help, or that of the command")]
    pub(super) help: bool,
    #[options(no_short, help = "print the version")]
    pub(super) version: bool,
    #[options(no_short, meta = "ADDR", help = "platform [PERSIMMON_PLATFORM]")]
    pub(super) platform: Option<String>,
    #[options(
        no_short,
        meta = "ADDR",
        help = "keeper [PERSIMMON_KEEPER; default: those that the platform lists]"
    )]
    pub(super) keeper: Option<String>,
    #[options(no_short, help = "print JSON")]
    pub(super) json: bool,
    #[options(
        no_short,
        meta = "TIME",
        help = "time limit for confirming a change or waiting for it (10s)"
    )]
    pub(super) limit: Option<String>,
    #[options(command)]
    pub(super) command: Option<CtlCommand>,
}

#[derive(Debug, Options)]
pub(super) enum CtlCommand {
    #[options(help = "check a rules file")]
    Check(CheckOptions),
    #[options(help = "apply a rules file")]
    Apply(ApplyOptions),
    #[options(help = "print the rules of a revision")]
    Show(ShowOptions),
    #[options(help = "list the changes of the rules, newest first")]
    History(HistoryOptions),
    #[options(help = "show groups, VMs, queues, refusals and retries")]
    Status(StatusOptions),
    #[options(help = "explain where a statement would be routed now, and why")]
    Explain(ExplainOptions),
    #[options(help = "take an upstream or a VM out of service")]
    Drain(DrainOptions),
    #[options(help = "put an upstream or a VM back into service")]
    Undrain(UndrainOptions),
    #[options(help = "move the primary of a group")]
    Promote(PromoteOptions),
    #[options(help = "derive a login verifier from a password on standard input")]
    Verifier(VerifierOptions),
}

#[derive(Debug, Options)]
pub(super) struct CheckOptions {
    #[options(help = "print this help")]
    pub(super) help: bool,
    #[options(free, help = "rules file; - reads standard input")]
    pub(super) file: Vec<String>,
}

#[derive(Debug, Options)]
pub(super) struct ApplyOptions {
    #[options(help = "print this help")]
    pub(super) help: bool,
    #[options(no_short, help = "wait until the rules are in force on all live VMs")]
    pub(super) wait: bool,
    #[options(no_short, meta = "NAME", help = "author of the change [USER]")]
    pub(super) author: Option<String>,
    #[options(
        no_short,
        meta = "N",
        help = "fail unless N is the newest revision, so that no newer change is overwritten"
    )]
    pub(super) base: Option<u64>,
    #[options(free, help = "rules file; - reads standard input")]
    pub(super) file: Vec<String>,
}

#[derive(Debug, Options)]
pub(super) struct ShowOptions {
    #[options(help = "print this help")]
    pub(super) help: bool,
    #[options(no_short, meta = "N", help = "revision (default: the newest)")]
    pub(super) revision: Option<u64>,
    #[options(free)]
    pub(super) rest: Vec<String>,
}

#[derive(Debug, Options)]
pub(super) struct HistoryOptions {
    #[options(help = "print this help")]
    pub(super) help: bool,
    #[options(no_short, meta = "N", help = "number of changes to list (20)")]
    pub(super) last: Option<u64>,
    #[options(free)]
    pub(super) rest: Vec<String>,
}

#[derive(Debug, Options)]
pub(super) struct StatusOptions {
    #[options(help = "print this help")]
    pub(super) help: bool,
    #[options(free)]
    pub(super) rest: Vec<String>,
}

#[derive(Debug, Options)]
pub(super) struct ExplainOptions {
    #[options(help = "print this help")]
    pub(super) help: bool,
    #[options(no_short, meta = "ADDR", help = "link address of the entry to ask")]
    pub(super) entry: Option<String>,
    #[options(no_short, meta = "U", help = "login user")]
    pub(super) user: Option<String>,
    #[options(no_short, meta = "D", help = "database")]
    pub(super) database: Option<String>,
    #[options(no_short, meta = "T/N", help = "log position of the session")]
    pub(super) position: Option<String>,
    #[options(
        no_short,
        meta = "TIME",
        help = "greatest age of data that the session accepts"
    )]
    pub(super) max_age: Option<String>,
    #[options(free, help = "the statement")]
    pub(super) sql: Vec<String>,
}

#[derive(Debug, Options)]
pub(super) struct DrainOptions {
    #[options(help = "print this help")]
    pub(super) help: bool,
    #[options(no_short, meta = "NAME", help = "who requested the rule")]
    pub(super) requester: Option<String>,
    #[options(no_short, meta = "NAME", help = "author of the change [USER]")]
    pub(super) author: Option<String>,
    #[options(free, help = "upstream=ID or vm=ID")]
    pub(super) target: Vec<String>,
}

#[derive(Debug, Options)]
pub(super) struct UndrainOptions {
    #[options(help = "print this help")]
    pub(super) help: bool,
    #[options(no_short, meta = "NAME", help = "author of the change [USER]")]
    pub(super) author: Option<String>,
    #[options(free, help = "upstream=ID or vm=ID")]
    pub(super) target: Vec<String>,
}

#[derive(Debug, Options)]
pub(super) struct PromoteOptions {
    #[options(help = "print this help")]
    pub(super) help: bool,
    #[options(free, help = "the group, and optionally the upstream to promote")]
    pub(super) names: Vec<String>,
}

#[derive(Debug, Options)]
pub(super) struct VerifierOptions {
    #[options(help = "print this help")]
    pub(super) help: bool,
    #[options(free, help = "login user")]
    pub(super) user: Vec<String>,
}

impl CtlOptions {
    /// Parses the arguments. Global options may also follow the command.
    pub(super) fn parse(
        arguments: impl Iterator<Item = ffi::OsString>,
    ) -> Result<Self, ctl_error::CtlError> {
        let arguments = arguments
            .map(ffi::OsString::into_string)
            .collect::<Result<Vec<_>, _>>()
            .map_err(|argument| {
                ctl_error::CtlError::usage(format!(
                    "the argument {argument:?} is not valid UTF-8; write it in UTF-8"
                ))
            })?;
        Self::parse_args_default(&globals_first(arguments)).map_err(|error| {
            ctl_error::CtlError::usage(format!("{error}; see persimmonctl --help"))
        })
    }
}

/// Moves the global options before the command, where the parser expects them.
fn globals_first(arguments: Vec<String>) -> Vec<String> {
    let mut globals = Vec::new();
    let mut rest = Vec::new();
    let mut arguments = arguments.into_iter();
    while let Some(argument) = arguments.next() {
        let name = argument.split('=').next().unwrap_or_default();
        if argument == "--" {
            rest.push(argument);
            rest.extend(arguments.by_ref());
        } else if GLOBAL_VALUE_OPTIONS.contains(&argument.as_str()) {
            globals.push(argument);
            globals.extend(arguments.next());
        } else if GLOBAL_VALUE_OPTIONS.contains(&name) || GLOBAL_FLAGS.contains(&argument.as_str())
        {
            globals.push(argument);
        } else {
            rest.push(argument);
        }
    }
    globals.extend(rest);
    globals
}
