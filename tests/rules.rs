//! The rules grammar: which files are valid, how errors are reported, and which rule applies to a
//! statement.

use std::time;

use arbtest::arbitrary;
use persimmontack::rules::{file_parser, rule_set, scram_verifier};

const BY: &str = "# asked for by: Parish office";

fn verifier() -> scram_verifier::ScramVerifier {
    scram_verifier::ScramVerifier::derive("secret", b"salt and pepper!", 1)
}

fn parse(text: &str) -> rule_set::RuleSet {
    file_parser::parse(text).expect("the rules are valid")
}

/// Returns the errors as `line:column problem`.
fn errors(text: &str) -> Vec<String> {
    file_parser::parse(text)
        .expect_err("the rules are not valid")
        .into_iter()
        .map(|error| format!("{}:{} {}", error.line, error.column, error.problem))
        .collect()
}

/// Asserts that a file has exactly one error, at `place`, whose text contains all `parts`.
#[track_caller]
fn assert_error(text: &str, place: &str, parts: &[&str]) {
    let found = errors(text);
    assert_eq!(found.len(), 1, "{text}: {found:?}");
    assert!(
        found[0].starts_with(&format!("{place} ")),
        "{text}: {found:?}"
    );
    for part in parts {
        assert!(found[0].contains(part), "{text}: {found:?}");
    }
}

/// Guards against a grammar that differs from the one on the design page.
#[test]
fn the_example_of_the_design_page_is_valid() {
    let design = include_str!("../docs/design.md");
    let example = design
        .split("```")
        .find(|block| block.trim_start().starts_with("customer "))
        .expect("the page has an example")
        .replace("SCRAM-SHA-256$…", &verifier().to_string());
    let rules = parse(&example);
    assert_eq!(
        rules.customers[0].priority,
        rule_set::CustomerPriority::High
    );
    assert_eq!(rules.customers[0].reserve, 1);
    assert_eq!(rules.customers[0].requester, "Psalmhand accounts manager");
    assert_eq!(rules.logins[0].verifier, verifier());
    assert_eq!(rules.longs[0].pattern, "COPY % TO");
    assert_eq!(rules.reads[0].max_age, time::Duration::from_secs(2));
    assert_eq!(rules.writes[0].deadline, Some(time::Duration::from_secs(5)));
    assert!(rules.drains_upstream("ledger-2"));
}

/// Guards against the refusal of common layout: blank lines, comments, tabs and CRLF line ends.
#[test]
fn blank_lines_comments_and_tabs_are_allowed() {
    let text = format!(
        "\n# The parish\r\n\t customer\tparish {BY}\r\n   \n#{}",
        "#"
    );
    assert_eq!(parse(&text).customers.len(), 1);
    assert_eq!(parse(""), rule_set::RuleSet::default());
}

