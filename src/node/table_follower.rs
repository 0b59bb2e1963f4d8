//! Replicates the node's tables from the store or from other VMs.

use std::rc;
use std::time;

use tokio::time::Instant;

use crate::model::ids;
use crate::node::rate_limits::{limit_task, place_check};
use crate::node::tables::{
    store_failure, store_question, table_origin, table_source, table_updates,
};
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
        question: None,
        paused_until: None,
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
                store_failure::record_outage(&follower.tables, &error);
                follower.store_asked = Some(Instant::now());
                follower.pause().await;
                let known = follower.tables.revision.get();
                if known > 0 {
                    // The others may have what changed since, although the store does not list it.
                    follower.watch_from(known).await;
                }
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
    /// When the last call to the store was sent, if it failed.
    store_asked: Option<Instant>,
    /// A call to the store that is under way beside the questions to other VMs.
    question: Option<store_question::StoreQuestion>,
    /// Until when no other VM is asked, so that a burst of changes comes in few answers.
    paused_until: Option<Instant>,
    /// Whether the tables were last reported to be older than a configuration may be.
    is_late: bool,
}

/// What a VM does that gets its tables from others.
#[derive(Clone, Debug, PartialEq, Eq)]
enum FollowStep {
    /// It asks another VM.
    Ask(ids::VmId),
    /// It has an answer, and asks no other VM until this time.
    Pause(Instant),
    /// No other VM answers, and it asks none until this time.
    Wait(Instant),
}

/// Who ended a step.
#[derive(Debug)]
enum FollowedAnswer {
    /// The store, which answered a call that began at this time of [`edge::NodeEdge::boot_time`].
    Store(edge::ControlChanges, time::Duration),
    /// The VM that was asked, if any.
    Vm(Option<Result<table_source::FollowerAnswer, String>>),
}

/// How a step ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FollowOutcome {
    /// Go on with the next step.
    Continue,
    /// Read everything from the store: its history is gone, or it was restored from a copy.
    ReadAll,
}

impl<E: edge::NodeEdge> TableFollower<E> {
    /// Applies changes until the store no longer has the history since the last revision.
    async fn watch_from(&mut self, mut revision: edge::RevisionNumber) {
        let mut times = self.waiting_times();
        loop {
            self.report_age();
            // What a question is for, only the store itself can answer.
            let is_question = times.wait.is_zero();
            let step = if is_question {
                None
            } else {
                self.choose_step()
            };
            let outcome = match step {
                Some((step, store_due)) => {
                    let outcome = self.follow(step, store_due, &mut revision).await;
                    times = self.waiting_times();
                    outcome
                }
                None => self.watch_store(&mut revision, &mut times).await,
            };
            if outcome == FollowOutcome::ReadAll {
                self.question = None;
                return;
            }
            self.updates.drop_vanished();
        }
    }

