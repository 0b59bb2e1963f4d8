//! [`SqlStatement`]: the SQL statements that an instance supports, and their parser.

use crate::instance::db_error;
use crate::instance::scanner;

/// A constant or a parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SqlValue {
    /// A constant, as text.
    Constant(String),
    /// `$n`.
    Parameter(usize),
}

/// Type of a column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColumnKind {
    /// `text`
    Text,
    /// `int4`
    Int4,
    /// `int8`
    Int8,
    /// `void`
    Void,
}

/// A column of a result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowColumn {
    /// Its name.
    pub name: String,
    /// Its type.
    pub kind: ColumnKind,
}

/// A query whose rows are streamed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RowSource {
    /// `SELECT v FROM t WHERE k = ...`
    Value {
        /// Table name.
        table: String,
        /// Key.
        k: SqlValue,
    },
    /// `SELECT k, v FROM t`
    Table {
        /// Table name.
        table: String,
    },
    /// `SELECT n FROM generate_series(1, N)`
    Series {
        /// Last number.
        last: SqlValue,
    },
}

/// A statement that the instance runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SqlStatement {
    /// `SELECT 1`
    One,
    /// A query whose rows are streamed.
    Select(RowSource),
    /// `SELECT count(*) FROM t`
    Count {
        /// Table name.
        table: String,
    },
    /// `INSERT INTO t (k, v) VALUES (..., ...)`
    Insert {
        /// Table name.
        table: String,
        /// Key.
        k: SqlValue,
        /// Value.
        v: SqlValue,
    },
    /// `UPDATE t SET v = ... WHERE k = ...`
    Update {
        /// Table name.
        table: String,
        /// Key.
        k: SqlValue,
        /// Value.
        v: SqlValue,
    },
    /// `DELETE FROM t WHERE k = ...`
    Delete {
        /// Table name.
        table: String,
        /// Key.
        k: SqlValue,
    },
    /// `SELECT pg_sleep(seconds)`
    Sleep(SqlValue),
    /// `COPY ... TO STDOUT`
    Copy(RowSource),
    /// `BEGIN [READ ONLY | READ WRITE]`
    Begin {
        /// Whether writes are refused.
        read_only: bool,
    },
    /// `COMMIT`
    Commit,
    /// `ROLLBACK`
    Rollback,
    /// `SET [LOCAL] x = y`
    Set {
        /// Whether the value applies only until the transaction ends.
        local: bool,
        /// Name of the parameter.
        name: String,
        /// New value.
        value: String,
    },
    /// `SHOW x`
    Show {
        /// Name of the parameter.
        name: String,
    },
    /// `DISCARD ALL`
    Discard,
    /// A control or admin function with constant arguments.
    Control {
        /// Name of the function.
        name: String,
        /// Its arguments.
        arguments: Vec<String>,
    },
}

impl SqlStatement {
    /// Tells whether the statement changes rows.
    #[must_use]
    pub const fn is_write(&self) -> bool {
        matches!(
            self,
            Self::Insert { .. } | Self::Update { .. } | Self::Delete { .. }
        )
    }

