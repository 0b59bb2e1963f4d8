//! Classifies a statement's text. A statement counts as a write unless it is known to be a read.

use std::collections;
use std::ops;

use sqlparser::ast;
use sqlparser::dialect;
use sqlparser::parser;
use sqlparser::tokenizer;
use xxhash_rust::xxh3;

use crate::link::work_request;
use crate::model::ids;
use crate::sql::{parameters, read_functions, statement_class};

/// Maximum length of a text that is parsed. The parser's time and recursion depth grow with the
/// text, so a longer one counts as a write without being parsed.
const MAX_PARSED_BYTES: usize = 256 * 1024;

const ADVISORY_LOCKS: &str = "session advisory locks";

/// Classifies a text of one or more statements.
#[must_use]
pub fn classify(sql: &str) -> statement_class::StatementClass {
    let dialect = dialect::PostgreSqlDialect {};
    let tokens = (sql.len() <= MAX_PARSED_BYTES)
        .then(|| tokenizer::Tokenizer::new(&dialect, sql).tokenize().ok())
        .flatten();
    let Some(tokens) = tokens else {
        return classify_unparsed(sql, hash_text(sql));
    };
    let fingerprint = hash_tokens(&tokens);
    if let Some(feature) = find_refused_words(&tokens) {
        return single_part(refused_part(feature), fingerprint);
    }
    let statements = parser::Parser::new(&dialect)
        .with_tokens(tokens)
        .parse_statements();
    match statements {
        Ok(statements) if statements.is_empty() => single_part(
            read_part(statement_class::StatementKind::Empty),
            fingerprint,
        ),
        Ok(statements) => statement_class::StatementClass {
            parts: statements.iter().map(classify_statement).collect(),
            tables: collect_tables(&statements),
            fingerprint,
        },
        Err(_unparsed) => classify_unparsed(sql, fingerprint),
    }
}

/// Returns the class of a text that cannot be parsed, by its first word. The text may contain
/// several statements, and any of them may commit.
fn classify_unparsed(
    sql: &str,
    fingerprint: ids::FingerprintId,
) -> statement_class::StatementClass {
    let word = sql
        .trim_start()
        .split(|c: char| !c.is_ascii_alphabetic())
        .next()
        .unwrap_or_default()
        .to_ascii_lowercase();
    let part = match word.as_str() {
        "set" | "reset" => statement_class::StatementPart {
            may_commit: true,
            ..write_part(statement_class::StatementKind::TransactionOnly(
                "SET of this parameter outside a transaction",
            ))
        },
        "listen" | "unlisten" => refused_part("LISTEN"),
        "prepare" => refused_part("PREPARE"),
        "execute" => refused_part("EXECUTE"),
        "deallocate" => refused_part("DEALLOCATE"),
        "copy" => refused_part("this form of COPY"),
        _ => statement_class::StatementPart {
            may_commit: true,
            ..write_part(statement_class::StatementKind::Forward)
        },
    };
    single_part(part, fingerprint)
}

fn single_part(
    part: statement_class::StatementPart,
    fingerprint: ids::FingerprintId,
) -> statement_class::StatementClass {
    statement_class::StatementClass {
        parts: vec![part],
        tables: Vec::new(),
        fingerprint,
    }
}

const fn read_part(kind: statement_class::StatementKind) -> statement_class::StatementPart {
    statement_class::StatementPart {
        kind,
        access: work_request::WorkAccess::Read,
        may_commit: false,
    }
}

const fn write_part(kind: statement_class::StatementKind) -> statement_class::StatementPart {
    statement_class::StatementPart {
        kind,
        access: work_request::WorkAccess::Write,
        may_commit: false,
    }
}

const fn refused_part(feature: &'static str) -> statement_class::StatementPart {
    write_part(statement_class::StatementKind::Refused(feature))
}

