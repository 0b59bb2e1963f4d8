//! Reads and parses a rules file, with errors by line and column.

use std::fs;
use std::io;
use std::io::Read;

use crate::ctl::ctl_error;
use crate::exit_code;
use crate::rules::{file_parser, rule_set};

/// Reads a file, or standard input if the name is `-`.
pub(super) fn read(file: &str) -> Result<String, ctl_error::CtlError> {
    let mut bytes = Vec::new();
    let result = if file == "-" {
        io::stdin().lock().read_to_end(&mut bytes).map(drop)
    } else {
        fs::read(file).map(|content| bytes = content)
    };
    result.map_err(|error| {
        ctl_error::CtlError::new(
            exit_code::ExitCode::Invalid,
            format!("{file} cannot be read ({error}); check the name and the permissions"),
        )
    })?;
    String::from_utf8(bytes).map_err(|error| {
        let valid_part = error.as_bytes().get(..error.utf8_error().valid_up_to());
        let line = valid_part.map_or(1, |bytes| {
            1 + bytes.iter().filter(|byte| **byte == b'\n').count()
        });
        ctl_error::CtlError::new(
            exit_code::ExitCode::Invalid,
            format!("{file}:{line}: found bytes that are not UTF-8; save the file as UTF-8"),
        )
    })
}

/// Parses the text of a file. The error lists all problems, each with its line and column.
pub(super) fn parse(file: &str, text: &str) -> Result<rule_set::RuleSet, ctl_error::CtlError> {
    file_parser::parse(text).map_err(|errors| {
        let list = errors
            .iter()
            .map(|error| {
                serde_json::json!({
                    "line": error.line,
                    "column": error.column,
                    "problem": error.problem,
                })
            })
            .collect::<Vec<_>>();
        ctl_error::CtlError {
            code: exit_code::ExitCode::Invalid,
            messages: errors
                .iter()
                .map(|error| format!("{file}:{}:{}: {}", error.line, error.column, error.problem))
                .collect(),
            details: Vec::new(),
            json: Some(serde_json::json!({ "file": file, "valid": false, "errors": list })),
        }
    })
}
