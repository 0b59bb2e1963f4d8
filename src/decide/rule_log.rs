//! [`RuleLog`]: the rules in force and the log of their changes, which only grows.
//!
//! `docs/design.md`, "Rules", gives the keys under which the store holds changes and snapshots.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::model::ids;

/// Number of changes between two snapshots in the store, and of changes that a node keeps for its
/// peers.
pub const SNAPSHOT_INTERVAL: u64 = 64;
/// Number of revisions in a block. Their keys share all digits except the last two, and so have a
/// common prefix.
pub const BLOCK_REVISIONS: u64 = 100;
/// Prefix of all store keys of the rules.
pub const RULES_PREFIX: &str = "rules/";
/// Prefix of the store keys of the changes.
pub const LOG_PREFIX: &str = "rules/log/";
/// Store key of the snapshot.
pub const SNAPSHOT_KEY: &str = "rules/snapshot";
/// Largest product of line counts for which a minimal difference is computed. Its table takes 16
/// MB.
const MAX_DIFF_CELLS: usize = 4_000_000;

/// A line of a rules file, with its line number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleLine {
    /// Line number, from 1: in the old text if the line is removed, in the new text if it is added.
    pub line: usize,
    /// The line without its line end.
    pub text: String,
}

/// One accepted change of the rules, as `rules/log/<revision>` holds it in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleChange {
    /// Random id chosen by the author. If the answer to the write is lost, reading the key back
    /// shows whether the change was stored.
    pub id: String,
    /// Revision after the change, one above that of the text that it applies to.
    pub revision: ids::RuleRevision,
    /// Who applied the change.
    pub author: String,
    /// When it was applied, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Removed lines, in ascending order.
    pub removed: Vec<RuleLine>,
    /// Added lines, in ascending order.
    pub added: Vec<RuleLine>,
}

/// The complete rules at one revision, as [`SNAPSHOT_KEY`] holds it in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuleSnapshot {
    /// Revision of the text.
    pub revision: ids::RuleRevision,
    /// The rules file; every line ends with a line feed.
    pub text: String,
}

/// The part of the rules that a node lacks, as a peer sends it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RuleUpdate {
    /// The complete rules.
    Snapshot(RuleSnapshot),
    /// The changes above the node's revision, in order.
    Changes(Vec<RuleChange>),
}

/// Why a change does not apply to a text.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("change {revision} does not apply: line {line}: {problem}")]
pub struct ApplyError {
    /// Revision of the change.
    pub revision: ids::RuleRevision,
    /// Line of the text.
    pub line: usize,
    /// What is wrong with the line.
    pub problem: String,
}

/// Returns the store key of a revision.
#[must_use]
pub fn log_key(revision: ids::RuleRevision) -> String {
    format!("{LOG_PREFIX}{revision:012}")
}

/// Returns the prefix of the store keys of the block of [`BLOCK_REVISIONS`] revisions that contains
/// `revision`. It limits a listing or a watch to a bounded part of the log.
#[must_use]
pub fn block_prefix(revision: ids::RuleRevision) -> String {
    format!("{LOG_PREFIX}{:010}", revision / BLOCK_REVISIONS)
}

/// Returns the lines to remove from `old` and the lines to add, so that the result is `new`.
#[must_use]
pub fn diff(old: &str, new: &str) -> (Vec<RuleLine>, Vec<RuleLine>) {
    let old_lines: Vec<&str> = old.lines().collect();
    let new_lines: Vec<&str> = new.lines().collect();
    let head = old_lines
        .iter()
        .zip(&new_lines)
        .take_while(|(left, right)| left == right)
        .count();
    let tail = old_lines
        .iter()
        .skip(head)
        .rev()
        .zip(new_lines.iter().skip(head).rev())
        .take_while(|(left, right)| left == right)
        .count();
    let old_middle = old_lines.get(head..old_lines.len() - tail).unwrap_or(&[]);
    let new_middle = new_lines.get(head..new_lines.len() - tail).unwrap_or(&[]);
    let (old_kept, new_kept) = common_lines(old_middle, new_middle);
    (
        lines_without(old_middle, &old_kept, head),
        lines_without(new_middle, &new_kept, head),
    )
}

fn lines_without(
    lines: &[&str],
    kept: &collections::BTreeSet<usize>,
    head: usize,
) -> Vec<RuleLine> {
    lines
        .iter()
        .enumerate()
        .filter(|(index, _)| !kept.contains(index))
        .map(|(index, text)| RuleLine {
            line: head + index + 1,
            text: (*text).to_owned(),
        })
        .collect()
}