/// Finds unsupported features that set session state, by their tokens, so that they are also found
/// in texts that cannot be parsed.
fn find_refused_words(tokens: &[tokenizer::Token]) -> Option<&'static str> {
    let words: Vec<String> = tokens
        .iter()
        .filter_map(|token| match token {
            tokenizer::Token::Word(word) => Some(word.value.to_ascii_lowercase()),
            _ => None,
        })
        .collect();
    let has = |wanted: &str| words.iter().any(|word| word == wanted);
    let advisory = |word: &String| {
        (word.starts_with("pg_advisory_") || word.starts_with("pg_try_advisory_"))
            && !word.contains("_xact_")
    };
    if words.iter().any(advisory) {
        return Some(ADVISORY_LOCKS);
    }
    if has("set_config") {
        return Some("set_config");
    }
    let adjacent = |left: &str, right: &str| {
        words
            .windows(2)
            .any(|pair| matches!(pair, [a, b] if a == left && b == right))
    };
    if adjacent("with", "hold") {
        return Some("WITH HOLD cursors");
    }
    let temporary = ["temp", "temporary"].iter().any(|word| {
        ["create", "local", "global", "replace", "into"]
            .iter()
            .any(|before| adjacent(before, word))
    });
    (temporary || has("pg_temp")).then_some("temporary objects")
}

fn classify_statement(statement: &ast::Statement) -> statement_class::StatementPart {
    use statement_class::StatementKind as Kind;
    match statement {
        ast::Statement::Query(query) if is_read_query(query) && calls_only_reads(statement) => {
            read_part(Kind::Forward)
        }
        ast::Statement::Copy {
            source,
            to: true,
            target: ast::CopyTarget::Stdout,
            ..
        } => {
            let reads = match source {
                ast::CopySource::Table { .. } => true,
                ast::CopySource::Query(query) => {
                    is_read_query(query) && calls_only_reads(statement)
                }
            };
            if reads {
                read_part(Kind::Forward)
            } else {
                write_part(Kind::Forward)
            }
        }
        ast::Statement::Copy { .. } => refused_part("COPY other than TO STDOUT"),
        ast::Statement::Explain {
            statement: explained,
            analyze,
            options,
            ..
        } => {
            let inner = classify_statement(explained);
            if (*analyze || options.is_some()) && inner.access == work_request::WorkAccess::Write {
                write_part(Kind::Forward)
            } else {
                read_part(Kind::Forward)
            }
        }
        ast::Statement::StartTransaction {
            modes, statements, ..
        } if statements.is_empty() => {
            let read_only = modes.contains(&ast::TransactionMode::AccessMode(
                ast::TransactionAccessMode::ReadOnly,
            ));
            if read_only {
                read_part(Kind::Begin)
            } else {
                write_part(Kind::Begin)
            }
        }
        ast::Statement::Commit { chain: true, .. }
        | ast::Statement::Rollback { chain: true, .. } => refused_part("AND CHAIN"),
        ast::Statement::Rollback {
            savepoint: Some(_), ..
        }
        | ast::Statement::Savepoint { .. }
        | ast::Statement::ReleaseSavepoint { .. } => read_part(Kind::Forward),
        ast::Statement::Commit { .. } | ast::Statement::Rollback { .. } => {
            statement_class::StatementPart {
                may_commit: true,
                ..read_part(Kind::End)
            }
        }
        ast::Statement::Set(set) => classify_set(set),
        ast::Statement::ShowVariable { variable } => {
            let name = join_name(variable.iter().map(|ident| ident.value.as_str()));
            if parameters::is_handled(&name) {
                read_part(Kind::Local(statement_class::LocalStatement::Show(name)))
            } else {
                read_part(Kind::Forward)
            }
        }
        ast::Statement::Reset(reset) => match &reset.reset {
            ast::Reset::ConfigurationParameter(name) => {
                let name = object_name(name);
                if parameters::is_handled(&name) {
                    read_part(Kind::Local(statement_class::LocalStatement::Set(
                        name, None,
                    )))
                } else {
                    refused_part("RESET of this parameter")
                }
            }
            _ => refused_part("RESET ALL"),
        },
        ast::Statement::Insert(_)
        | ast::Statement::Update(_)
        | ast::Statement::Delete(_)
        | ast::Statement::Merge(_)
        | ast::Statement::Query(_) => write_part(Kind::Forward),
        ast::Statement::CreateTable(table) if table.temporary => refused_part("temporary tables"),
        ast::Statement::LISTEN { .. } | ast::Statement::UNLISTEN { .. } => refused_part("LISTEN"),
        ast::Statement::Prepare { .. } => refused_part("PREPARE"),
        ast::Statement::Execute { .. } => refused_part("EXECUTE"),
        ast::Statement::Deallocate { .. } => refused_part("DEALLOCATE"),
        ast::Statement::Discard { .. } => refused_part("DISCARD"),
        ast::Statement::Declare { .. }
        | ast::Statement::Fetch { .. }
        | ast::Statement::Close { .. } => {
            write_part(Kind::TransactionOnly("cursors outside a transaction"))
        }
        _ => statement_class::StatementPart {
            may_commit: true,
            ..write_part(Kind::Forward)
        },
    }
}

