//! [`FaultInjector`]: applies the faults of a schedule to a running deployment.

use std::sync;
use std::time;

use persimmontack::model::upstream_state;
use standins::platform::fault_plan;
use testenv::test_env;

use crate::soak::{connection, fault, history, network, operator, schedule, topology};

/// Timeout of a query to an upstream for its state or a setting, including the connection setup.
const CONTROL_QUERY_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Time in which a process must exit after SIGTERM, counted from the end of its fault. Longer than
/// the drain times of the daemons.
const STOP_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Delay without a lag fault with which a replica applies received entries, by its number in the
/// group.
const BASE_APPLY_DELAYS_MS: [u64; topology::UPSTREAMS_PER_GROUP] = [20, 80, 200];

/// A fault that has begun and not ended. A primary as its target is resolved to a process.
#[derive(Debug)]
struct ActiveFault {
    // Index in the schedule.
    index: usize,
    kind: fault::FaultKind,
}

/// Applies the faults of a schedule to a running deployment, and removes each at its end.
#[derive(Debug)]
pub struct FaultInjector {
    /// The deployment under test.
    pub env: test_env::TestEnv,
    /// Runs the commands of operators.
    pub operators: operator::OperatorRunner,
    history: sync::Arc<history::RunHistory>,
    entry_addresses: sync::Arc<connection::EntryAddresses>,
    links: network::LinkRules,
    active: Vec<ActiveFault>,
}

/// Returns the apply delay of an upstream without a lag fault, in milliseconds.
pub fn base_apply_delay_ms(upstream: &str) -> u64 {
    let number = upstream
        .rsplit('-')
        .next()
        .and_then(|text| text.parse::<usize>().ok());
    number
        .and_then(|number| BASE_APPLY_DELAYS_MS.get(number.checked_sub(1)?))
        .copied()
        .unwrap_or_default()
}

impl FaultInjector {
    /// Creates an injector without active faults.
    pub fn new(
        env: test_env::TestEnv,
        operators: operator::OperatorRunner,
        history: &sync::Arc<history::RunHistory>,
        entry_addresses: &sync::Arc<connection::EntryAddresses>,
    ) -> Self {
        Self {
            env,
            operators,
            history: sync::Arc::clone(history),
            entry_addresses: sync::Arc::clone(entry_addresses),
            links: network::LinkRules::default(),
            active: Vec::new(),
        }
    }

    /// Begins and ends all faults at their times, and waits for the operators that they started.
    ///
    /// # Errors
    ///
    /// Fails if a process or the platform's faults cannot be controlled.
    pub async fn play(&mut self, faults: &[schedule::PlannedFault]) -> std::io::Result<()> {
        let mut transitions: Vec<(time::Duration, usize, bool)> = Vec::new();
        for (index, fault) in faults.iter().enumerate() {
            transitions.push((fault.starts_at, index, true));
            transitions.push((fault.starts_at + fault.duration, index, false));
        }
        transitions.sort_by_key(|(at, _, _)| *at);
        for (at, index, is_begin) in transitions {
            tokio::time::sleep_until((self.history.started_at + at).into()).await;
            if !is_begin {
                self.end_fault(index).await?;
            } else if let Some(fault) = faults.get(index) {
                self.begin_fault(index, fault.kind.clone()).await?;
            }
            self.restart_crashed().await?;
        }
        self.operators.wait_all().await;
        Ok(())
    }