    /// Returns the command name for completion tags and the journal.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::One | Self::Select(_) | Self::Count { .. } | Self::Sleep(_) => "SELECT",
            Self::Control { .. } => "SELECT",
            Self::Insert { .. } => "INSERT",
            Self::Update { .. } => "UPDATE",
            Self::Delete { .. } => "DELETE",
            Self::Copy(_) => "COPY",
            Self::Begin { .. } => "BEGIN",
            Self::Commit => "COMMIT",
            Self::Rollback => "ROLLBACK",
            Self::Set { .. } => "SET",
            Self::Show { .. } => "SHOW",
            Self::Discard => "DISCARD ALL",
        }
    }

    /// Returns the columns of the result; empty if the statement returns no rows.
    #[must_use]
    pub fn columns(&self) -> Vec<RowColumn> {
        let column = |name: &str, kind: ColumnKind| RowColumn {
            name: name.to_owned(),
            kind,
        };
        match self {
            Self::One => vec![column("?column?", ColumnKind::Int4)],
            Self::Select(RowSource::Value { .. }) => vec![column("v", ColumnKind::Text)],
            Self::Select(RowSource::Table { .. }) => {
                vec![column("k", ColumnKind::Text), column("v", ColumnKind::Text)]
            }
            Self::Select(RowSource::Series { .. }) => vec![column("n", ColumnKind::Int4)],
            Self::Count { .. } => vec![column("count", ColumnKind::Int8)],
            Self::Sleep(_) => vec![column("pg_sleep", ColumnKind::Void)],
            Self::Show { name } => vec![column(name, ColumnKind::Text)],
            Self::Control { name, .. } => vec![column(name, ColumnKind::Text)],
            _ => vec![],
        }
    }

    /// Tells for each parameter, from `$1` on, whether it is a number rather than text.
    #[must_use]
    pub fn numeric_parameters(&self) -> Vec<bool> {
        let (values, numeric): (Vec<&SqlValue>, bool) = match self {
            Self::Select(source) | Self::Copy(source) => match source {
                RowSource::Value { k, .. } => (vec![k], false),
                RowSource::Series { last } => (vec![last], true),
                RowSource::Table { .. } => (vec![], false),
            },
            Self::Insert { k, v, .. } | Self::Update { k, v, .. } => (vec![k, v], false),
            Self::Delete { k, .. } => (vec![k], false),
            Self::Sleep(seconds) => (vec![seconds], true),
            _ => (vec![], false),
        };
        let count = values
            .iter()
            .map(|value| match value {
                SqlValue::Parameter(number) => *number,
                SqlValue::Constant(_) => 0,
            })
            .max()
            .unwrap_or_default();
        vec![numeric; count.min(2)]
    }

    /// Replaces the parameters `$n` by values.
    ///
    /// # Errors
    ///
    /// Fails with 08P01 if a value is missing.
    pub fn bind(&self, values: &[String]) -> Result<Self, db_error::DbError> {
        let bind = |value: &SqlValue| match value {
            SqlValue::Constant(_) => Ok(value.clone()),
            SqlValue::Parameter(number) => number
                .checked_sub(1)
                .and_then(|index| values.get(index))
                .map(|text| SqlValue::Constant(text.clone()))
                .ok_or_else(|| {
                    db_error::DbError::new("08P01", format!("no value for parameter ${number}"))
                }),
        };
        let bind_source = |source: &RowSource| {
            Ok::<_, db_error::DbError>(match source {
                RowSource::Value { table, k } => RowSource::Value {
                    table: table.clone(),
                    k: bind(k)?,
                },
                RowSource::Series { last } => RowSource::Series { last: bind(last)? },
                RowSource::Table { .. } => source.clone(),
            })
        };
        Ok(match self {
            Self::Select(source) => Self::Select(bind_source(source)?),
            Self::Copy(source) => Self::Copy(bind_source(source)?),
            Self::Insert { table, k, v } => Self::Insert {
                table: table.clone(),
                k: bind(k)?,
                v: bind(v)?,
            },
            Self::Update { table, k, v } => Self::Update {
                table: table.clone(),
                k: bind(k)?,
                v: bind(v)?,
            },
            Self::Delete { table, k } => Self::Delete {
                table: table.clone(),
                k: bind(k)?,
            },
            Self::Sleep(seconds) => Self::Sleep(bind(seconds)?),
            other => other.clone(),
        })
    }
}

