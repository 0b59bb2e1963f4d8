//! [`CtlConfig`]: the validated configuration of one run, from the options and the environment.

use std::net;
use std::str;
use std::time;

use gumdrop::Options;

use crate::ctl::ctl_error;
use crate::ctl::help;
use crate::ctl::options;
use crate::dial;
use crate::link::control;
use crate::model::ids;
use crate::platform::client;
use crate::rules::{file_parser, rule_set, time_text};

/// Timeout of one call to the platform or a peer. The platform answers within milliseconds, and
/// all attempts of a read together stay within the default limit.
pub(super) const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Default of `--limit`; accepted rules are in force everywhere within 4 s.
const DEFAULT_LIMIT: time::Duration = time::Duration::from_secs(10);
/// Default of `history --last`.
const DEFAULT_LAST: u64 = 20;

/// What the command line requests.
#[derive(Debug)]
pub(super) enum CtlRequest {
    /// Prints the help or the version.
    Help(String),
    /// Runs a command.
    Run(Box<CtlConfig>),
}

/// The configuration of a command.
#[derive(Debug)]
pub(super) struct CtlConfig {
    pub(super) platform: Option<net::SocketAddr>,
    pub(super) keeper: Option<net::SocketAddr>,
    pub(super) json: bool,
    pub(super) limit: time::Duration,
    pub(super) action: CtlAction,
}

/// A command with its arguments.
#[derive(Debug)]
pub(super) enum CtlAction {
    Check {
        file: String,
    },
    Apply(ApplyRequest),
    Show {
        revision: Option<ids::RuleRevision>,
    },
    History {
        last: u64,
    },
    Status,
    Explain {
        entry: net::SocketAddr,
        request: control::ExplainRequest,
    },
    Drain {
        rule: rule_set::DrainRule,
        author: String,
    },
    Undrain {
        target: rule_set::DrainTarget,
        author: String,
    },
    Promote {
        group: ids::GroupId,
        upstream: Option<ids::UpstreamId>,
    },
    Verifier {
        user: ids::UserName,
    },
}

/// Arguments of `apply`.
#[derive(Debug)]
pub(super) struct ApplyRequest {
    pub(super) file: String,
    pub(super) author: String,
    pub(super) base: Option<ids::RuleRevision>,
    pub(super) wait: bool,
}

impl CtlRequest {
    /// Resolves the options against the environment.
    pub(super) fn resolve(
        options: options::CtlOptions,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ctl_error::CtlError> {
        if options.version {
            let version = env!("CARGO_PKG_VERSION");
            return Ok(Self::Help(format!("persimmonctl {version}\n")));
        }
        let Some(command) = options.command else {
            if options.help {
                return Ok(Self::Help(help::general()));
            }
            return Err(ctl_error::CtlError::usage(
                "no command is given; persimmonctl --help lists them",
            ));
        };
        if options.help || command.help_requested() {
            return Ok(Self::Help(help::of_command(&command)));
        }
        let address = |option: &str, value: Option<String>, variable: &str| match value {
            Some(value) => parse_value(option, &value, ADDRESS_FORMAT).map(Some),
            None => environment(variable)
                .filter(|value| !value.is_empty())
                .map(|value| parse_value(variable, &value, ADDRESS_FORMAT))
                .transpose(),
        };
        let limit = options
            .limit
            .map(|value| parse_time("--limit", &value))
            .transpose()?;
        Ok(Self::Run(Box::new(CtlConfig {
            platform: address("--platform", options.platform, "PERSIMMON_PLATFORM")?,
            keeper: address("--keeper", options.keeper, "PERSIMMON_KEEPER")?,
            json: options.json,
            limit: limit.unwrap_or(DEFAULT_LIMIT),
            action: CtlAction::resolve(command, &environment)?,
        })))
    }
}

impl CtlAction {
    fn resolve(
        command: options::CtlCommand,
        environment: &dyn Fn(&str) -> Option<String>,
    ) -> Result<Self, ctl_error::CtlError> {
        Ok(match command {
            options::CtlCommand::Check(options) => Self::Check {
                file: single_argument("the rules file", options.file)?,
            },
            options::CtlCommand::Apply(options) => Self::Apply(ApplyRequest {
                file: single_argument("the rules file", options.file)?,
                author: resolve_author(options.author, environment)?,
                base: options.base,
                wait: options.wait,
            }),
            options::CtlCommand::Show(options) => {
                no_more_arguments(&options.rest)?;
                Self::Show {
                    revision: options.revision,
                }
            }
            options::CtlCommand::History(options) => {
                no_more_arguments(&options.rest)?;
                Self::History {
                    last: options.last.unwrap_or(DEFAULT_LAST),
                }
            }
            options::CtlCommand::Status(options) => {
                no_more_arguments(&options.rest)?;
                Self::Status
            }
            options::CtlCommand::Explain(options) => {
                let entry: String = required_value("--entry ADDR", options.entry)?;
                let position = options.position.as_deref();
                let max_age = options.max_age.as_deref();
                Self::Explain {
                    entry: parse_value("--entry", &entry, ADDRESS_FORMAT)?,
                    request: control::ExplainRequest {
                        user: required_value("--user U", options.user)?,
                        database: required_value("--database D", options.database)?,
                        sql: single_argument("the statement, in quotes", options.sql)?,
                        position: position
                            .map(|value| parse_value("--position", value, "a position like 3/1042"))
                            .transpose()?,
                        max_age: max_age
                            .map(|value| parse_time("--max-age", value))
                            .transpose()?,
                    },
                }
            }
            options::CtlCommand::Drain(options) => {
                let target = single_argument("upstream=ID or vm=ID", options.target)?;
                let requester = required_value("--requester NAME", options.requester)?;
                Self::Drain {
                    rule: drain_rule(&target, &requester)?,
                    author: resolve_author(options.author, environment)?,
                }
            }
            options::CtlCommand::Undrain(options) => {
                let target = single_argument("upstream=ID or vm=ID", options.target)?;
                Self::Undrain {
                    target: drain_rule(&target, "nobody")?.target,
                    author: resolve_author(options.author, environment)?,
                }
            }
            options::CtlCommand::Promote(options) => {
                let mut names = options.names.into_iter();
                let group = required_value("the group", names.next())?;
                let upstream = names.next();
                no_more_arguments(&names.collect::<Vec<_>>())?;
                Self::Promote { group, upstream }
            }
            options::CtlCommand::Verifier(options) => Self::Verifier {
                user: single_argument("the login user", options.user)?,
            },
        })
    }
}

impl CtlConfig {
    /// Returns a client of the platform, if its address is known.
    pub(super) fn platform_client(&self) -> Option<client::PlatformClient> {
        self.platform
            .map(|address| client::PlatformClient::new(address, "persimmonctl", dialer()))
    }