    /// Makes one call to the store, and sets the times of the next one.
    async fn watch_store(
        &mut self,
        revision: &mut edge::RevisionNumber,
        times: &mut watch_schedule::WatchTimes,
    ) -> FollowOutcome {
        let tables = rc::Rc::clone(&self.tables);
        self.question = None;
        let began_at = tables.edge.boot_time();
        let sent_at = Instant::now();
        let watch = tables.edge.watch(*revision, *times);
        // A waiting watch may hang on a dead connection, so a refresh starts a new one.
        let result = tokio::select! {
            result = watch => result,
            () = tables.refresh.notified(), if !times.wait.is_zero() => {
                node_log::debug(
                    "watch_restarted",
                    &[("waited_ms", &sent_at.elapsed().as_millis())],
                );
                *times = self.schedule().question();
                return FollowOutcome::Continue;
            }
        };
        match result {
            Ok(changes) => {
                self.apply_store_answer(changes, began_at, revision);
                tokio::select! {
                    () = tokio::time::sleep(self.watch_pause()) => {
                        *times = self.waiting_times();
                    }
                    () = tables.refresh.notified() => *times = self.schedule().question(),
                }
                FollowOutcome::Continue
            }
            Err(error) => {
                let failed = store_failure::FailedCall {
                    error: &error,
                    revision: *revision,
                    times: *times,
                    sent_at,
                };
                failed.record(&tables);
                if failed.is_history_lost() {
                    return FollowOutcome::ReadAll;
                }
                self.store_asked = Some(sent_at);
                if self.source.may_ask_others() {
                    // The others may reach the store although this VM does not.
                    *times = self.waiting_times();
                    return FollowOutcome::Continue;
                }
                tokio::time::sleep_until(sent_at + limits::STORE_PAUSE).await;
                // Only a store that has just answered is asked to wait: a watch that it does
                // not receive would be noticed late.
                *times = self.schedule().question();
                FollowOutcome::Continue
            }
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

    /// Returns what to do next and when the store is to be asked beside it, or `None` if this VM watches the
    /// store itself.
    fn choose_step(&mut self) -> Option<(FollowStep, Instant)> {
        let now = Instant::now();
        let due = self.store_due();
        let step = match self.source.choose() {
            table_source::SourceChoice::Store => return None,
            table_source::SourceChoice::StoreFrom(from) => {
                let from = self.store_retry_at().map_or(from, |at| at.max(from));
                let due = due.min(from);
                return Some((FollowStep::Wait(from.max(now + limits::STORE_PAUSE)), due));
            }
            table_source::SourceChoice::Follower(vm) => FollowStep::Ask(vm),
        };
        let paused_until = self.paused_until.filter(|until| now < *until);
        Some((paused_until.map_or(step, FollowStep::Pause), due))
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
        let age = self.tables.config_age();
        let due = Instant::now() + self.schedule().question_age().saturating_sub(age);
        self.store_retry_at()
            .map_or(due, |retry_at| retry_at.max(due))
    }

    /// Takes one step, and applies the answer of the VM that was asked, or of the store.
    async fn follow(
        &mut self,
        step: FollowStep,
        store_due: Instant,
        revision: &mut edge::RevisionNumber,
    ) -> FollowOutcome {
        let answered = match self.await_step(&step, store_due, *revision).await {
            Ok(answered) => answered,
            Err(outcome) => return outcome,
        };
        match (answered, &step) {
            (FollowedAnswer::Store(changes, began_at), _) => {
                self.apply_store_answer(changes, began_at, revision);
                FollowOutcome::Continue
            }
            (FollowedAnswer::Vm(Some(Ok(answer))), FollowStep::Ask(vm)) => {
                self.apply_vm_answer(vm, answer, revision)
            }
            (FollowedAnswer::Vm(_), _) => FollowOutcome::Continue,
        }
    }

    /// Takes one step, and asks the store beside it once that is due. The two do not wait for each other: a VM
    /// that hangs delays no call to the store, and a store that does not answer delays no question.
    async fn await_step(
        &mut self,
        step: &FollowStep,
        mut store_due: Instant,
        base: edge::RevisionNumber,
    ) -> Result<FollowedAnswer, FollowOutcome> {
        let tables = rc::Rc::clone(&self.tables);
        let times = self.schedule().question();
        let longest = self.schedule().follower_wait();
        let wait = self.waiting_times().wait.min(longest);
        let refresh_pause = match step {
            FollowStep::Ask(_) | FollowStep::Pause(_) => limits::STORE_RETRY_INTERVAL,
            FollowStep::Wait(_) => limits::STORE_PAUSE,
        };
        let mut refresh_from = self.store_asked.map(|asked| asked + refresh_pause);
        let source = &mut self.source;
        let work = async {
            match step {
                FollowStep::Ask(vm) => Some(source.ask(vm, base, wait).await),
                FollowStep::Pause(until) | FollowStep::Wait(until) => {
                    tokio::time::sleep_until(*until).await;
                    None
                }
            }
        };
        tokio::pin!(work);
        let ask_store = || Some(store_question::StoreQuestion::send(&tables, base, times));
        loop {
            let is_asked = self.question.is_some();
            let answered = tokio::select! {
                answer = &mut work => return Ok(FollowedAnswer::Vm(answer)),
                answered = store_question::StoreQuestion::take_answer(&mut self.question) => answered,
                () = await_refresh(&tables, refresh_from), if !is_asked => {
                    self.question = ask_store();
                    continue;
                }
                () = tokio::time::sleep_until(store_due), if !is_asked => {
                    self.question = ask_store();
                    continue;
                }
            };
            let error = match answered.result {
                Ok(changes) => return Ok(FollowedAnswer::Store(changes, answered.began_at)),
                Err(error) => error,
            };
            let failed = store_failure::FailedCall {
                error: &error,
                revision: base,
                times,
                sent_at: answered.sent_at,
            };
            failed.record(&tables);
            if failed.is_history_lost() {
                return Err(FollowOutcome::ReadAll);
            }
            self.store_asked = Some(answered.sent_at);
            if matches!(step, FollowStep::Wait(_)) {
                return Err(FollowOutcome::Continue);
            }
            store_due = answered.sent_at + limits::STORE_RETRY_INTERVAL;
            refresh_from = Some(store_due);
        }
    }

    /// Applies what the store answered to this VM.
    fn apply_store_answer(
        &mut self,
        changes: edge::ControlChanges,
        began_at: time::Duration,
        revision: &mut edge::RevisionNumber,
    ) {
        self.record_origin(table_origin::TableOrigin::default());
        self.record_store_answer(changes.changes.len());
        self.store_asked = None;
        *revision = changes.revision.max(*revision);
        self.updates.extend(changes, began_at);
        self.record_revision(*revision, began_at);
    }

    /// Applies what another VM passed on.
    fn apply_vm_answer(
        &mut self,
        vm: &str,
        answer: table_source::FollowerAnswer,
        revision: &mut edge::RevisionNumber,
    ) -> FollowOutcome {
        let era = |number| era_revision::EraRevision::from_number(number).era;
        if era(answer.changes.revision) != era(*revision) {
            // Claims of decisions need a list that this VM has read from the restored store itself.
            return FollowOutcome::ReadAll;
        }
        if answer.changes.revision > *revision {
            // The answer of the store would have the changes since an earlier revision.
            self.question = None;
        }
        *revision = answer.changes.revision.max(*revision);
        self.record_origin(table_origin::TableOrigin {
            vm: Some(vm.to_owned()),
            hops: answer.hops,
        });
        if answer.is_listing {
            self.updates.replace(&answer.changes, answer.began_at);
        } else {
            self.updates.extend(answer.changes, answer.began_at);
        }
        self.record_revision(*revision, answer.began_at);
        self.paused_until = Some(Instant::now() + limits::FOLLOWER_INTERVAL);
        FollowOutcome::Continue
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