/// Guards against errors that do not say where they are, what was found or what was expected.
#[test]
fn each_error_names_its_place_and_what_was_expected() {
    let cases = [
        (
            format!("custmer a {BY}"),
            "1:1",
            ["\"custmer\"", "customer, login"],
        ),
        (
            format!("\n\ncustomer a colour=red {BY}"),
            "3:12",
            ["\"colour\"", "priority= or reserve="],
        ),
        (
            format!("customer a weight=2 weight=3 {BY}"),
            "1:21",
            ["again", "column 12"],
        ),
        (
            format!("customer a weight=two {BY}"),
            "1:19",
            ["\"two\"", "1 to 1000"],
        ),
        (
            format!("customer a weight=+2 {BY}"),
            "1:19",
            ["\"+2\"", "1 to 1000"],
        ),
        (
            format!("customer a weight=99999999999 {BY}"),
            "1:19",
            ["\"99999999999\"", "1 to 1000"],
        ),
        (
            format!("customer a priority=urgent {BY}"),
            "1:21",
            ["\"urgent\"", "high or normal"],
        ),
        (
            format!("customer a:b {BY}"),
            "1:10",
            ["\"a:b\"", "letters, digits"],
        ),
        (
            format!("customer \"a\" {BY}"),
            "1:10",
            ["\"a\"", "without quotes"],
        ),
        (
            format!("customer -a {BY}"),
            "1:10",
            ["\"-a\"", "starting with"],
        ),
        (
            "customer".to_owned() + " a",
            "1:11",
            ["end of the line", "asked for by: NAME"],
        ),
        (
            "customer a # nobody".to_owned(),
            "1:12",
            ["nobody", "asked for by: NAME"],
        ),
        (
            "customer a # asked for by:  ".to_owned(),
            "1:27",
            ["no name", "asked for by: NAME"],
        ),
        (
            format!("customer a reserve=3 {BY}"),
            "1:20",
            ["\"3\"", "0 to 2"],
        ),
        (
            format!("customer a reserve=2 {BY}\ncustomer b reserve=1 {BY}"),
            "2:12",
            ["3 slots", "at most 2"],
        ),
        (
            format!("customer a {BY}\ncustomer a {BY}"),
            "2:10",
            ["second rule", "line 1"],
        ),
        (
            format!("login u customer=a verifier={} {BY}", verifier()),
            "1:18",
            ["\"a\"", "customer rule"],
        ),
        (
            format!("customer a {BY}\nlogin u customer=a verifier=md5abc {BY}"),
            "2:29",
            ["not a verifier", "SCRAM-SHA-256$"],
        ),
        (
            format!("customer a {BY}\nlogin u customer=a {BY}"),
            "2:19",
            ["no more fields", "verifier="],
        ),
        (
            format!("long \"COPY % TO {BY}"),
            "1:6",
            ["not closed", "end of the line"],
        ),
        (
            format!("customer a\r weight=x {BY}"),
            "1:11",
            ["carriage return", "line ends"],
        ),
        (
            format!("long COPY {BY}"),
            "1:6",
            ["\"COPY\"", "double quotes"],
        ),
        (format!("long \"\" {BY}"), "1:6", ["\"\"", "double quotes"]),
        (
            format!("read proofs max-age=2 {BY}"),
            "1:21",
            ["\"2\"", "250ms, 2s or 1m"],
        ),
        (
            format!("read proofs max-age=2h {BY}"),
            "1:21",
            ["\"2h\"", "250ms, 2s or 1m"],
        ),
        (
            format!("read proofs max-age=9999999999999999999m {BY}"),
            "1:21",
            ["9999", "250ms, 2s or 1m"],
        ),
        (
            format!("read proofs {BY}"),
            "1:12",
            ["no more fields", "max-age="],
        ),
        (
            format!("write orders deadline=0s {BY}"),
            "1:23",
            ["\"0s\"", "at least 1ms"],
        ),
        (
            format!("write orders soon {BY}"),
            "1:14",
            ["\"soon\"", "acknowledge= or deadline="],
        ),
        (
            format!("drain {BY}"),
            "1:6",
            ["no more fields", "upstream= or vm="],
        ),
        (
            format!("drain upstream=a vm=b {BY}"),
            "1:22",
            ["no more fields", "not both"],
        ),
        (
            format!("drain vm=a {BY}\ndrain vm=a {BY}"),
            "2:7",
            ["second rule", "line 1"],
        ),
        (
            format!("customer é=1 {BY}"),
            "1:10",
            ["\"é=1\"", "letters, digits"],
        ),
        (format!("read é max-age=x {BY}"), "1:16", ["\"x\"", "250ms"]),
    ];
    for (text, place, parts) in cases {
        assert_error(&text, place, &parts);
    }
}

/// Guards against a parser that stops at the first error, so that operators would have to correct a
/// file one error at a time.
#[test]
fn every_error_of_a_file_is_reported_in_order() {
    let text =
        "customer a weight=0 colour=red\nbogus x # asked for by: me\nread t # asked for by: me\n";
    let places: Vec<_> = errors(text)
        .iter()
        .map(|error| error.split(' ').next().unwrap_or_default().to_owned())
        .collect();
    assert_eq!(places, ["1:19", "1:21", "1:31", "2:1", "3:7"]);
}

/// Guards against misleading errors: an error in a customer rule must not make the customer unknown
/// in its login rules.
#[test]
fn a_customer_rule_with_an_error_still_defines_its_customer() {
    let text = format!(
        "customer a weight=0 {BY}\nlogin u customer=a verifier={} {BY}",
        verifier()
    );
    assert_error(&text, "1:19", &["1 to 1000"]);
}

