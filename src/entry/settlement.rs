//! Waits until it is settled whether what a primary committed is kept.

use std::sync;
use std::time;

use crate::decide::commit_outcome;
use crate::entry::{observer, route, session, unit};
use crate::model::{ids, log_position};

/// Longest wait without a look at the states of a group whose commit is to be confirmed.
const CONFIRM_CHECK: time::Duration = time::Duration::from_millis(100);

impl session::CallerSession {
    /// Waits until the commit at `position` is settled, or the time for it is up.
    pub(super) async fn wait_for_confirmation(
        &mut self,
        committer: &str,
        position: log_position::LogPosition,
    ) -> Result<commit_outcome::CommitOutcome, unit::CallerGone> {
        let board = sync::Arc::clone(&self.board);
        let mut changes = board.subscribe();
        let deadline = self.context.now() + self.context.settings.limits.confirm_deadline;
        loop {
            changes.mark_unchanged();
            let views = board.views();
            let states = views.iter().filter_map(|view| view.state.as_ref());
            let outcome = commit_outcome::resolve_commit(committer, position, states);
            let left = deadline.saturating_sub(self.context.now());
            if outcome != commit_outcome::CommitOutcome::Pending || left.is_zero() {
                return Ok(outcome);
            }
            tokio::select! {
                _changed = changes.changed() => {}
                () = tokio::time::sleep(left.min(CONFIRM_CHECK)) => {}
                () = self.reader.gone() => return Err(unit::CallerGone),
            }
        }
    }

    /// Tells whether the primary of `term` was not replaced when it answered, and if the answer was a
    /// unique violation (`conflict`), whether the row that it met is kept. Callers take a violation
    /// for proof that an earlier transaction took effect, so a failover must not drop that row.
    pub(super) async fn is_proved(
        &mut self,
        upstream: &str,
        term: ids::TermNumber,
        conflict: bool,
    ) -> Result<bool, unit::CallerGone> {
        let deadline = self.context.now() + self.context.settings.limits.confirm_deadline;
        let board = sync::Arc::clone(&self.board);
        loop {
            // Begins after the answer, so the position covers the row.
            let confirmed = tokio::select! {
                confirmed = observer::GroupObserver::confirm(&self.context, &board) => confirmed,
                () = self.reader.gone() => return Err(unit::CallerGone),
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
