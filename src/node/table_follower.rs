//! Replicates the node's tables from the store or from other VMs.

use std::rc;
use std::time;

use tokio::time::Instant;

use crate::node::rate_limits::{limit_task, place_check};
use crate::node::tables::{table_origin, table_source, table_updates};
use crate::node::{edge, era_revision, limits, node_log, node_tables, watch_schedule};

/// Keeps the tables up to date with the store as long as the node runs.
pub async fn follow_store<E: edge::NodeEdge>(tables: rc::Rc<node_tables::NodeTables<E>>) {
    tokio::task::spawn_local(limit_task::run(rc::Rc::clone(&tables)));
    tokio::task::spawn_local(place_check::run(rc::Rc::clone(&tables)));
    let mut follower = TableFollower {
        source: table_source::TableSource::new(rc::Rc::clone(&tables)),
        updates: table_updates::TableUpdates::new(rc::Rc::clone(&tables)),
        tables,
        last_answer: None,
        store_asked: None,
        is_late: false,
    };
    loop {
        let began_at = follower.tables.edge.boot_time();
        match follower.tables.edge.read_all().await {
            Ok(all) => {
                follower.record_origin(table_origin::TableOrigin::default());
                follower.record_store_answer(all.changes.len());
                follower.check_restore(all.revision);
                follower.updates.replace(&all, began_at);
                node_log::info(
                    "list_read",
                    &[("upstreams", &follower.tables.pools().len())],
                );
                follower.record_revision(all.revision, began_at);
                follower.watch_from(all.revision).await;
            }
            Err(error) => {
                follower.record_store_error(&error);
                follower.pause().await;
            }
        }
    }
}

struct TableFollower<E: edge::NodeEdge> {
    tables: rc::Rc<node_tables::NodeTables<E>>,
    source: table_source::TableSource<E>,
    updates: table_updates::TableUpdates<E>,
    /// When the store last answered a watch or a listing.
    last_answer: Option<Instant>,
    /// When the last call to the store failed, if none has succeeded since.
    store_asked: Option<Instant>,
    /// Whether the tables were last reported to be older than a configuration may be.
    is_late: bool,
}

/// What to do after a follower was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowOutcome {
    /// Go on with the next question.
    Continue,
    /// Ask the store itself.
    AskStore,
    /// Read everything from the store, which was restored from a copy.
    ReadAll,
}

impl<E: edge::NodeEdge> TableFollower<E> {
    /// Applies changes until the store no longer has the history since the last revision.
    async fn watch_from(&mut self, mut revision: edge::RevisionNumber) {
        let tables = rc::Rc::clone(&self.tables);
        let mut times = self.waiting_times();
        loop {
            self.report_age();
            // What a question is for, only the store itself can answer.
            if !times.wait.is_zero() {
                match self.choose_source() {
                    table_source::SourceChoice::Store => {}
                    table_source::SourceChoice::Follower(follower) => {
                        match self.follow(&follower, &mut revision).await {
                            FollowOutcome::Continue => {}
                            FollowOutcome::AskStore => times = self.schedule().question(),
                            FollowOutcome::ReadAll => return,
                        }
                        continue;
                    }
                    table_source::SourceChoice::StoreFrom(from) => {
                        tokio::select! {
                            () = tokio::time::sleep_until(from) => {}
                            () = self.await_refresh() => {}
                        }
                        times = self.schedule().question();
                    }
                }
            }
            let began_at = tables.edge.boot_time();
            let sent_at = Instant::now();
            let watch = tables.edge.watch(revision, times);
            // A waiting watch may hang on a dead connection, so a refresh starts a new one.
            let result = tokio::select! {
                result = watch => result,
                () = tables.refresh.notified(), if !times.wait.is_zero() => {
                    node_log::debug(
                        "watch_restarted",
                        &[("waited_ms", &sent_at.elapsed().as_millis())],
                    );
                    times = self.schedule().question();
                    continue;
                }
            };
            match result {
                Ok(changes) => {
                    self.record_origin(table_origin::TableOrigin::default());
                    self.record_store_answer(changes.changes.len());
                    self.store_asked = None;
                    revision = changes.revision.max(revision);
                    self.updates.extend(changes, began_at);
                    self.record_revision(revision, began_at);
                    tokio::select! {
                        () = tokio::time::sleep(self.watch_pause()) => {
                            times = self.waiting_times();
                        }
                        () = tables.refresh.notified() => times = self.schedule().question(),
                    }
                }
                Err(error @ (edge::StoreError::HistoryGone | edge::StoreError::Restored)) => {
                    node_log::warn(
                        "store_history_gone",
                        &[("revision", &revision), ("reason", &error)],
                    );
                    self.tables.missed_changes.set(true);
                    return;
                }
                Err(error) => {
                    self.log_failed_watch(&error, revision, times.wait, sent_at);
                    self.record_store_error(&error);
                    self.store_asked = Some(Instant::now());
                    if self.source.may_ask_followers() {
                        // The followers may reach the store although this VM does not.
                        times = self.waiting_times();
                        self.updates.drop_vanished();
                        continue;
                    }
                    tokio::time::sleep_until(sent_at + limits::STORE_PAUSE).await;
                    // Only a store that has just answered is asked to wait: a watch that it does
                    // not receive would be noticed late.
                    times = self.schedule().question();
                }
            }
            self.updates.drop_vanished();
        }
    }