/// Returns the indexes of a longest common subsequence in both texts. Texts that are too large for
/// the table count as completely different, which still gives a correct change.
fn common_lines(
    old: &[&str],
    new: &[&str],
) -> (collections::BTreeSet<usize>, collections::BTreeSet<usize>) {
    let mut old_kept = collections::BTreeSet::new();
    let mut new_kept = collections::BTreeSet::new();
    if old.len().saturating_mul(new.len()) > MAX_DIFF_CELLS {
        return (old_kept, new_kept);
    }
    let width = new.len() + 1;
    let mut table = vec![0_u32; (old.len() + 1) * width];
    for (row, left) in old.iter().enumerate().rev() {
        for (column, right) in new.iter().enumerate().rev() {
            table[row * width + column] = if left == right {
                table[(row + 1) * width + column + 1] + 1
            } else {
                table[(row + 1) * width + column].max(table[row * width + column + 1])
            };
        }
    }
    let (mut row, mut column) = (0, 0);
    while row < old.len() && column < new.len() {
        if old[row] == new[column] {
            old_kept.insert(row);
            new_kept.insert(column);
            row += 1;
            column += 1;
        } else if table[(row + 1) * width + column] >= table[row * width + column + 1] {
            row += 1;
        } else {
            column += 1;
        }
    }
    (old_kept, new_kept)
}

/// Returns the text after `change`.
///
/// # Errors
///
/// Fails if a removed line does not match the text, or an added line does not fit its line number.
pub fn apply(text: &str, change: &RuleChange) -> Result<String, ApplyError> {
    let error = |line: usize, problem: String| ApplyError {
        revision: change.revision,
        line,
        problem,
    };
    let lines: Vec<&str> = text.lines().collect();
    let mut removed = collections::BTreeSet::new();
    for gone in &change.removed {
        let found = gone.line.checked_sub(1).and_then(|index| lines.get(index));
        if found != Some(&gone.text.as_str()) {
            return Err(error(gone.line, format!("expected {:?}", gone.text)));
        }
        removed.insert(gone.line);
    }
    let mut kept = lines
        .iter()
        .enumerate()
        .filter(|(index, _)| !removed.contains(&(index + 1)))
        .map(|(_, line)| *line);
    let mut result: Vec<&str> = Vec::with_capacity(lines.len() + change.added.len());
    for new in &change.added {
        if new.text.contains(['\n', '\r']) {
            return Err(error(new.line, "a line contains a line end".to_owned()));
        }
        while result.len() + 1 < new.line {
            let Some(line) = kept.next() else {
                return Err(error(new.line, "the text is shorter".to_owned()));
            };
            result.push(line);
        }
        if result.len() + 1 != new.line {
            return Err(error(new.line, "lines are out of order".to_owned()));
        }
        result.push(&new.text);
    }
    result.extend(kept);
    Ok(result.iter().flat_map(|line| [*line, "\n"]).collect())
}

/// Outcome of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// Everything newer in the update was applied, and the revision has increased.
    Applied,
    /// The update contains nothing newer.
    NotNewer,
    /// Changes are missing between the revision of the node and a change in the update. The changes
    /// before the gap were applied.
    Gap,
    /// A change does not apply to the text in force. Only a snapshot can bring the node up to date.
    Inapplicable(ApplyError),
}

/// The rules in force on one node. Their revision never decreases.
#[derive(Clone, Debug, Default)]
pub struct RuleLog {
    current: RuleSnapshot,
    recent: collections::VecDeque<RuleChange>,
}

impl RuleLog {
    /// Returns the text in force and its revision.
    #[must_use]
    pub const fn current(&self) -> &RuleSnapshot {
        &self.current
    }

    /// Applies an update from the store or a peer, as far as it is newer.
    pub fn apply_update(&mut self, update: RuleUpdate) -> UpdateOutcome {
        match update {
            RuleUpdate::Snapshot(snapshot) => self.apply_snapshot(snapshot),
            RuleUpdate::Changes(changes) => self.apply_changes(changes),
        }
    }

    fn apply_snapshot(&mut self, snapshot: RuleSnapshot) -> UpdateOutcome {
        if snapshot.revision <= self.current.revision {
            return UpdateOutcome::NotNewer;
        }
        self.current = snapshot;
        // The kept changes do not lead to the text of the snapshot.
        self.recent.clear();
        UpdateOutcome::Applied
    }

    fn apply_changes(&mut self, mut changes: Vec<RuleChange>) -> UpdateOutcome {
        changes.sort_by_key(|change| change.revision);
        let mut outcome = UpdateOutcome::NotNewer;
        for change in changes {
            if change.revision <= self.current.revision {
                continue;
            }
            if change.revision != self.current.revision + 1 {
                return UpdateOutcome::Gap;
            }
            match apply(&self.current.text, &change) {
                Ok(text) => {
                    self.current = RuleSnapshot {
                        revision: change.revision,
                        text,
                    };
                    self.recent.push_back(change);
                    while self.recent.len() as u64 > SNAPSHOT_INTERVAL {
                        self.recent.pop_front();
                    }
                    outcome = UpdateOutcome::Applied;
                }
                Err(error) => return UpdateOutcome::Inapplicable(error),
            }
        }
        outcome
    }

    /// Returns what a node at `revision` lacks, or `None` if it lacks nothing.
    #[must_use]
    pub fn update_for(&self, revision: ids::RuleRevision) -> Option<RuleUpdate> {
        if revision >= self.current.revision {
            return None;
        }
        let first_kept = self.recent.front().map(|change| change.revision);
        if first_kept.is_some_and(|first| first <= revision + 1) {
            let changes = self
                .recent
                .iter()
                .filter(|change| change.revision > revision)
                .cloned()
                .collect();
            return Some(RuleUpdate::Changes(changes));
        }
        Some(RuleUpdate::Snapshot(self.current.clone()))
    }
}