fn classify_set(set: &ast::Set) -> statement_class::StatementPart {
    use statement_class::StatementKind as Kind;
    match set {
        ast::Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => {
            let name = object_name(variable);
            let local = matches!(scope, Some(ast::ContextModifier::Local));
            if parameters::is_handled(&name) && (!local || parameters::is_product(&name)) {
                let value = values.iter().map(value_text).collect::<Vec<_>>().join(", ");
                let value = (!value.eq_ignore_ascii_case("default")).then_some(value);
                read_part(Kind::Local(statement_class::LocalStatement::Set(
                    name, value,
                )))
            } else if local {
                read_part(Kind::TransactionOnly("SET LOCAL outside a transaction"))
            } else {
                refused_part("SET of this parameter; SET LOCAL in a transaction is allowed")
            }
        }
        ast::Set::SetTimeZone {
            local: false,
            value,
        } => read_part(Kind::Local(statement_class::LocalStatement::Set(
            "timezone".to_owned(),
            Some(value_text(value)),
        ))),
        ast::Set::SetNames { charset_name, .. } => {
            read_part(Kind::Local(statement_class::LocalStatement::Set(
                "client_encoding".to_owned(),
                Some(charset_name.value.clone()),
            )))
        }
        ast::Set::SetTransaction { session: false, .. } => read_part(Kind::TransactionOnly(
            "SET TRANSACTION outside a transaction",
        )),
        _ => refused_part("this form of SET"),
    }
}

fn value_text(value: &ast::Expr) -> String {
    match value {
        ast::Expr::Value(value) => value
            .value
            .clone()
            .into_string()
            .unwrap_or_else(|| value.to_string()),
        ast::Expr::Identifier(ident) => ident.value.clone(),
        other => other.to_string(),
    }
}

fn object_name(name: &ast::ObjectName) -> String {
    join_name(
        name.0
            .iter()
            .filter_map(|part| part.as_ident().map(|ident| ident.value.as_str())),
    )
}

fn join_name<'a>(parts: impl Iterator<Item = &'a str>) -> String {
    parts.collect::<Vec<_>>().join(".").to_ascii_lowercase()
}

fn is_read_query(query: &ast::Query) -> bool {
    // The visitor also visits nested queries, and each of them has to be a read.
    let mut visitor = WriteFinder::default();
    let _flow = ast::Visit::visit(query, &mut visitor);
    !visitor.found
}

#[derive(Default)]
struct WriteFinder {
    found: bool,
}

impl ast::Visitor for WriteFinder {
    type Break = ();