    /// Logs that the tables have grown older than a configuration may be, or that they no longer are. In
    /// between, this VM may handle requests by a configuration that is out of date.
    fn report_age(&mut self) {
        let age = self.tables.config_age();
        let is_late = self.tables.config().is_some() && age > self.tables.config_apply_limit.get();
        if is_late == std::mem::replace(&mut self.is_late, is_late) {
            return;
        }
        let version = self.tables.config().map_or(0, |config| config.version);
        let asked_at = self.store_asked.map(|asked| asked.elapsed().as_millis());
        node_log::warn(
            if is_late {
                "tables_late"
            } else {
                "tables_in_time_again"
            },
            &[
                ("config", &version),
                ("age_ms", &age.as_millis()),
                ("from", &self.tables.table_origin.borrow()),
                ("store_available", &self.tables.store_available.get()),
                ("store_failed_ms_ago", &format!("{asked_at:?}")),
                ("failed_followers", &self.source.failed_count()),
            ],
        );
    }

    /// Returns where the next changes come from. When the tables are overdue, that is the store,
    /// whichever VMs there still are to ask.
    fn choose_source(&mut self) -> table_source::SourceChoice {
        let due = self.store_due();
        let now = Instant::now();
        if self.source.may_ask_followers() && due <= now {
            return table_source::SourceChoice::StoreFrom(now);
        }
        match self.source.choose() {
            table_source::SourceChoice::StoreFrom(from) => {
                let from = self
                    .store_retry_at()
                    .map_or(from, |retry_at| retry_at.max(from));
                table_source::SourceChoice::StoreFrom(from.min(due))
            }
            choice => choice,
        }
    }

    /// Returns from when on the store may be asked again, if it has just failed to answer.
    fn store_retry_at(&self) -> Option<Instant> {
        let asked = self.store_asked?;
        Some(asked + limits::STORE_RETRY_INTERVAL)
    }

    /// Returns when the store itself has to be asked, unless another VM passes on newer tables before. Their
    /// age counts from the call to the store on which they rest, not from the answer of that VM. See
    /// `docs/design/tables.md`, "How old the tables may be".
    fn store_due(&self) -> Instant {
        let left = self
            .schedule()
            .overdue_age()
            .saturating_sub(self.tables.config_age());
        let overdue_at = Instant::now() + left;
        self.store_retry_at()
            .map_or(overdue_at, |retry_at| retry_at.max(overdue_at))
    }

    /// Gets the next changes from a follower.
    async fn follow(
        &mut self,
        follower: &str,
        revision: &mut edge::RevisionNumber,
    ) -> FollowOutcome {
        let tables = rc::Rc::clone(&self.tables);
        let not_before = self.store_retry_at();
        let store_due = self.store_due();
        let wait = self
            .waiting_times()
            .wait
            .min(self.schedule().follower_wait());
        let sent_at = Instant::now();
        let answer = tokio::select! {
            answer = self.source.ask(follower, *revision, wait) => answer,
            () = await_refresh(&tables, not_before) => return FollowOutcome::AskStore,
            () = tokio::time::sleep_until(store_due) => {
                let waited = sent_at.elapsed().as_millis();
                node_log::info(
                    "table_question_dropped",
                    &[("vm", &follower), ("waited_ms", &waited)],
                );
                return FollowOutcome::AskStore;
            }
        };
        let Ok(answer) = answer else {
            return FollowOutcome::Continue;
        };
        let era = |number| era_revision::EraRevision::from_number(number).era;
        if era(answer.changes.revision) != era(*revision) {
            // Claims of decisions need a list that this VM has read from the restored store itself.
            return FollowOutcome::ReadAll;
        }
        *revision = answer.changes.revision.max(*revision);
        self.record_origin(table_origin::TableOrigin {
            vm: Some(follower.to_owned()),
            hops: answer.hops,
        });
        if answer.is_listing {
            self.updates.replace(&answer.changes, answer.began_at);
        } else {
            self.updates.extend(answer.changes, answer.began_at);
        }
        self.record_revision(*revision, answer.began_at);
        self.updates.drop_vanished();
        tokio::select! {
            () = tokio::time::sleep(limits::FOLLOWER_INTERVAL) => FollowOutcome::Continue,
            () = await_refresh(&tables, not_before) => FollowOutcome::AskStore,
        }
    }

    /// Waits until the tables have to be refreshed from the store itself.
    async fn await_refresh(&self) {
        let not_before = self.store_asked.map(|asked| asked + limits::STORE_PAUSE);
        await_refresh(&self.tables, not_before).await;
    }

    fn record_origin(&self, origin: table_origin::TableOrigin) {
        metrics::gauge!("persimmontack_table_hops").set(f64::from(origin.hops));
        *self.tables.table_origin.borrow_mut() = origin;
    }

