//! [`SqlToken`]: splits SQL text into statements and tokens.

use std::iter;
use std::str;

use crate::instance::db_error;

/// A token of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SqlToken {
    /// Name or keyword, in lower case.
    Word(String),
    /// String constant.
    Text(String),
    /// Number.
    Number(String),
    /// `$n`.
    Parameter(usize),
    /// Any other character.
    Mark(char),
}

/// Splits a simple query into statements at semicolons outside strings and comments.
#[must_use]
pub fn split_statements(sql: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut quoted = false;
    let mut comment = false;
    let mut before = ' ';
    for (index, c) in sql.char_indices() {
        match c {
            '\'' if !comment => quoted = !quoted,
            '*' if !quoted && before == '/' => comment = true,
            '/' if comment && before == '*' => comment = false,
            ';' if !quoted && !comment => {
                parts.push(sql.get(start..index).unwrap_or_default());
                start = index + 1;
            }
            _ => {}
        }
        before = c;
    }
    parts.push(sql.get(start..).unwrap_or_default());
    parts.retain(|part| !part.trim().is_empty());
    parts
}

/// Removes a leading comment and returns the text after `id=` in it and the rest of the statement.
///
/// # Errors
///
/// Fails with 42601 if the comment is not terminated.
pub fn split_comment(sql: &str) -> Result<(Option<String>, &str), db_error::DbError> {
    let text = sql.trim_start();
    let Some(comment) = text.strip_prefix("/*") else {
        return Ok((None, text));
    };
    let Some((comment, rest)) = comment.split_once("*/") else {
        return Err(db_error::DbError::syntax("unterminated /* comment"));
    };
    let id = comment
        .trim()
        .strip_prefix("id=")
        .and_then(|text| text.split_whitespace().next())
        .map(str::to_owned);
    Ok((id, rest.trim_start()))
}

/// Splits a statement into tokens.
///
/// # Errors
///
/// Fails with 42601 if a string does not end or a parameter has no number.
pub fn scan(sql: &str) -> Result<Vec<SqlToken>, db_error::DbError> {
    let mut tokens = Vec::new();
    let mut chars = sql.chars().peekable();
    while let Some(c) = chars.peek().copied() {
        match c {
            _ if c.is_whitespace() => {
                chars.next();
            }
            '\'' => tokens.push(SqlToken::Text(scan_text(&mut chars)?)),
            '$' => {
                chars.next();
                let digits = take_while(&mut chars, |c| c.is_ascii_digit());
                let number = digits.parse().map_err(|error| {
                    db_error::DbError::syntax(format!("parameter number after $: {error}"))
                })?;
                tokens.push(SqlToken::Parameter(number));
            }
            _ if c.is_ascii_digit() => tokens.push(SqlToken::Number(take_while(&mut chars, |c| {
                c.is_ascii_digit() || c == '.'
            }))),
            _ if c.is_alphabetic() || c == '_' || c == '"' => {
                let word = take_while(&mut chars, |c| {
                    c.is_alphanumeric() || matches!(c, '_' | '.' | '"')
                });
                tokens.push(SqlToken::Word(word.replace('"', "").to_lowercase()));
            }
            _ => {
                chars.next();
                tokens.push(SqlToken::Mark(c));
            }
        }
    }
    Ok(tokens)
}

fn scan_text(chars: &mut iter::Peekable<str::Chars<'_>>) -> Result<String, db_error::DbError> {
    chars.next();
    let mut text = String::new();
    loop {
        match chars.next() {
            Some('\'') if chars.peek() == Some(&'\'') => {
                chars.next();
                text.push('\'');
            }
            Some('\'') => return Ok(text),
            Some(c) => text.push(c),
            None => return Err(db_error::DbError::syntax("unterminated quoted string")),
        }
    }
}

fn take_while(chars: &mut iter::Peekable<str::Chars<'_>>, accept: impl Fn(char) -> bool) -> String {
    let mut word = String::new();
    while let Some(c) = chars.next_if(|c| accept(*c)) {
        word.push(c);
    }
    word
}
