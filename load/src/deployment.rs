//! [`LoadDeployment`]: a whole set of processes with the sizes and delays of a profile.

use std::collections;
use std::io;
use std::net;
use std::path;
use std::time;

use persimmontack::rules::scram_verifier;
use standins::fault_link;
use standins::instance::journal;
use testenv::{env_plan, test_env, waiting};

use crate::{profile, session};

/// Group that gets the load. The others are there and idle.
pub const GROUP: &str = "db1";
/// Password of every login.
pub const PASSWORD: &str = "load-secret";
/// VMs, as many as each user has at least.
const VMS: usize = 6;
/// Longest wait for the states that follow an admin statement or a restart.
const SETTLE_LIMIT: time::Duration = time::Duration::from_secs(20);

/// What differs between measures.
#[derive(Clone, Debug, Default)]
pub struct DeploymentPlan {
    /// Slot time of each statement on the loaded group.
    pub statement: time::Duration,
    /// Delay until a follower shows an entry.
    pub apply: time::Duration,
    /// Whether statements are written to the journals.
    pub journal: bool,
    /// Whether the profile's delays are in force; without them there is one VM and no link.
    pub delays: bool,
    /// Rules besides the logins.
    pub rules: String,
    /// Customers, with the fields of their rules.
    pub customers: Vec<(String, String)>,
    /// Added settings by program.
    pub settings: collections::HashMap<String, String>,
}

/// A running deployment.
#[derive(Debug)]
pub struct LoadDeployment {
    /// The processes.
    pub env: test_env::TestEnv,
    /// Links between callers and entries.
    pub caller_links: Vec<fault_link::FaultLink>,
    entries: Vec<net::SocketAddr>,
}

impl LoadDeployment {
    /// Starts all processes and waits until they are ready and each group has a primary.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start.
    pub async fn start(
        profile: &profile::DeploymentProfile,
        plan: &DeploymentPlan,
    ) -> io::Result<Self> {
        let vms: Vec<usize> = if plan.delays {
            (0..profile.data_centres)
                .map(|centre| {
                    VMS / profile.data_centres + usize::from(centre < VMS % profile.data_centres)
                })
                .collect()
        } else {
            vec![1]
        };
        let mut env_plan = env_plan::EnvPlan::new(&vms);
        let groups = if plan.delays { profile.groups } else { 1 };
        for number in 1..=groups {
            let name = format!("db{number}");
            let loaded = name == GROUP;
            env_plan = env_plan.group(&name, |_index, upstream| {
                upstream.slots = profile.slots;
                upstream.connections = profile.connections;
                upstream.open_delay_ms = millis(profile.open_delay);
                upstream.journal_statements = plan.journal;
                upstream.apply_delay_ms = millis(plan.apply);
                if loaded {
                    upstream.statement_us =
                        u64::try_from(plan.statement.as_micros()).unwrap_or(u64::MAX);
                }
            });
        }
        env_plan = env_plan.rules(&rules(plan));
        env_plan.settings.clone_from(&plan.settings);
        if plan.delays {
            env_plan = env_plan.with_fault_links();
        }
        let env = test_env::TestEnv::start(env_plan).await?;
        let mut deployment = Self {
            env,
            caller_links: Vec::new(),
            entries: Vec::new(),
        };
        deployment.set_delays(profile, plan.delays).await?;
        deployment.env.wait_ready().await;
        deployment.wait_primary().await?;
        Ok(deployment)
    }

    async fn set_delays(
        &mut self,
        profile: &profile::DeploymentProfile,
        delays: bool,
    ) -> io::Result<()> {
        if delays {
            for link in self.env.links().values() {
                delay_link(link, profile);
            }
        }
        for name in self.env.processes().names("persimmon-entry") {
            let address = self.env.processes().address(&name, "listen")?;
            if !delays {
                self.entries.push(address);
                continue;
            }
            let link =
                fault_link::FaultLink::start(net::IpAddr::from([127, 0, 0, 1]), address).await?;
            link.set_all(fault_link::LinkRule {
                delay: profile.to_callers,
                ..fault_link::LinkRule::default()
            });
            self.entries.push(link.address());
            self.caller_links.push(link);
        }
        Ok(())
    }

    /// Waits until a write succeeds on each entry.
    async fn wait_primary(&self) -> io::Result<()> {
        for (number, entry) in self.entries.iter().enumerate() {
            let mut login = self.login("load");
            login.entries = vec![*entry];
            let ends = time::Instant::now() + SETTLE_LIMIT;
            let mut attempt = 0;
            loop {
                attempt += 1;
                let mut session = session::CallerSession::new(login.clone(), 0);
                let sql = format!("INSERT INTO ready (k, v) VALUES ('{number}-{attempt}', '')");
                match session.run(&sql).await {
                    Ok(_) => break,
                    Err(end) if time::Instant::now() > ends => {
                        return Err(io::Error::other(format!(
                            "entry {entry} takes no write: {end:?}"
                        )));
                    }
                    Err(_) => tokio::time::sleep(time::Duration::from_millis(50)).await,
                }
            }
        }
        Ok(())
    }

    /// Returns a login of a customer on the loaded group.
    #[must_use]
    pub fn login(&self, user: &str) -> session::CallerLogin {
        session::CallerLogin {
            entries: self.entries.clone(),
            user: user.to_owned(),
            password: PASSWORD.to_owned(),
            database: GROUP.to_owned(),
            options: String::new(),
        }
    }