    fn pre_visit_query(&mut self, query: &ast::Query) -> ops::ControlFlow<()> {
        if !query.locks.is_empty() || query.for_clause.is_some() || !is_read_body(&query.body) {
            self.found = true;
            return ops::ControlFlow::Break(());
        }
        ops::ControlFlow::Continue(())
    }
}

fn is_read_body(body: &ast::SetExpr) -> bool {
    match body {
        ast::SetExpr::Select(select) => select.into.is_none(),
        // The visitor visits a nested query separately.
        ast::SetExpr::Query(_) | ast::SetExpr::Values(_) | ast::SetExpr::Table(_) => true,
        ast::SetExpr::SetOperation { left, right, .. } => is_read_body(left) && is_read_body(right),
        _ => false,
    }
}

/// Returns whether the statement calls only functions that are known to be reads. Operators and
/// casts can run functions too, but the built-in ones change nothing.
fn calls_only_reads(statement: &ast::Statement) -> bool {
    let mut visitor = CallChecker { unknown: false };
    let _flow = ast::Visit::visit(statement, &mut visitor);
    !visitor.unknown
}

struct CallChecker {
    unknown: bool,
}

impl CallChecker {
    fn check(&mut self, name: &ast::ObjectName) -> ops::ControlFlow<()> {
        let name = object_name(name);
        let name = name.strip_prefix("pg_catalog.").unwrap_or(&name);
        if read_functions::is_read(name) {
            return ops::ControlFlow::Continue(());
        }
        self.unknown = true;
        ops::ControlFlow::Break(())
    }
}

impl ast::Visitor for CallChecker {
    type Break = ();

    fn pre_visit_expr(&mut self, expression: &ast::Expr) -> ops::ControlFlow<()> {
        match expression {
            ast::Expr::Function(function) => self.check(&function.name),
            _ => ops::ControlFlow::Continue(()),
        }
    }

    fn pre_visit_table_factor(&mut self, factor: &ast::TableFactor) -> ops::ControlFlow<()> {
        match factor {
            ast::TableFactor::Table {
                name,
                args: Some(_),
                ..
            }
            | ast::TableFactor::Function { name, .. } => self.check(name),
            ast::TableFactor::Table { .. }
            | ast::TableFactor::Derived { .. }
            | ast::TableFactor::NestedJoin { .. }
            | ast::TableFactor::UNNEST { .. }
            | ast::TableFactor::TableFunction { .. } => ops::ControlFlow::Continue(()),
            _ => {
                self.unknown = true;
                ops::ControlFlow::Break(())
            }
        }
    }
}

fn collect_tables(statements: &[ast::Statement]) -> Vec<String> {
    let mut tables = collections::BTreeSet::new();
    for statement in statements {
        if let ast::Statement::Copy {
            source: ast::CopySource::Table { table_name, .. },
            ..
        } = statement
        {
            tables.insert(object_name(table_name));
        }
        let _flow = ast::visit_relations(statement, |name| {
            tables.insert(object_name(name));
            ops::ControlFlow::<()>::Continue(())
        });
    }
    tables.into_iter().collect()
}

fn hash_text(sql: &str) -> ids::FingerprintId {
    xxh3::xxh3_64(sql.as_bytes())
}

/// Hashes the tokens, with every constant replaced by a placeholder and without comments and
/// whitespace.
fn hash_tokens(tokens: &[tokenizer::Token]) -> ids::FingerprintId {
    let mut hasher = xxh3::Xxh3::new();
    for token in tokens {
        match token {
            tokenizer::Token::Whitespace(_) => continue,
            tokenizer::Token::Number(..)
            | tokenizer::Token::SingleQuotedString(_)
            | tokenizer::Token::EscapedStringLiteral(_)
            | tokenizer::Token::DollarQuotedString(_) => hasher.update(b"?"),
            tokenizer::Token::Word(word) => {
                hasher.update(word.value.to_ascii_lowercase().as_bytes());
            }
            other => hasher.update(other.to_string().as_bytes()),
        }
        hasher.update(b" ");
    }
    hasher.digest()
}