    /// Returns a client of the platform, or says how to name it.
    pub(super) fn require_platform(&self) -> Result<client::PlatformClient, ctl_error::CtlError> {
        self.platform_client().ok_or_else(|| {
            ctl_error::CtlError::usage(
                "the platform's address is not given; use --platform ADDR or set PERSIMMON_PLATFORM",
            )
        })
    }
}

/// Returns the dialer for this program's connections.
pub(super) const fn dialer() -> dial::TcpDialer {
    dial::TcpDialer {
        source: None,
        timeout: CALL_TIMEOUT,
    }
}

/// Description of an address in error messages.
const ADDRESS_FORMAT: &str = "an IP number and a port like 10.0.0.1:7070";

fn parse_value<T: str::FromStr>(
    option: &str,
    value: &str,
    expected: &str,
) -> Result<T, ctl_error::CtlError> {
    value.parse().map_err(|_error: T::Err| {
        ctl_error::CtlError::usage(format!("{option}: found {value:?}, expected {expected}"))
    })
}

fn parse_time(option: &str, value: &str) -> Result<time::Duration, ctl_error::CtlError> {
    time_text::parse(value).ok_or_else(|| {
        ctl_error::CtlError::usage(format!(
            "{option}: found {value:?}, expected a time like 250ms, 2s or 1m"
        ))
    })
}

/// Returns a value that must not be missing or empty.
fn required_value(what: &str, value: Option<String>) -> Result<String, ctl_error::CtlError> {
    value.filter(|value| !value.is_empty()).ok_or_else(|| {
        ctl_error::CtlError::usage(format!("{what} is missing; see the command's --help"))
    })
}

/// Returns the only positional argument.
fn single_argument(what: &str, values: Vec<String>) -> Result<String, ctl_error::CtlError> {
    let mut values = values.into_iter();
    let value = required_value(what, values.next())?;
    no_more_arguments(&values.collect::<Vec<_>>())?;
    Ok(value)
}

/// Fails if there are positional arguments left.
fn no_more_arguments(values: &[String]) -> Result<(), ctl_error::CtlError> {
    match values.first() {
        None => Ok(()),
        Some(value) => Err(ctl_error::CtlError::usage(format!(
            "found the extra argument {value:?}; see the command's --help"
        ))),
    }
}

/// Returns the author of a change: that of the option, else the environment's `USER`.
fn resolve_author(
    option: Option<String>,
    environment: &dyn Fn(&str) -> Option<String>,
) -> Result<String, ctl_error::CtlError> {
    option
        .or_else(|| environment("USER"))
        .filter(|name| !name.trim().is_empty() && !name.contains(char::is_control))
        .ok_or_else(|| {
            ctl_error::CtlError::usage(
                "the author of the change is not given; use --author NAME or set USER",
            )
        })
}

/// Parses a drain rule with the parser of rules files. A target or requester that contains a line
/// end, and so would add other rules, is rejected.
fn drain_rule(target: &str, requester: &str) -> Result<rule_set::DrainRule, ctl_error::CtlError> {
    let line = format!("drain {target} # asked for by: {requester}");
    let rules = file_parser::parse(&line).map_err(|errors| {
        let problems: Vec<_> = errors.into_iter().map(|error| error.problem).collect();
        ctl_error::CtlError::usage(problems.join("; "))
    })?;
    let mut drains = rules.drains.into_iter();
    match (drains.next(), drains.next()) {
        (Some(rule), None) if rule.requester == requester.trim() => Ok(rule),
        _ => Err(ctl_error::CtlError::usage(
            "the target and the requester must each be a single line, like upstream=ledger-2",
        )),
    }
}
