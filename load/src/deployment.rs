//! [`LoadDeployment`]: the processes of a whole deployment with the sizes and delays of a profile.

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

/// Group that receives the load, and its database; the other groups are idle.
pub const GROUP: &str = "db1";
/// Password of every user.
pub const PASSWORD: &str = "load-secret";
/// Number of VMs, spread over the data centres. The deployments in use have at least as many.
const VM_COUNT: usize = 6;
/// Longest wait until an entry accepts a write.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// Properties of a deployment in which the measurements differ.
#[derive(Clone, Debug, Default)]
pub struct DeploymentPlan {
    /// Time for which a statement occupies a slot on the upstreams of [`GROUP`].
    pub statement_time: time::Duration,
    /// Delay until a replica applies a log entry.
    pub apply_delay: time::Duration,
    /// Whether the upstreams write statements to their journals.
    pub journal_statements: bool,
    /// Whether the profile's VMs, groups and network delays are used. If not, there is one VM with
    /// one group and no delay.
    pub with_delays: bool,
    /// Lines of the rules file besides those of the customers.
    pub rules: String,
    /// Customers besides `load`, each with the fields of its rule. The name is also its user name.
    pub customers: Vec<(String, String)>,
    /// Additional settings in TOML, by program.
    pub settings: collections::HashMap<String, String>,
}

/// A running deployment.
#[derive(Debug)]
pub struct LoadDeployment {
    /// Processes of the deployment.
    pub env: test_env::TestEnv,
    /// Links between clients and entries, which add the delay between them.
    pub client_links: Vec<fault_link::FaultLink>,
    entries: Vec<net::SocketAddr>,
}

impl LoadDeployment {
    /// Starts all processes and waits until they are ready and each entry accepts a write to
    /// [`GROUP`].
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or an entry accepts no write.
    pub async fn start(
        profile: &profile::DeploymentProfile,
        plan: &DeploymentPlan,
    ) -> io::Result<Self> {
        let vms: Vec<usize> = if plan.with_delays {
            (0..profile.data_centres)
                .map(|centre| {
                    VM_COUNT / profile.data_centres
                        + usize::from(centre < VM_COUNT % profile.data_centres)
                })
                .collect()
        } else {
            vec![1]
        };
        let mut env_plan = env_plan::EnvPlan::new(&vms);
        let groups = if plan.with_delays { profile.groups } else { 1 };
        for number in 1..=groups {
            let name = format!("db{number}");
            let receives_load = name == GROUP;
            env_plan = env_plan.group(&name, |_index, upstream| {
                upstream.slots = profile.slots;
                upstream.connections = profile.connections;
                upstream.open_delay_ms = whole_milliseconds(profile.open_delay);
                upstream.journal_statements = plan.journal_statements;
                upstream.apply_delay_ms = whole_milliseconds(plan.apply_delay);
                if receives_load {
                    upstream.statement_us =
                        u64::try_from(plan.statement_time.as_micros()).unwrap_or(u64::MAX);
                }
            });
        }
        env_plan = env_plan.rules(&rules_text(plan));
        env_plan.settings.clone_from(&plan.settings);
        if plan.with_delays {
            env_plan = env_plan.with_fault_links();
        }
        let env = test_env::TestEnv::start(env_plan).await?;
        let mut deployment = Self {
            env,
            client_links: Vec::new(),
            entries: Vec::new(),
        };
        deployment.set_delays(profile, plan.with_delays).await?;
        deployment.env.wait_ready().await;
        deployment.wait_writable().await?;
        Ok(deployment)
    }

    async fn set_delays(
        &mut self,
        profile: &profile::DeploymentProfile,
        with_delays: bool,
    ) -> io::Result<()> {
        if with_delays {
            for link in self.env.links().values() {
                delay_link(link, profile);
            }
        }
        for name in self.env.processes().names("persimmon-entry") {
            let address = self.env.processes().address(&name, "listen")?;
            if !with_delays {
                self.entries.push(address);
                continue;
            }
            let link =
                fault_link::FaultLink::start(net::IpAddr::from([127, 0, 0, 1]), address).await?;
            link.set_all(fault_link::LinkRule {
                delay: profile.client_delay,
                ..fault_link::LinkRule::default()
            });
            self.entries.push(link.address());
            self.client_links.push(link);
        }
        Ok(())
    }

    /// Waits until a write succeeds on each entry.
    async fn wait_writable(&self) -> io::Result<()> {
        for (number, entry) in self.entries.iter().enumerate() {
            let mut login = self.login("load");
            login.entries = vec![*entry];
            let deadline = time::Instant::now() + WRITE_TIMEOUT;
            let mut attempt = 0;
            loop {
                attempt += 1;
                let mut session = session::ClientSession::new(login.clone(), 0);
                let sql = format!("INSERT INTO ready (k, v) VALUES ('{number}-{attempt}', '')");
                match session.run(&sql).await {
                    Ok(_) => break,
                    Err(outcome) if time::Instant::now() > deadline => {
                        return Err(io::Error::other(format!(
                            "entry {entry} accepts no write: {outcome:?}"
                        )));
                    }
                    Err(_) => tokio::time::sleep(time::Duration::from_millis(50)).await,
                }
            }
        }
        Ok(())
    }

    /// Returns a login of a user to [`GROUP`] through the entries.
    #[must_use]
    pub fn login(&self, user: &str) -> session::ClientLogin {
        session::ClientLogin {
            entries: self.entries.clone(),
            user: user.to_owned(),
            password: PASSWORD.to_owned(),
            database: GROUP.to_owned(),
            options: String::new(),
        }
    }

