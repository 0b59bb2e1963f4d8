//! Tests of the log of rule changes: the revision of a node never decreases, and all nodes reach
//! the same text.

use persimmontack::decide::rule_log;

fn change(revision: u64, old: &str, new: &str) -> rule_log::RuleChange {
    let (removed, added) = rule_log::diff(old, new);
    rule_log::RuleChange {
        id: format!("change-{revision}"),
        revision,
        author: "operations".to_owned(),
        at: revision,
        removed,
        added,
    }
}

fn draw_text(u: &mut arbtest::arbitrary::Unstructured<'_>) -> arbtest::arbitrary::Result<String> {
    let count = u.int_in_range(0..=8)?;
    let mut text = String::new();
    for _ in 0..count {
        let line = u.choose(&["drain a", "drain b", "", "# note", "drain a  # x"])?;
        text.push_str(line);
        text.push('\n');
    }
    Ok(text)
}

/// Guards against a diff that loses, repeats or reorders lines when it is applied.
#[test]
fn a_diff_applied_to_the_old_text_gives_the_new_text() {
    arbtest::arbtest(|u| {
        let (old, new) = (draw_text(u)?, draw_text(u)?);
        assert_eq!(rule_log::apply(&old, &change(1, &old, &new)), Ok(new));
        Ok(())
    });
}

/// Guards against a change that is applied to a text that it was not made for.
#[test]
fn a_change_for_another_text_is_rejected() {
    let change = change(1, "a\nb\n", "a\n");
    let error = rule_log::apply("a\nc\n", &change).expect_err("line 2 differs");
    assert_eq!(error.line, 2);
}

/// Guards against nodes that go back to an older revision, skip a change, or still differ after
/// they have exchanged updates in any order, with lost and repeated ones.
#[test]
fn revisions_never_decrease_and_nodes_converge() {
    arbtest::arbtest(|u| {
        let mut texts = vec![String::new()];
        let mut changes = Vec::new();
        for revision in 1..=u.int_in_range(1..=100_u64)? {
            let old = texts.last().cloned().unwrap_or_default();
            let new = if u.ratio(1, 8)? {
                draw_text(u)?
            } else {
                format!("{old}rule {revision}\n")
            };
            changes.push(change(revision, &old, &new));
            texts.push(new);
        }
        let mut nodes = vec![rule_log::RuleLog::default(); 3];
        let exchange = |nodes: &mut Vec<rule_log::RuleLog>, from: usize, to: usize| {
            let before = nodes[to].current().revision;
            if let Some(update) = nodes[from].update_for(before) {
                assert_eq!(
                    nodes[to].apply_update(update),
                    rule_log::UpdateOutcome::Applied
                );
            }
            assert!(
                nodes[to].current().revision >= before,
                "the revision decreased"
            );
            assert!(nodes[to].current().revision >= nodes[from].current().revision);
        };
        for _ in 0..u.int_in_range(0..=60)? {
            let (from, to) = (u.int_in_range(0..=2_usize)?, u.int_in_range(0..=2_usize)?);
            if u.ratio(1, 3)? {
                // The store returns a random range of its log, which may be old.
                let first = u.int_in_range(0..=changes.len())?;
                let last = u.int_in_range(first..=changes.len())?;
                let before = nodes[to].current().revision;
                let outcome = nodes[to]
                    .apply_update(rule_log::RuleUpdate::Changes(changes[first..last].to_vec()));
                assert!(
                    !matches!(outcome, rule_log::UpdateOutcome::Inapplicable(_)),
                    "{outcome:?}"
                );
                assert!(
                    nodes[to].current().revision >= before,
                    "the revision decreased"
                );
            } else if from != to {
                exchange(&mut nodes, from, to);
            }
            for node in &nodes {
                assert_eq!(node.current().text, texts[node.current().revision as usize]);
            }
        }
        nodes[0].apply_update(rule_log::RuleUpdate::Changes(changes.clone()));
        exchange(&mut nodes, 0, 1);
        exchange(&mut nodes, 1, 2);
        for node in &nodes {
            assert_eq!(node.current().revision, changes.len() as u64);
            assert_eq!(Some(&node.current().text), texts.last());
        }
        Ok(())
    });
}

/// Guards against a listing or a watch of a block that misses a revision of the block, or includes
/// revisions of other blocks and so grows with the log.
#[test]
fn a_block_prefix_covers_its_hundred_revisions_and_no_other() {
    for revision in [1, 99, 100, 199, 17_000, 999_999_999_999] {
        let prefix = rule_log::block_prefix(revision);
        let first = revision - revision % rule_log::BLOCK_REVISIONS;
        let last = first + rule_log::BLOCK_REVISIONS - 1;
        for inside in [first, revision, last] {
            assert!(rule_log::log_key(inside).starts_with(&prefix), "{inside}");
        }
        assert!(!rule_log::log_key(last + 1).starts_with(&prefix));
        if let Some(before) = first.checked_sub(1) {
            assert!(!rule_log::log_key(before).starts_with(&prefix));
        }
    }
}
