//! Tests of the classification of SQL statements.

use persimmontack::link::work_request::WorkAccess;
use persimmontack::sql::{class_cache, classify, parameters, statement_class};

fn part(sql: &str) -> statement_class::StatementPart {
    let class = classify::classify(sql);
    assert_eq!(class.parts.len(), 1, "{sql}");
    class.parts.into_iter().next().expect("one part")
}

/// Guards against unnecessary load on the primary by reads that are classified as writes.
#[test]
fn proved_reads_are_reads() {
    for sql in [
        "SELECT 1",
        "/* id=7 */ SELECT v FROM t WHERE k = $1",
        "SELECT k, v FROM t",
        "SELECT count(*), sum(n), min(n), max(n) FROM t",
        "SELECT now()",
        "SELECT pg_sleep(0.005)",
        "SELECT n FROM generate_series(1, 100) AS n",
        "SELECT n FROM generate_series(1, 100)",
        "COPY t TO STDOUT",
        "COPY (SELECT n FROM generate_series(1, 10)) TO STDOUT",
        "SELECT 1 UNION SELECT 2",
        "WITH x AS (SELECT 1) SELECT * FROM x",
        "EXPLAIN DELETE FROM t",
        "BEGIN READ ONLY",
        "SHOW search_path",
    ] {
        assert_eq!(part(sql).access, WorkAccess::Read, "{sql}");
    }
}

/// Guards against writes that are classified as reads and so reach a replica or are retried.
#[test]
fn everything_else_is_a_write() {
    for sql in [
        "INSERT INTO t (k, v) VALUES ('a', 'b')",
        "UPDATE t SET v = 'b' WHERE k = 'a'",
        "DELETE FROM t WHERE k = 'a'",
        "SELECT * FROM t FOR UPDATE",
        "SELECT * FROM (SELECT * FROM t FOR SHARE) AS x",
        "SELECT * INTO u FROM t",
        "SELECT nextval('s')",
        "SELECT unknown_function(1)",
        "SELECT count(my_function(k)) FROM t",
        "SELECT * FROM my_function(1)",
        "SELECT 1 WHERE EXISTS (SELECT my_function(1))",
        "SELECT 1 ORDER BY my_function(1)",
        "SELECT my_schema.count(1)",
        "WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x",
        "COPY (DELETE FROM t RETURNING k) TO STDOUT",
        "EXPLAIN ANALYZE DELETE FROM t",
        "CREATE TABLE t (k text)",
        "TRUNCATE t",
        "BEGIN",
        "BEGIN READ WRITE",
        "CALL p()",
        "DO $$ BEGIN END $$",
        "this is no statement",
        "'",
    ] {
        assert_eq!(part(sql).access, WorkAccess::Write, "{sql}");
    }
}

/// Guards against a write that is missed because another statement of the same text is a read.
#[test]
fn a_text_is_a_write_if_any_part_is() {
    assert_eq!(
        classify::classify("SELECT 1; DELETE FROM t").access(),
        WorkAccess::Write
    );
    assert_eq!(
        classify::classify("SELECT 1; SELECT 2").access(),
        WorkAccess::Read
    );
}

/// Guards against session state that leaks to the next client that uses the upstream connection.
#[test]
fn session_state_is_refused() {
    for sql in [
        "LISTEN c",
        "UNLISTEN c",
        "COPY t FROM STDIN",
        "COPY t FROM '/file'",
        "CREATE TEMP TABLE x (k text)",
        "CREATE TEMPORARY TABLE x AS SELECT 1",
        "SELECT * INTO TEMP x FROM t",
        "SELECT pg_advisory_lock(1)",
        "SELECT pg_try_advisory_lock(1)",
        "SELECT set_config('a.b', 'c', false)",
        "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
        "PREPARE p AS SELECT 1",
        "EXECUTE p",
        "DEALLOCATE p",
        "DISCARD ALL",
        "SET search_path = x",
        "SET SESSION work_mem = '1MB'",
        "RESET ALL",
        "COMMIT AND CHAIN",
    ] {
        let kind = part(sql).kind;
        assert!(
            matches!(kind, statement_class::StatementKind::Refused(_)),
            "{sql}: {kind:?}"
        );
    }
    let lock = part("SELECT pg_advisory_xact_lock(1)");
    assert_eq!(lock.kind, statement_class::StatementKind::Forward);
}

/// Guards against a SET LOCAL that has no effect, or takes effect beyond its transaction.
#[test]
fn set_local_needs_a_transaction() {
    let kind = part("SET LOCAL work_mem = '1MB'").kind;
    assert!(matches!(
        kind,
        statement_class::StatementKind::TransactionOnly(_)
    ));
}

/// Guards against parameters that the entry handles being sent to an upstream.
#[test]
fn own_parameters_are_local() {
    let set = |name: &str, value: Option<&str>| {
        let local = statement_class::LocalStatement::Set(name.into(), value.map(str::to_owned));
        statement_class::StatementKind::Local(local)
    };
    for (sql, expected) in [
        (
            "SET persimmontack.position = '3/17'",
            set(parameters::POSITION, Some("3/17")),
        ),
        (
            "SET persimmontack.max_age TO '2s'",
            set(parameters::MAX_AGE, Some("2s")),
        ),
        (
            "SET persimmontack.long = on",
            set(parameters::LONG, Some("on")),
        ),
        (
            "SET application_name = 'x'",
            set("application_name", Some("x")),
        ),
        (
            "SET client_encoding TO DEFAULT",
            set("client_encoding", None),
        ),
        ("SET TIME ZONE 'UTC'", set("timezone", Some("UTC"))),
    ] {
        assert_eq!(part(sql).kind, expected, "{sql}");
    }
    let show = part("SHOW persimmontack.position").kind;
    assert_eq!(
        show,
        statement_class::StatementKind::Local(statement_class::LocalStatement::Show(
            parameters::POSITION.into()
        ))
    );
}

/// Guards against fingerprints that depend on constants, with which a pool would learn a run time
/// for each constant, and against different statements that share a fingerprint.
#[test]
fn fingerprints_ignore_constants_only() {
    let of = |sql| classify::classify(sql).fingerprint;
    assert_eq!(
        of("SELECT v FROM t WHERE k = 'a'"),
        of("select v  from t where k = 'b' -- x")
    );
    assert_ne!(of("SELECT v FROM t"), of("SELECT k FROM t"));
}

/// Guards against panics on any input, and against a cache that returns the class of another text.
#[test]
fn any_text_is_classified() {
    let cache = class_cache::ClassCache::default();
    let words = [
        "SELECT", "(", ")", "'", "\"", "$$", ";", "FROM", "t", "INSERT", "INTO", "--", "/*",
        "\u{0}", "é", "SET", "=", "COPY", "1", ",", "BEGIN", "EXPLAIN", "*",
    ];
    arbtest::arbtest(|u| {
        let mut sql = String::new();
        for _ in 0..u.int_in_range(0..=24)? {
            sql.push_str(u.choose(&words)?);
            sql.push(' ');
        }
        assert_eq!(*cache.classify(&sql), classify::classify(&sql), "{sql}");
        assert_eq!(*cache.classify(&sql), classify::classify(&sql), "{sql}");
        Ok(())
    });
}
