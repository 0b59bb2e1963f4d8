//! [`EnvPlan`]: the VMs, groups, daemons and settings of an environment.

use std::collections;

/// An upstream of a group.
#[derive(Clone, Debug)]
pub struct UpstreamPlan {
    /// Its name.
    pub upstream: String,
    /// Number of its data centre, from 0.
    pub data_centre: usize,
    /// Number of statements that run concurrently.
    pub slots: u32,
    /// Largest number of connections that the upstream accepts.
    pub connections: u32,
    /// Time to open a connection, in milliseconds.
    pub open_delay_ms: u64,
    /// Delay until a replica receives a log entry, in milliseconds.
    pub receive_delay_ms: u64,
    /// Delay until a replica applies a received log entry, in milliseconds.
    pub apply_delay_ms: u64,
    /// Time for which each statement holds its slot, in microseconds.
    pub statement_us: u64,
    /// Whether statements are written to the journal.
    pub journal_statements: bool,
}

impl UpstreamPlan {
    /// Plans an upstream without delays.
    #[must_use]
    pub fn new(upstream: &str, data_centre: usize) -> Self {
        Self {
            upstream: upstream.to_owned(),
            data_centre,
            slots: 3,
            connections: 20,
            open_delay_ms: 0,
            receive_delay_ms: 0,
            apply_delay_ms: 0,
            statement_us: 0,
            journal_statements: true,
        }
    }
}

/// A replication group.
#[derive(Clone, Debug)]
pub struct GroupPlan {
    /// Its name.
    pub group: String,
    /// Its databases.
    pub databases: Vec<String>,
    /// Its upstreams.
    pub upstreams: Vec<UpstreamPlan>,
}

/// Which daemons are started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonSet {
    /// Only the stand-ins.
    None,
    /// The stand-ins and the keepers.
    Keepers,
    /// All daemons and stand-ins.
    All,
}

/// The VMs, groups, daemons and settings of an environment. VMs are named
/// `vm-<data centre>-<n>`, data centres `dc-<data centre>`, all counted from 1.
#[derive(Clone, Debug)]
pub struct EnvPlan {
    /// Number of VMs in each data centre.
    pub vms: Vec<usize>,
    /// Replication groups.
    pub groups: Vec<GroupPlan>,
    /// Text of the rules file that is in force at the start; empty for none.
    pub rules_text: String,
    /// Whether there is a fault link in front of each listener that other machines use.
    pub fault_links: bool,
    /// Which daemons are started.
    pub daemons: DaemonSet,
    /// Delay until the platform's VM list shows a change, in milliseconds.
    pub vm_lag_ms: u64,
    /// Writes that the platform serves per second.
    pub writes_per_second: u32,
    /// Reads that the platform serves per second.
    pub reads_per_second: u32,
    /// TOML that is appended to the settings files of a program, by program name.
    pub settings: collections::HashMap<String, String>,
    /// `RUST_LOG` of all processes; level `info` must be enabled, because addresses are
    /// read from the log.
    pub log: String,
}

impl EnvPlan {
    /// Plans an environment with the given number of VMs in each data centre and no groups.
    #[must_use]
    pub fn new(vms: &[usize]) -> Self {
        Self {
            vms: vms.to_vec(),
            groups: Vec::new(),
            rules_text: String::new(),
            fault_links: false,
            daemons: DaemonSet::All,
            vm_lag_ms: 0,
            writes_per_second: 400,
            reads_per_second: 2000,
            settings: collections::HashMap::new(),
            log: "info".to_owned(),
        }
    }

    /// Adds a group with one database of the same name and three upstreams `<group>-1` to
    /// `<group>-3`, distributed over the data centres. `adjust` is called with the index and plan
    /// of each upstream.
    #[must_use]
    pub fn group(mut self, group: &str, adjust: impl Fn(usize, &mut UpstreamPlan)) -> Self {
        let upstreams = (0..3)
            .map(|index| {
                let name = format!("{group}-{}", index + 1);
                let mut plan = UpstreamPlan::new(&name, index % self.vms.len());
                adjust(index, &mut plan);
                plan
            })
            .collect();
        self.groups.push(GroupPlan {
            group: group.to_owned(),
            databases: vec![group.to_owned()],
            upstreams,
        });
        self
    }

    /// Sets the rules that are in force at the start.
    #[must_use]
    pub fn rules(mut self, text: &str) -> Self {
        text.clone_into(&mut self.rules_text);
        self
    }

    /// Puts a fault link in front of each listener.
    #[must_use]
    pub const fn with_fault_links(mut self) -> Self {
        self.fault_links = true;
        self
    }

    /// Sets which daemons are started.
    #[must_use]
    pub const fn with_daemons(mut self, daemons: DaemonSet) -> Self {
        self.daemons = daemons;
        self
    }
}

/// Returns the lines of a rules file for a customer named `user` with one login.
#[must_use]
pub fn login_rules(user: &str, password: &str) -> String {
    // A fixed salt and few iterations keep test logins cheap.
    let verifier = persimmontack::rules::scram_verifier::ScramVerifier::derive(
        password,
        b"test-environment",
        4096,
    );
    format!(
        "customer {user} # asked for by: tests\n\
         login {user} customer={user} verifier={verifier} # asked for by: tests\n"
    )
}