    /// Returns a login to an upstream of [`GROUP`] that bypasses the proxy.
    ///
    /// # Errors
    ///
    /// Fails if the upstream is not running.
    pub fn direct_login(&self, upstream: &str) -> io::Result<session::ClientLogin> {
        Ok(session::ClientLogin {
            entries: vec![self.env.address_for_others(upstream, "listen")?],
            user: test_env::UPSTREAM_USER.to_owned(),
            password: test_env::UPSTREAM_PASSWORD.to_owned(),
            database: GROUP.to_owned(),
            options: String::new(),
        })
    }

    /// Returns the names of the upstreams of [`GROUP`].
    #[must_use]
    pub fn upstreams(&self) -> Vec<String> {
        (1..=3).map(|number| format!("{GROUP}-{number}")).collect()
    }

    /// Reads the journals of the upstreams of [`GROUP`].
    ///
    /// # Errors
    ///
    /// Fails if a journal cannot be read.
    pub fn journals(&self) -> io::Result<Vec<(String, Vec<journal::JournalEvent>)>> {
        self.upstreams()
            .into_iter()
            .map(|upstream| Ok((upstream.clone(), self.env.journal(&upstream)?)))
            .collect()
    }

    /// Returns the upstream that was promoted in the highest term, according to the journals.
    ///
    /// # Errors
    ///
    /// Fails if a journal cannot be read or no upstream was promoted.
    pub fn primary(&self) -> io::Result<String> {
        let mut latest = None;
        for (upstream, events) in self.journals()? {
            for event in events {
                if let journal::JournalEvent::Promote { entry } = event
                    && latest.as_ref().is_none_or(|(term, _)| entry.term > *term)
                {
                    latest = Some((entry.term, upstream.clone()));
                }
            }
        }
        latest
            .map(|(_, upstream)| upstream)
            .ok_or_else(|| io::Error::other("no upstream was promoted"))
    }

    /// Sets a parameter of an upstream, such as `apply_delay_ms`, with the statement `admin_set`.
    ///
    /// # Errors
    ///
    /// Fails if the upstream cannot be reached or rejects the statement.
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

    /// Waits until all upstreams of [`GROUP`] hold and have applied the same log.
    pub async fn wait_in_sync(&self) {
        waiting::until("all upstreams hold the same log", || async {
            let mut log_positions = Vec::new();
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
                log_positions.push((state.applied, state.held));
            }
            log_positions
                .windows(2)
                .all(|pair| pair.first() == pair.last())
        })
        .await;
    }

    /// Copies the logs, journals and other files of all processes to a directory.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be created or a file cannot be copied.
    pub fn copy_logs(&self, target: &path::Path) -> io::Result<()> {
        std::fs::create_dir_all(target)?;
        for file in std::fs::read_dir(self.env.directory())? {
            let file = file?;
            std::fs::copy(file.path(), target.join(file.file_name()))?;
        }
        Ok(())
    }

    /// Returns how many calls to the platform the VM with the most calls has made so far.
    pub async fn platform_calls_of_busiest_vm(&self) -> f64 {
        let Ok(report) = self.env.platform_counts().await else {
            return 0.0;
        };
        let calls_per_vm = report
            .calls
            .iter()
            .filter(|(vm, _)| vm.starts_with("vm-"))
            .map(|(_, calls)| calls.values().sum::<u64>());
        calls_per_vm.max().unwrap_or_default() as f64
    }
}

/// Delays the connections of a link that come from other data centres, as the profile says.
pub fn delay_link(link: &fault_link::FaultLink, profile: &profile::DeploymentProfile) {
    let net::IpAddr::V4(address) = link.address().ip() else {
        return;
    };
    let [_, _, link_centre, _] = address.octets();
    for source in source_addresses(profile) {
        let net::IpAddr::V4(address) = source else {
            continue;
        };
        let [_, _, centre, _] = address.octets();
        let rule = (centre != link_centre).then(|| fault_link::LinkRule {
            delay: profile.data_centre_delay,
            ..fault_link::LinkRule::default()
        });
        link.set_source(source, rule);
    }
}

/// Cuts all connections of a link.
pub fn cut_link(link: &fault_link::FaultLink, profile: &profile::DeploymentProfile) {
    let rule = fault_link::LinkRule {
        cut: true,
        ..fault_link::LinkRule::default()
    };
    link.set_all(rule);
    for source in source_addresses(profile) {
        link.set_source(source, Some(rule));
    }
}

/// Returns the addresses from which VMs and upstreams connect.
fn source_addresses(profile: &profile::DeploymentProfile) -> impl Iterator<Item = net::IpAddr> {
    let centres = 1..=u8::try_from(profile.data_centres).unwrap_or(u8::MAX);
    centres.flat_map(|centre| {
        let hosts = (1..=9).chain(101..=109);
        hosts.map(move |host| net::IpAddr::from([127, 0, centre, host]))
    })
}

fn rules_text(plan: &DeploymentPlan) -> String {
    let verifier = scram_verifier::ScramVerifier::derive(PASSWORD, b"load-environment", 4096);
    let mut text = plan.rules.clone();
    let default_customer = [("load".to_owned(), String::new())];
    for (customer, fields) in default_customer.iter().chain(&plan.customers) {
        text.push_str(&format!(
            "customer {customer} {fields} # asked for by: load\n\
             login {customer} customer={customer} verifier={verifier} # asked for by: load\n"
        ));
    }
    text
}

fn whole_milliseconds(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
