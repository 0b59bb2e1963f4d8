//! Waits until commits are durable, that is, survive a failover, and checks that an answer came
//! from a primary that had not been replaced.

use std::sync;
use std::time;

use crate::decide::commit_outcome;
use crate::entry::{observer, route, session, unit};
use crate::model::{ids, log_position};

/// Longest wait for a change of the upstream states before a commit's confirmation is checked
/// again.
const CONFIRM_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(100);

impl session::ClientSession {
    /// Waits until the commit at `position` is known to be durable or dropped. Returns `Pending`
    /// if that is still unknown after the confirmation deadline.
    pub(super) async fn wait_for_confirmation(
        &mut self,
        committer: &str,
        position: log_position::LogPosition,
    ) -> Result<commit_outcome::CommitOutcome, unit::ClientGone> {
        let tracker = sync::Arc::clone(&self.tracker);
        let mut changes = tracker.subscribe();
        let deadline = self.context.now() + self.context.settings.limits.confirm_deadline;
        loop {
            changes.mark_unchanged();
            let views = tracker.views();
            let states = views.iter().filter_map(|view| view.state.as_ref());
            let outcome = commit_outcome::resolve_commit(committer, position, states);
            let remaining = deadline.saturating_sub(self.context.now());
            if outcome != commit_outcome::CommitOutcome::Pending || remaining.is_zero() {
                return Ok(outcome);
            }
            tokio::select! {
                _changed = changes.changed() => {}
                () = tokio::time::sleep(remaining.min(CONFIRM_CHECK_INTERVAL)) => {}
                () = self.reader.disconnected() => return Err(unit::ClientGone),
            }
        }
    }

    /// Returns whether the primary of `term` had not been replaced when it answered. For a unique
    /// violation (`conflict`), also requires that the conflicting row is durable: clients
    /// take the violation as proof that an earlier transaction took effect, so a failover must not
    /// drop that row.
    pub(super) async fn confirm_primary(
        &mut self,
        upstream: &str,
        term: ids::TermNumber,
        conflict: bool,
    ) -> Result<bool, unit::ClientGone> {
        let deadline = self.context.now() + self.context.settings.limits.confirm_deadline;
        let tracker = sync::Arc::clone(&self.tracker);
        loop {
            // The observation starts after the answer, so its position covers the row.
            let confirmed = tokio::select! {
                confirmed = observer::GroupObserver::confirm(&self.context, &tracker) => confirmed,
                () = self.reader.disconnected() => return Err(unit::ClientGone),
            };
            if let Some(position) = confirmed {
                return Ok(position.term == term
                    && (!conflict
                        || matches!(
                            self.wait_for_confirmation(upstream, position).await?,
                            commit_outcome::CommitOutcome::Durable(_)
                        )));
            }
            if self.context.now() >= deadline {
                return Ok(false);
            }
            tokio::time::sleep(route::OBSERVE_PAUSE).await;
        }
    }
}
