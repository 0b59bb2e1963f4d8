//! [`FaultInjector`]: plays a schedule on a running environment.

use std::sync;
use std::time;

use persimmontack::model::upstream_state;
use standins::platform::fault_plan;
use testenv::test_env;

use crate::soak::{caller_link, fault, history, network, operator, place, schedule};

/// Time to ask one upstream for its state.
const STATE_LIMIT: time::Duration = time::Duration::from_millis(700);
/// Time for a program to end after SIGTERM, from the end of its fault on. The daemons' own drain
/// times are below it.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(30);
/// Delay until a replica shows what it holds, by its number in the group, in milliseconds.
const BASE_LAG_MS: [u64; place::UPSTREAMS_PER_GROUP] = [20, 80, 200];

/// A fault in force. Its target is a process by name.
#[derive(Debug)]
struct ActiveFault {
    index: usize,
    kind: fault::FaultKind,
}

/// Plays a schedule on a running environment.
#[derive(Debug)]
pub struct FaultInjector {
    /// The environment.
    pub env: test_env::TestEnv,
    /// Operators.
    pub desk: operator::OperatorDesk,
    history: sync::Arc<history::RunHistory>,
    book: sync::Arc<caller_link::EntryBook>,
    network: network::NetworkRules,
    active: Vec<ActiveFault>,
}

/// Returns the delay until an upstream shows what it holds, in milliseconds.
pub fn base_lag_ms(upstream: &str) -> u64 {
    let number = upstream
        .rsplit('-')
        .next()
        .and_then(|text| text.parse::<usize>().ok());
    number
        .and_then(|number| BASE_LAG_MS.get(number.checked_sub(1)?))
        .copied()
        .unwrap_or_default()
}

impl FaultInjector {
    /// Creates an injector.
    pub fn new(
        env: test_env::TestEnv,
        desk: operator::OperatorDesk,
        history: &sync::Arc<history::RunHistory>,
        book: &sync::Arc<caller_link::EntryBook>,
    ) -> Self {
        Self {
            env,
            desk,
            history: sync::Arc::clone(history),
            book: sync::Arc::clone(book),
            network: network::NetworkRules::default(),
            active: Vec::new(),
        }
    }

    /// Plays all faults and heals each at its end.
    ///
    /// # Errors
    ///
    /// Fails if the environment cannot be controlled.
    pub async fn play(&mut self, faults: &[schedule::PlannedFault]) -> std::io::Result<()> {
        let mut steps: Vec<(time::Duration, usize, bool)> = Vec::new();
        for (index, fault) in faults.iter().enumerate() {
            steps.push((fault.starts, index, true));
            steps.push((fault.starts + fault.lasts, index, false));
        }
        steps.sort_by_key(|(at, _, _)| *at);
        for (at, index, begins) in steps {
            tokio::time::sleep_until((self.history.started + at).into()).await;
            if !begins {
                self.end(index).await?;
            } else if let Some(fault) = faults.get(index) {
                self.begin(index, fault.kind.clone()).await?;
            }
            self.look_for_crashes().await?;
        }
        self.desk.settle().await;
        Ok(())
    }