/// Guards against a read whose data is staler than one of its tables accepts.
#[test]
fn the_strictest_read_rule_of_all_tables_applies() {
    let rules = parse(&format!(
        "read proofs max-age=2s {BY}\nread index max-age=10s {BY}\nread pages max-age=1m {BY}"
    ));
    let age = |database: &str, tables: &[&str]| {
        rules
            .read_rule(database, tables)
            .map(|rule| rule.max_age.as_secs())
    };
    assert_eq!(age("other", &["proofs"]), Some(2));
    assert_eq!(age("other", &["public.Proofs"]), Some(2));
    assert_eq!(age("other", &["archive.proofs"]), None);
    assert_eq!(age("other", &["proofs", "unknown"]), None);
    assert_eq!(age("other", &["pages", "proofs"]), Some(2));
    assert_eq!(age("index", &["pages"]), Some(60));
    assert_eq!(age("index", &["unknown", "pages"]), Some(10));
    assert_eq!(age("index", &[]), Some(10));
    assert_eq!(age("other", &[]), None);
}

/// Guards against a write that is acknowledged after the commit on the primary alone although one
/// of its tables requires a second copy.
#[test]
fn a_relaxed_write_rule_applies_only_if_all_tables_have_one() {
    let rules = parse(&format!(
        "write notes acknowledge=primary {BY}\nwrite orders deadline=5s {BY}\nwrite proofs deadline=1s {BY}"
    ));
    let target = |tables: &[&str]| {
        rules
            .write_rule("db", tables)
            .map(|rule| rule.target.as_str())
    };
    assert_eq!(target(&["notes"]), Some("notes"));
    assert_eq!(target(&["notes", "unknown"]), None);
    assert_eq!(target(&["notes", "orders"]), Some("orders"));
    assert_eq!(target(&["orders", "proofs"]), Some("proofs"));
    assert_eq!(target(&["unknown", "proofs"]), Some("proofs"));
}

/// Guards against a long statement that is not recognised because of its case, comments or white
/// space, and then occupies the slots of short ones.
#[test]
fn long_rules_ignore_case_comments_and_white_space() {
    let rules = parse(&format!(
        "long \"copy % to\" slots=2 {BY}\nlong \"SELECT \"\"big\"\"\" {BY}"
    ));
    let slots = |statement: &str| rules.long_rule(statement).map(|rule| rule.slots);
    assert_eq!(slots("COPY t TO STDOUT"), Some(2));
    assert_eq!(
        slots("/* id=1 */ -- note\n Copy (SELECT 1)\n\tTO STDOUT"),
        Some(2)
    );
    assert_eq!(slots("COPY t FROM STDIN"), None);
    assert_eq!(slots("EXPLAIN COPY t TO STDOUT"), None);
    assert_eq!(slots("select  \"big\" from t"), Some(1));
    assert_eq!(slots(""), None);
    assert_eq!(slots("/* never closed"), None);
}

/// Guards against a rules file on which the parser panics, which would crash every keeper.
#[test]
fn no_input_panics_and_errors_lie_within_the_file() {
    const PIECES: [&str; 24] = [
        "customer",
        "login",
        "long",
        "read",
        "write",
        "drain",
        " ",
        "\n",
        "\"",
        "#",
        "=",
        "a",
        "é",
        " customer=a",
        " verifier=SCRAM-SHA-256$1:",
        " max-age=",
        " deadline=",
        "2s",
        "9",
        " slots=",
        " # asked for by: x",
        "% ",
        "\t",
        "\u{0}",
    ];
    arbtest::arbtest(|input| {
        let mut text = String::new();
        if input.arbitrary()? {
            text = input.arbitrary()?;
        } else {
            for _ in 0..input.arbitrary_len::<u16>()? {
                text.push_str(input.choose(&PIECES)?);
            }
        }
        match file_parser::parse(&text) {
            Ok(rules) => {
                let _rule = rules.long_rule(&text);
            }
            Err(errors) => {
                assert!(!errors.is_empty());
                for error in errors {
                    let line = text.lines().nth(error.line - 1).expect("the line exists");
                    assert!(
                        (1..=line.chars().count() + 1).contains(&error.column),
                        "{error}"
                    );
                }
            }
        }
        Ok(())
    });
}