    async fn begin_fault(&mut self, index: usize, kind: fault::FaultKind) -> std::io::Result<()> {
        let Some(kind) = self.resolve_primary(kind).await else {
            self.history
                .log_progress(&format!("#{index} skipped: the group has no primary"));
            return Ok(());
        };
        if let Some(name) = target_process(&kind)
            && self.has_active_fault(name)
        {
            self.history.log_progress(&format!(
                "#{index} skipped: {name} already has an active fault"
            ));
            return Ok(());
        }
        self.history
            .log_progress(&format!("#{index} begins: {kind}"));
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
            fault::FaultKind::Lag(upstream, delay) => self.set_apply_delay(upstream, *delay).await,
            fault::FaultKind::ConcurrentRuleChanges => self.operators.apply_conflicting_rules()?,
            fault::FaultKind::Promote(group, upstream) => self.operators.promote(group, upstream),
            fault::FaultKind::Drain(target) => self.operators.drain(target, true),
            _ => {}
        }
        let platform_changed = affects_platform(&kind);
        self.active.push(ActiveFault { index, kind });
        self.apply_active_faults(platform_changed).await
    }

    async fn end_fault(&mut self, index: usize) -> std::io::Result<()> {
        let Some(position) = self.active.iter().position(|fault| fault.index == index) else {
            return Ok(());
        };
        let fault = self.active.remove(position);
        match &fault.kind {
            fault::FaultKind::Kill(fault::FaultTarget::Process(name)) => {
                self.restart(name).await?;
            }
            fault::FaultKind::Freeze(fault::FaultTarget::Process(name)) => {
                self.env.signal(name, "CONT")?;
            }
            fault::FaultKind::Stop(fault::FaultTarget::Process(name)) => {
                self.wait_stopped(name).await?;
                self.restart(name).await?;
            }
            fault::FaultKind::Lag(upstream, _delay) => {
                self.set_apply_delay(upstream, base_apply_delay_ms(upstream))
                    .await;
            }
            fault::FaultKind::Drain(target) => self.operators.drain(target, false),
            _ => {}
        }
        self.apply_active_faults(affects_platform(&fault.kind))
            .await?;
        self.history
            .log_progress(&format!("#{index} ended: {}", fault.kind));
        Ok(())
    }

    /// Updates the links, and the platform if its faults have changed, to the active faults.
    async fn apply_active_faults(&mut self, platform_changed: bool) -> std::io::Result<()> {
        let kinds: Vec<fault::FaultKind> =
            self.active.iter().map(|fault| fault.kind.clone()).collect();
        self.links.apply(&self.env, &kinds);
        if !platform_changed {
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

    /// Replaces a group's primary as the target by its process. Returns `None` if the group has no
    /// primary.
    async fn resolve_primary(&self, kind: fault::FaultKind) -> Option<fault::FaultKind> {
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

    /// Returns the upstream that reports itself as primary with the highest term.
    pub async fn primary(&self, group: &str) -> Option<String> {
        let mut latest = None;
        for upstream in topology::SoakTopology::upstreams(group) {
            let state = self.upstream_state(&upstream).await;
            if let Some(term) = state.and_then(|state| state.primary_term) {
                latest = latest.max(Some((term, upstream)));
            }
        }
        latest.map(|(_term, upstream)| upstream)
    }

    async fn upstream_state(&self, upstream: &str) -> Option<upstream_state::UpstreamState> {
        let text = self
            .query_upstream(upstream, "SELECT group_state()")
            .await?;
        serde_json::from_str(&text).ok()
    }

    async fn query_upstream(&self, upstream: &str, sql: &str) -> Option<String> {
        let query = async {
            let client = self.env.connect_upstream(upstream).await.ok()?;
            let messages = client.simple_query(sql).await.ok()?;
            messages.iter().find_map(|message| match message {
                tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
                _ => None,
            })
        };
        tokio::time::timeout(CONTROL_QUERY_TIMEOUT, query)
            .await
            .ok()?
    }

    async fn set_apply_delay(&self, upstream: &str, delay: u64) {
        let sql = format!("SELECT admin_set('apply_delay_ms', '{delay}')");
        if self.query_upstream(upstream, &sql).await.is_none() {
            self.history
                .log_progress(&format!("could not set the apply delay of {upstream}"));
        }
    }

    async fn restart(&mut self, name: &str) -> std::io::Result<()> {
        self.env.restart(name).await?;
        self.update_entry_addresses()
    }

    /// Updates the addresses at which clients connect to the entries; a restarted entry listens
    /// at a new one.
    ///
    /// # Errors
    ///
    /// Fails if an entry has no listener.
    pub fn update_entry_addresses(&mut self) -> std::io::Result<()> {
        for vm in self.env.vms().to_vec() {
            let name = format!("{}-entry", vm.vm);
            let address = self.env.processes().address(&name, "listen")?;
            self.entry_addresses.set(&vm.vm, address);
        }
        Ok(())
    }

    /// Waits until a process exits after SIGTERM, and reports a finding if it fails or is too slow.
    async fn wait_stopped(&mut self, name: &str) -> std::io::Result<()> {
        let deadline = time::Instant::now() + STOP_TIMEOUT;
        loop {
            if let Some(status) = self.env.processes().get_mut(name)?.try_wait()? {
                if !status.success() {
                    let text = format!("{name} exited with {status} after SIGTERM");
                    self.history.report_finding("stop", text, Vec::new());
                }
                return Ok(());
            }
            if time::Instant::now() > deadline {
                let text = format!("{name} did not exit within {STOP_TIMEOUT:?} after SIGTERM");
                self.history.report_finding("stop", text, Vec::new());
                return Ok(());
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// Reports and restarts processes that exited without a fault on them.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be restarted.
    pub async fn restart_crashed(&mut self) -> std::io::Result<()> {
        for name in self.process_names() {
            if self.has_active_fault(&name) {
                continue;
            }
            if let Some(status) = self.env.processes().get_mut(&name)?.try_wait()? {
                let text = format!("{name} exited unexpectedly with {status}");
                self.history.report_finding("crash", text, Vec::new());
                self.restart(&name).await?;
            }
        }
        Ok(())
    }

    /// Returns the names of all database instances and daemons.
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

    /// Returns whether an active fault has killed, frozen or stopped the process.
    fn has_active_fault(&self, name: &str) -> bool {
        self.active
            .iter()
            .any(|fault| target_process(&fault.kind) == Some(name))
    }
}

/// Returns the process that a fault kills, freezes or stops.
fn target_process(kind: &fault::FaultKind) -> Option<&str> {
    match kind {
        fault::FaultKind::Kill(fault::FaultTarget::Process(name))
        | fault::FaultKind::Freeze(fault::FaultTarget::Process(name))
        | fault::FaultKind::Stop(fault::FaultTarget::Process(name)) => Some(name),
        _ => None,
    }
}

const fn affects_platform(kind: &fault::FaultKind) -> bool {
    matches!(
        kind,
        fault::FaultKind::Outage(_) | fault::FaultKind::Slow(_) | fault::FaultKind::LostAnswers(_)
    )
}
