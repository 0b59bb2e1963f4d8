//! [`SessionParameters`]: the session parameters that the entry stores, and the answers to the SET
//! and SHOW statements that it handles itself.

use std::collections;
use std::time;

use crate::entry::{batch, wire};
use crate::model::log_position;
use crate::sql::{parameters, statement_class};

/// The parameters of a session. `None` means the default.
#[derive(Clone, Debug, Default)]
pub struct SessionParameters {
    pub position: Option<log_position::LogPosition>,
    pub max_age: Option<time::Duration>,
    pub long: Option<bool>,
    pub session: Option<String>,
    /// Values of standard PostgreSQL parameters that differ from their defaults.
    standard: collections::BTreeMap<String, String>,
}

impl SessionParameters {
    /// Sets a parameter, named in lower case; no value means the default.
    ///
    /// # Errors
    ///
    /// Returns a message that says what is wrong with the name or value.
    pub fn set(&mut self, name: &str, value: Option<&str>) -> Result<(), String> {
        let value = value.filter(|value| !value.is_empty());
        let invalid = |expected: &str| {
            let found = value.unwrap_or_default();
            format!(
                "invalid value for parameter \"{name}\": found \"{found}\", expected {expected}"
            )
        };
        match name {
            parameters::POSITION => {
                self.position = value.map(str::parse).transpose().map_err(
                    |_error: log_position::ParseError| invalid("a position like 3/1042"),
                )?;
            }
            parameters::MAX_AGE => {
                self.max_age = value
                    .map(|text| {
                        parameters::parse_duration(text).ok_or_else(|| invalid("a time like 2s"))
                    })
                    .transpose()?;
            }
            parameters::LONG => {
                self.long = match value.map(str::to_ascii_lowercase).as_deref() {
                    None => None,
                    Some("on" | "true" | "1" | "yes") => Some(true),
                    Some("off" | "false" | "0" | "no") => Some(false),
                    Some(_) => return Err(invalid("on or off")),
                };
            }
            parameters::SESSION => self.session = value.map(str::to_owned),
            _ if parameters::default_value(name).is_none() => {
                return Err(format!("parameter \"{name}\" is not supported"));
            }
            _ => match value {
                Some(value) => {
                    parameters::check_standard(name, value)?;
                    self.standard.insert(name.to_owned(), value.to_owned());
                }
                None => {
                    self.standard.remove(name);
                }
            },
        }
        Ok(())
    }

    /// Returns the value that SHOW returns. `position` is the session's current position.
    pub fn show(&self, name: &str, position: Option<log_position::LogPosition>) -> String {
        match name {
            parameters::POSITION => position.map(|p| p.to_string()).unwrap_or_default(),
            parameters::MAX_AGE => self
                .max_age
                .map(|age| format!("{}ms", age.as_millis()))
                .unwrap_or_default(),
            parameters::LONG => self
                .long
                .map(|long| if long { "on" } else { "off" }.to_owned())
                .unwrap_or_default(),
            parameters::SESSION => self.session.clone().unwrap_or_default(),
            _ => self
                .standard
                .get(name)
                .map(String::as_str)
                .or_else(|| parameters::default_value(name))
                .unwrap_or_default()
                .to_owned(),
        }
    }
}

/// Writes the answer to one message of a batch that the entry answers itself. `run` executes a
/// statement and returns the value for a SHOW.
pub fn answer_step(
    writer: &mut wire::ClientWriter,
    step: &batch::LocalStep,
    run: &mut dyn FnMut(&statement_class::LocalStatement) -> Result<Option<String>, String>,
) -> Result<(), String> {
    match step {
        batch::LocalStep::Parsed => writer.message(b'1', |_body| {}),
        batch::LocalStep::Bound => writer.message(b'2', |_body| {}),
        batch::LocalStep::Closed => writer.message(b'3', |_body| {}),
        batch::LocalStep::DescribeStatement(statement) => {
            writer.message(b't', |body| bytes::BufMut::put_i16(body, 0));
            describe(writer, statement.as_ref());
        }
        batch::LocalStep::DescribePortal(statement) => describe(writer, statement.as_ref()),
        batch::LocalStep::Execute(Some(statement)) => execute(writer, statement, run)?,
        batch::LocalStep::Execute(None) => writer.message(b'I', |_body| {}),
        batch::LocalStep::Query(statements) => {
            for statement in statements {
                if matches!(statement, statement_class::LocalStatement::Show(_)) {
                    describe(writer, Some(statement));
                }
                execute(writer, statement, run)?;
            }
        }
    }
    Ok(())
}

fn describe(writer: &mut wire::ClientWriter, statement: Option<&statement_class::LocalStatement>) {
    match statement {
        Some(statement_class::LocalStatement::Show(name)) => writer.text_column(name),
        _ => writer.message(b'n', |_body| {}),
    }
}

fn execute(
    writer: &mut wire::ClientWriter,
    statement: &statement_class::LocalStatement,
    run: &mut dyn FnMut(&statement_class::LocalStatement) -> Result<Option<String>, String>,
) -> Result<(), String> {
    match run(statement)? {
        Some(value) => {
            writer.text_row(&value);
            writer.complete("SHOW");
        }
        None => writer.complete("SET"),
    }
    Ok(())
}