/// Parses one statement without its leading comment. Returns `None` for an empty statement.
///
/// # Errors
///
/// Fails with 42601 for any other statement than those of [`SqlStatement`].
pub fn parse(sql: &str) -> Result<Option<SqlStatement>, db_error::DbError> {
    let mut tokens = scanner::scan(sql)?;
    while tokens.last() == Some(&scanner::SqlToken::Mark(';')) {
        tokens.pop();
    }
    if tokens.is_empty() {
        return Ok(None);
    }
    let unknown = || db_error::DbError::syntax(format!("statement is not supported: {sql}"));
    let words: Vec<String> = tokens.iter().map(word_of).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let value = |index: usize| match tokens.get(index) {
        Some(scanner::SqlToken::Text(text) | scanner::SqlToken::Number(text)) => {
            Ok(SqlValue::Constant(text.clone()))
        }
        Some(scanner::SqlToken::Parameter(number)) => Ok(SqlValue::Parameter(*number)),
        _ => Err(unknown()),
    };
    let owned = |text: &str| text.to_owned();
    Ok(Some(match words.as_slice() {
        ["select", "1"] => SqlStatement::One,
        ["select", "v", "from", table, "where", "k", "=", _] => {
            SqlStatement::Select(RowSource::Value {
                table: owned(table),
                k: value(7)?,
            })
        }
        ["select", "k", ",", "v", "from", table] => SqlStatement::Select(RowSource::Table {
            table: owned(table),
        }),
        ["select", "count", "(", "*", ")", "from", table] => SqlStatement::Count {
            table: owned(table),
        },
        ["select", "pg_sleep", "(", _, ")"] => SqlStatement::Sleep(value(3)?),
        [
            "select",
            "n",
            "from",
            "generate_series",
            "(",
            "1",
            ",",
            _,
            ")",
        ] => SqlStatement::Select(RowSource::Series { last: value(7)? }),
        ["select", name, "(", .., ")"] if is_control(name) => SqlStatement::Control {
            name: owned(name),
            arguments: arguments(tokens.get(3..tokens.len() - 1).unwrap_or_default())
                .ok_or_else(unknown)?,
        },
        [
            "insert",
            "into",
            table,
            "(",
            "k",
            ",",
            "v",
            ")",
            "values",
            "(",
            _,
            ",",
            _,
            ")",
        ] => SqlStatement::Insert {
            table: owned(table),
            k: value(10)?,
            v: value(12)?,
        },
        ["update", table, "set", "v", "=", _, "where", "k", "=", _] => SqlStatement::Update {
            table: owned(table),
            k: value(9)?,
            v: value(5)?,
        },
        ["delete", "from", table, "where", "k", "=", _] => SqlStatement::Delete {
            table: owned(table),
            k: value(6)?,
        },
        ["copy", table, "to", "stdout"] => SqlStatement::Copy(RowSource::Table {
            table: owned(table),
        }),
        [
            "copy",
            "(",
            "select",
            "n",
            "from",
            "generate_series",
            "(",
            "1",
            ",",
            _,
            ")",
            ")",
            "to",
            "stdout",
        ] => SqlStatement::Copy(RowSource::Series { last: value(9)? }),
        ["begin" | "start", rest @ ..] => {
            let read_only = match rest {
                [] | ["transaction"] | ["read", "write"] | ["transaction", "read", "write"] => {
                    false
                }
                ["read", "only"] | ["transaction", "read", "only"] => true,
                _ => return Err(unknown()),
            };
            SqlStatement::Begin { read_only }
        }
        ["commit" | "end"] => SqlStatement::Commit,
        ["rollback" | "abort"] => SqlStatement::Rollback,
        ["set", "local", name, "=" | "to", rest @ ..] if !rest.is_empty() => SqlStatement::Set {
            local: true,
            name: owned(name),
            value: rest.concat(),
        },
        ["set", name, "=" | "to", rest @ ..] if !rest.is_empty() => SqlStatement::Set {
            local: false,
            name: owned(name),
            value: rest.concat(),
        },
        ["show", name] => SqlStatement::Show { name: owned(name) },
        ["discard", "all"] => SqlStatement::Discard,
        _ => return Err(unknown()),
    }))
}

fn word_of(token: &scanner::SqlToken) -> String {
    match token {
        scanner::SqlToken::Word(text)
        | scanner::SqlToken::Text(text)
        | scanner::SqlToken::Number(text) => text.clone(),
        scanner::SqlToken::Parameter(number) => format!("${number}"),
        scanner::SqlToken::Mark(mark) => mark.to_string(),
    }
}

fn is_control(name: &str) -> bool {
    name.starts_with("group_") || name == "admin_set"
}

fn arguments(tokens: &[scanner::SqlToken]) -> Option<Vec<String>> {
    tokens
        .iter()
        .enumerate()
        .filter_map(|(index, token)| match (index % 2, token) {
            (0, scanner::SqlToken::Text(text) | scanner::SqlToken::Number(text)) => {
                Some(Some(text.clone()))
            }
            (1, scanner::SqlToken::Mark(',')) => None,
            _ => Some(None),
        })
        .collect()
}