    async fn begin(&mut self, index: usize, kind: fault::FaultKind) -> std::io::Result<()> {
        let Some(kind) = self.resolve(kind).await else {
            self.history.say(&format!("#{index} skipped, no primary"));
            return Ok(());
        };
        if let Some(name) = process_of(&kind)
            && self.is_busy(name)
        {
            self.history
                .say(&format!("#{index} skipped, {name} has a fault already"));
            return Ok(());
        }
        self.history.say(&format!("#{index} begins: {kind}"));
        match &kind {
            fault::FaultKind::Kill(fault::FaultTarget::Process(name)) => self.env.kill(name)?,
            fault::FaultKind::Freeze(fault::FaultTarget::Process(name)) => {
                self.env.signal(name, "STOP")?;
            }
            fault::FaultKind::Stop(fault::FaultTarget::Process(name)) => {
                self.env.signal(name, "TERM")?;
            }
            fault::FaultKind::Silence(fault::FaultTarget::Process(name)) => {
                for (key, link) in self.env.links() {
                    if key.split('/').next() == Some(name.as_str()) {
                        link.silence_open(None);
                    }
                }
            }
            fault::FaultKind::Lag(upstream, delay) => self.set_lag(upstream, *delay).await,
            fault::FaultKind::RacingRules => self.desk.race()?,
            fault::FaultKind::Promote(group, upstream) => self.desk.promote(group, upstream),
            fault::FaultKind::Drain(target) => self.desk.drain(target, true),
            _ => {}
        }
        let platform = is_platform(&kind);
        self.active.push(ActiveFault { index, kind });
        self.enforce(platform).await
    }

    async fn end(&mut self, index: usize) -> std::io::Result<()> {
        let Some(place) = self.active.iter().position(|fault| fault.index == index) else {
            return Ok(());
        };
        let fault = self.active.remove(place);
        match &fault.kind {
            fault::FaultKind::Kill(fault::FaultTarget::Process(name)) => {
                self.start_again(name).await?;
            }
            fault::FaultKind::Freeze(fault::FaultTarget::Process(name)) => {
                self.env.signal(name, "CONT")?;
            }
            fault::FaultKind::Stop(fault::FaultTarget::Process(name)) => {
                self.wait_stopped(name).await?;
                self.start_again(name).await?;
            }
            fault::FaultKind::Lag(upstream, _delay) => {
                self.set_lag(upstream, base_lag_ms(upstream)).await;
            }
            fault::FaultKind::Drain(target) => self.desk.drain(target, false),
            _ => {}
        }
        self.enforce(is_platform(&fault.kind)).await?;
        self.history.say(&format!("#{index} ended: {}", fault.kind));
        Ok(())
    }

    /// Brings links, and the platform if its faults have changed, in line with the faults in force.
    async fn enforce(&mut self, platform: bool) -> std::io::Result<()> {
        let kinds: Vec<fault::FaultKind> =
            self.active.iter().map(|fault| fault.kind.clone()).collect();
        self.network.enforce(&self.env, &kinds);
        if !platform {
            return Ok(());
        }
        let mut plan = fault_plan::FaultPlan::default();
        for kind in &kinds {
            match kind {
                fault::FaultKind::Outage(outage) => plan.outage = *outage,
                fault::FaultKind::Slow(delay) => plan.slow_ms += *delay,
                fault::FaultKind::LostAnswers(count) => plan.lost_answers += *count,
                _ => {}
            }
        }
        self.env.set_platform_faults(plan).await
    }

    async fn resolve(&self, kind: fault::FaultKind) -> Option<fault::FaultKind> {
        let group = match &kind {
            fault::FaultKind::Kill(fault::FaultTarget::Primary(group))
            | fault::FaultKind::Freeze(fault::FaultTarget::Primary(group))
            | fault::FaultKind::Stop(fault::FaultTarget::Primary(group))
            | fault::FaultKind::Silence(fault::FaultTarget::Primary(group)) => group.clone(),
            _ => return Some(kind),
        };
        let primary = fault::FaultTarget::Process(self.primary(&group).await?);
        Some(match kind {
            fault::FaultKind::Kill(_) => fault::FaultKind::Kill(primary),
            fault::FaultKind::Freeze(_) => fault::FaultKind::Freeze(primary),
            fault::FaultKind::Stop(_) => fault::FaultKind::Stop(primary),
            fault::FaultKind::Silence(_) => fault::FaultKind::Silence(primary),
            other => other,
        })
    }