    /// Returns a login straight to an instance of the loaded group.
    ///
    /// # Errors
    ///
    /// Fails if the instance is not running.
    pub fn direct(&self, upstream: &str) -> io::Result<session::CallerLogin> {
        Ok(session::CallerLogin {
            entries: vec![self.env.address_for_others(upstream, "listen")?],
            user: test_env::UPSTREAM_USER.to_owned(),
            password: test_env::UPSTREAM_PASSWORD.to_owned(),
            database: GROUP.to_owned(),
            options: String::new(),
        })
    }

    /// Returns the names of the loaded group's upstreams.
    #[must_use]
    pub fn upstreams(&self) -> Vec<String> {
        (1..=3).map(|number| format!("{GROUP}-{number}")).collect()
    }

    /// Reads the journals of the loaded group.
    ///
    /// # Errors
    ///
    /// Fails if one cannot be read.
    pub fn journals(&self) -> io::Result<Vec<(String, Vec<journal::JournalEvent>)>> {
        self.upstreams()
            .into_iter()
            .map(|upstream| Ok((upstream.clone(), self.env.journal(&upstream)?)))
            .collect()
    }

    /// Returns the primary of the highest term, by the journals.
    ///
    /// # Errors
    ///
    /// Fails if a journal cannot be read or nothing was promoted.
    pub fn primary(&self) -> io::Result<String> {
        let mut best = None;
        for (upstream, events) in self.journals()? {
            for event in events {
                if let journal::JournalEvent::Promote { entry } = event
                    && best.as_ref().is_none_or(|(term, _)| entry.term > *term)
                {
                    best = Some((entry.term, upstream.clone()));
                }
            }
        }
        best.map(|(_, upstream)| upstream)
            .ok_or_else(|| io::Error::other("no upstream was promoted"))
    }

    /// Runs an admin statement on an instance.
    ///
    /// # Errors
    ///
    /// Fails if the instance does not take it.
    pub async fn admin_set(&self, upstream: &str, name: &str, value: u64) -> io::Result<()> {
        let client = self
            .env
            .connect_upstream(upstream)
            .await
            .map_err(io::Error::other)?;
        client
            .simple_query(&format!("SELECT admin_set('{name}', '{value}')"))
            .await
            .map_err(io::Error::other)?;
        Ok(())
    }

    /// Waits until all three upstreams hold the same log.
    pub async fn wait_level(&self) {
        waiting::until("all upstreams are level", || async {
            let mut heads = Vec::new();
            for upstream in self.upstreams() {
                let Ok(client) = self.env.connect_upstream(&upstream).await else {
                    return false;
                };
                let Ok(rows) = client.simple_query("SELECT group_state()").await else {
                    return false;
                };
                let state = rows.iter().find_map(|message| match message {
                    tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
                    _ => None,
                });
                let state = state.and_then(|text| {
                    serde_json::from_str::<persimmontack::model::upstream_state::UpstreamState>(
                        &text,
                    )
                    .ok()
                });
                let Some(state) = state else {
                    return false;
                };
                heads.push((state.applied, state.held));
            }
            heads.windows(2).all(|pair| pair.first() == pair.last())
        })
        .await;
    }

    /// Copies the files of all processes.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be copied.
    pub fn copy_logs(&self, target: &path::Path) -> io::Result<()> {
        std::fs::create_dir_all(target)?;
        for file in std::fs::read_dir(self.env.directory())? {
            let file = file?;
            std::fs::copy(file.path(), target.join(file.file_name()))?;
        }
        Ok(())
    }

    /// Returns the calls to the platform so far of the VM that made most.
    pub async fn most_platform_calls(&self) -> f64 {
        let Ok(report) = self.env.platform_counts().await else {
            return 0.0;
        };
        let sums = report
            .calls
            .iter()
            .filter(|(vm, _)| vm.starts_with("vm-"))
            .map(|(_, calls)| calls.values().sum::<u64>());
        sums.max().unwrap_or_default() as f64
    }
}

/// Puts the profile's delay on the connections from other data centres.
pub fn delay_link(link: &fault_link::FaultLink, profile: &profile::DeploymentProfile) {
    let net::IpAddr::V4(address) = link.address().ip() else {
        return;
    };
    let [_, _, own, _] = address.octets();
    for source in sources(profile) {
        let net::IpAddr::V4(address) = source else {
            continue;
        };
        let [_, _, centre, _] = address.octets();
        let rule = (centre != own).then(|| fault_link::LinkRule {
            delay: profile.between_centres,
            ..fault_link::LinkRule::default()
        });
        link.set_source(source, rule);
    }
}

/// Cuts all connections through a link.
pub fn cut_link(link: &fault_link::FaultLink, profile: &profile::DeploymentProfile) {
    let rule = fault_link::LinkRule {
        cut: true,
        ..fault_link::LinkRule::default()
    };
    link.set_all(rule);
    for source in sources(profile) {
        link.set_source(source, Some(rule));
    }
}

/// Returns the addresses of all VMs and upstreams.
fn sources(profile: &profile::DeploymentProfile) -> impl Iterator<Item = net::IpAddr> {
    let centres = 1..=u8::try_from(profile.data_centres).unwrap_or(u8::MAX);
    centres.flat_map(|centre| {
        let hosts = (1..=9).chain(101..=109);
        hosts.map(move |host| net::IpAddr::from([127, 0, centre, host]))
    })
}

fn rules(plan: &DeploymentPlan) -> String {
    let verifier = scram_verifier::ScramVerifier::derive(PASSWORD, b"load-environment", 4096);
    let mut text = plan.rules.clone();
    let plain = [("load".to_owned(), String::new())];
    for (customer, fields) in plain.iter().chain(&plan.customers) {
        text.push_str(&format!(
            "customer {customer} {fields} # asked for by: load\n\
             login {customer} customer={customer} verifier={verifier} # asked for by: load\n"
        ));
    }
    text
}

fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