fn any_name(input: &mut arbitrary::Unstructured<'_>, prefix: &str) -> arbitrary::Result<String> {
    const LETTERS: [char; 8] = ['a', 'Z', '0', '-', '_', '.', 'ß', '字'];
    let mut name = prefix.to_owned();
    for _ in 0..input.int_in_range(0..=6)? {
        name.push(*input.choose(&LETTERS)?);
    }
    Ok(name)
}

fn any_text(input: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<String> {
    let text: String = input.arbitrary()?;
    let plain: String = text.chars().filter(|c| *c != '\n' && *c != '\r').collect();
    Ok(format!("x{}y", plain.trim()))
}

fn any_rules(input: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<rule_set::RuleSet> {
    let mut rules = rule_set::RuleSet::default();
    for number in 0..input.int_in_range(0..=4)? {
        rules.customers.push(rule_set::CustomerRule {
            customer: any_name(input, &format!("c{number}"))?,
            priority: *input.choose(&[
                rule_set::CustomerPriority::Normal,
                rule_set::CustomerPriority::High,
            ])?,
            reserve: u32::from(number < 2),
            weight: input.int_in_range(1..=1000)?,
            requester: any_text(input)?,
        });
        rules.logins.push(rule_set::LoginRule {
            user: any_name(input, &format!("u{number}"))?,
            customer: rules.customers[0].customer.clone(),
            verifier: scram_verifier::ScramVerifier {
                iterations: input.int_in_range(1..=100_000)?,
                salt: input.bytes(3)?.to_vec(),
                stored_key: input.bytes(32)?.to_vec(),
                server_key: input.bytes(32)?.to_vec(),
            },
            requester: any_text(input)?,
        });
        rules.longs.push(rule_set::LongRule {
            pattern: format!("{number}{}", any_text(input)?),
            slots: input.int_in_range(1..=1000)?,
            requester: any_text(input)?,
        });
        rules.reads.push(rule_set::ReadRule {
            target: any_name(input, &format!("t{number}"))?,
            max_age: time::Duration::from_millis(input.arbitrary::<u32>()?.into()),
            requester: any_text(input)?,
        });
        let deadline = input.int_in_range(0..=100_000)?;
        rules.writes.push(rule_set::WriteRule {
            target: any_name(input, &format!("t{number}"))?,
            acknowledge: *input.choose(&[
                rule_set::AcknowledgeMode::Replicated,
                rule_set::AcknowledgeMode::Primary,
            ])?,
            deadline: (deadline > 0).then(|| time::Duration::from_millis(deadline)),
            requester: any_text(input)?,
        });
        let name = any_name(input, &format!("d{number}"))?;
        rules.drains.push(rule_set::DrainRule {
            target: match input.arbitrary()? {
                true => rule_set::DrainTarget::Upstream(name),
                false => rule_set::DrainTarget::Vm(name),
            },
            requester: any_text(input)?,
        });
    }
    Ok(rules)
}

/// Guards against rules that change when a tool formats and parses them.
#[test]
fn formatted_rules_parse_to_the_same_rules() {
    arbtest::arbtest(|input| {
        let rules = any_rules(input)?;
        let text = rules.to_string();
        assert_eq!(file_parser::parse(&text), Ok(rules), "{text}");
        Ok(())
    });
}

/// Guards against statements or patterns on which the matcher panics, and against a statement that
/// does not match its own text as a pattern.
#[test]
fn the_matcher_accepts_any_pattern_and_statement() {
    arbtest::arbtest(|input| {
        let rule = rule_set::LongRule {
            pattern: input.arbitrary()?,
            slots: 1,
            requester: String::new(),
        };
        let _matches = rule.matches(input.arbitrary()?);
        let text = any_name(input, "SELECT ")?;
        let whole = rule_set::LongRule {
            pattern: text.to_lowercase(),
            ..rule
        };
        assert!(whole.matches(&text), "{text}");
        Ok(())
    });
}