    /// Returns the upstream that is the primary of the highest term.
    pub async fn primary(&self, group: &str) -> Option<String> {
        let mut found = None;
        for upstream in place::SoakPlace::upstreams(group) {
            let state = self.state(&upstream).await;
            if let Some(term) = state.and_then(|state| state.primary_term) {
                found = found.max(Some((term, upstream)));
            }
        }
        found.map(|(_term, upstream)| upstream)
    }

    async fn state(&self, upstream: &str) -> Option<upstream_state::UpstreamState> {
        let text = self.control(upstream, "SELECT group_state()").await?;
        serde_json::from_str(&text).ok()
    }

    async fn control(&self, upstream: &str, sql: &str) -> Option<String> {
        let asking = async {
            let client = self.env.connect_upstream(upstream).await.ok()?;
            let messages = client.simple_query(sql).await.ok()?;
            messages.iter().find_map(|message| match message {
                tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
                _ => None,
            })
        };
        tokio::time::timeout(STATE_LIMIT, asking).await.ok()?
    }

    async fn set_lag(&self, upstream: &str, delay: u64) {
        let sql = format!("SELECT admin_set('apply_delay_ms', '{delay}')");
        if self.control(upstream, &sql).await.is_none() {
            self.history.say(&format!("{upstream} did not take a lag"));
        }
    }

    async fn start_again(&mut self, name: &str) -> std::io::Result<()> {
        self.env.restart(name).await?;
        self.note_entries()
    }

    /// Tells callers where entries listen.
    ///
    /// # Errors
    ///
    /// Fails if an entry has no listener.
    pub fn note_entries(&mut self) -> std::io::Result<()> {
        for vm in self.env.vms().to_vec() {
            let name = format!("{}-entry", vm.vm);
            let address = self.env.processes().address(&name, "listen")?;
            self.book.set(&vm.vm, address);
        }
        Ok(())
    }

    async fn wait_stopped(&mut self, name: &str) -> std::io::Result<()> {
        let ends = time::Instant::now() + STOP_LIMIT;
        loop {
            if let Some(status) = self.env.processes().get_mut(name)?.try_wait()? {
                if !status.success() {
                    let text = format!("{name} ended after SIGTERM with {status}");
                    self.history.find("stop", text, Vec::new());
                }
                return Ok(());
            }
            if time::Instant::now() > ends {
                let text = format!("{name} did not end within {STOP_LIMIT:?} after SIGTERM");
                self.history.find("stop", text, Vec::new());
                return Ok(());
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Reports processes that ended without a fault, and starts them again.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start.
    pub async fn look_for_crashes(&mut self) -> std::io::Result<()> {
        for name in self.process_names() {
            if self.is_busy(&name) {
                continue;
            }
            if let Some(status) = self.env.processes().get_mut(&name)?.try_wait()? {
                let text = format!("{name} ended by itself with {status}");
                self.history.find("crash", text, Vec::new());
                self.start_again(&name).await?;
            }
        }
        Ok(())
    }

    /// Returns the names of all processes.
    pub fn process_names(&mut self) -> Vec<String> {
        let programs = [
            "standin-instance",
            "persimmon-keeper",
            "persimmon-pool",
            "persimmon-entry",
        ];
        let processes = self.env.processes();
        programs
            .iter()
            .flat_map(|program| processes.names(program))
            .collect()
    }

    fn is_busy(&self, name: &str) -> bool {
        self.active
            .iter()
            .any(|fault| process_of(&fault.kind) == Some(name))
    }
}

fn process_of(kind: &fault::FaultKind) -> Option<&str> {
    match kind {
        fault::FaultKind::Kill(fault::FaultTarget::Process(name))
        | fault::FaultKind::Freeze(fault::FaultTarget::Process(name))
        | fault::FaultKind::Stop(fault::FaultTarget::Process(name)) => Some(name),
        _ => None,
    }
}

const fn is_platform(kind: &fault::FaultKind) -> bool {
    matches!(
        kind,
        fault::FaultKind::Outage(_) | fault::FaultKind::Slow(_) | fault::FaultKind::LostAnswers(_)
    )
}