    /// Records that the tables reflect a revision, as read by a call that began at `began_at`.
    fn record_revision(&mut self, revision: edge::RevisionNumber, began_at: time::Duration) {
        self.tables.revision.set(revision);
        self.tables.missed_changes.set(false);
        let answered = self.last_answer.replace(Instant::now());
        let outage = answered.is_none_or(|answered| answered.elapsed() > limits::STORE_OUTAGE_GAP);
        self.tables.record_store_answer(outage);
        if self.tables.isolation.record_store_answer(began_at) {
            let now = node_tables::monotonic_now();
            for pool in self.tables.pools() {
                pool.update_health(|health| health.forget_silence(now));
            }
        }
        self.tables.store_image.changed.notify_waiters();
        self.tables.changed.notify_waiters();
    }

    /// Returns the pause before the next watch. Changes that come in quick succession, as when all
    /// VMs start, then cost few calls.
    fn watch_pause(&self) -> time::Duration {
        if !self.tables.has_complete_list() {
            return limits::FIRST_WATCH_PAUSE;
        }
        let pause = limits::WATCH_PAUSE * self.tables.table_follower_count();
        pause.min(limits::MAX_WATCH_PAUSE)
    }

    fn schedule(&self) -> watch_schedule::WatchSchedule {
        self.tables.watch_schedule()
    }

    /// Returns the times of the next watch that waits.
    fn waiting_times(&self) -> watch_schedule::WatchTimes {
        let longest = if self.tables.has_complete_list() {
            limits::MAX_WATCH_WAIT
        } else {
            let age = self.tables.list_age().unwrap_or_default();
            limits::FIRST_WATCH_WAIT.min(limits::STORE_RETURN_GRACE.saturating_sub(age))
        };
        let longest = if self.tables.uses_followers() {
            longest.min(self.schedule().followed_wait())
        } else {
            longest
        };
        let longest = self
            .updates
            .next_removal()
            .map_or(longest, |due| due.min(longest));
        self.schedule().waiting(longest, self.watch_pause())
    }

    async fn pause(&mut self) {
        tokio::time::sleep(limits::STORE_PAUSE).await;
        self.updates.drop_vanished();
    }

    /// Logs a watch that failed. If the store answered another call of this VM while the watch
    /// waited, only the watch or its answer was lost, and the store was available.
    fn log_failed_watch(
        &self,
        error: &edge::StoreError,
        revision: edge::RevisionNumber,
        wait: time::Duration,
        sent_at: Instant,
    ) {
        let contact_age = self
            .tables
            .store_contact
            .get()
            .map(|contact| node_tables::monotonic_now().saturating_sub(contact));
        let waited = sent_at.elapsed();
        let answered_meanwhile = contact_age.is_some_and(|age| age < waited);
        metrics::counter!("persimmontack_watches_failed_total").increment(1);
        node_log::warn(
            "watch_failed",
            &[
                ("reason", error),
                ("revision", &revision),
                ("wait_ms", &wait.as_millis()),
                ("waited_ms", &waited.as_millis()),
                ("store_answered_meanwhile", &answered_meanwhile),
            ],
        );
    }

    /// Records that the store answered with a number of changes.
    fn record_store_answer(&mut self, changes: usize) {
        metrics::gauge!("persimmontack_store_up").set(1.0);
        self.tables.record_store_contact();
        let lost_at = self.tables.store_lost_at.take();
        if self.tables.store_available.replace(true) && lost_at.is_none() {
            return;
        }
        let now = self.tables.edge.boot_time();
        let away = lost_at.map(|lost_at| now.saturating_sub(lost_at).as_millis());
        node_log::info(
            "store_regained",
            &[
                ("away_ms", &away.unwrap_or_default()),
                ("changes", &changes),
            ],
        );
    }

    /// Notices from the revision of a listing that the store was restored from a copy.
    fn check_restore(&self, revision: edge::RevisionNumber) {
        let known = self.tables.revision.get();
        let before = era_revision::EraRevision::from_number(known);
        let revision = era_revision::EraRevision::from_number(revision);
        if known == 0 || revision.era == before.era {
            return;
        }
        node_log::warn(
            "store_restored",
            &[("before", &before), ("revision", &revision)],
        );
        self.tables.record_restore();
    }

    /// Records that the store is unavailable.
    fn record_store_error(&mut self, error: &edge::StoreError) {
        self.tables.missed_changes.set(true);
        metrics::gauge!("persimmontack_store_up").set(0.0);
        if !self.tables.store_available.replace(false) {
            return;
        }
        self.tables
            .store_lost_at
            .set(Some(self.tables.edge.boot_time()));
        node_log::warn("store_lost", &[("reason", error)]);
        // VMs that wait for this one have to ask others.
        self.tables.store_image.changed.notify_waiters();
    }
}

/// Waits until the tables have to be refreshed from the store itself. A store that has just failed to
/// answer is not asked before `not_before`.
async fn await_refresh<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    not_before: Option<Instant>,
) {
    if let Some(not_before) = not_before {
        tokio::time::sleep_until(not_before).await;
    }
    tables.refresh.notified().await;
}
