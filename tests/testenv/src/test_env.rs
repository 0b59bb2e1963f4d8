//! [`TestEnv`]: starts and controls the processes of an environment.

use std::collections;
use std::io;
use std::net;
use std::path;

use standins::fault_link;
use standins::instance::journal;

use crate::env_plan;
use crate::http_call;
use crate::process_set;
use crate::waiting;

/// Name of the platform's process.
pub const PLATFORM: &str = "platform";
/// User name with which pools and keepers log in to the upstreams.
pub const UPSTREAM_USER: &str = "pool";
/// Password of [`UPSTREAM_USER`].
pub const UPSTREAM_PASSWORD: &str = "pool-secret";
/// Last byte of the address of a data centre's first upstream. Those of VMs start at 1.
const UPSTREAM_HOST: u8 = 101;

/// Name, data centre and address of a VM.
#[derive(Clone, Debug)]
pub struct VmPlan {
    /// Its name.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its loopback address.
    pub source: net::IpAddr,
}

/// A running environment. The platform's process is named `platform`, an instance is named like its
/// upstream, and daemons are named `<vm>-keeper`, `<vm>-pool` and `<vm>-entry`. All processes are
/// killed when the environment is dropped.
#[derive(Debug)]
pub struct TestEnv {
    pub(crate) plan: env_plan::EnvPlan,
    pub(crate) processes: process_set::ProcessSet,
    pub(crate) links: collections::BTreeMap<String, fault_link::FaultLink>,
    pub(crate) vms: Vec<VmPlan>,
    pub(crate) leaving: collections::BTreeSet<String>,
    // Declared last, so that the processes are dropped before their files are deleted.
    directory: tempfile::TempDir,
}

impl TestEnv {
    /// Starts the processes of the plan and posts the group and VM lists to the platform.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start.
    pub async fn start(plan: env_plan::EnvPlan) -> io::Result<Self> {
        let directory = tempfile::tempdir()?;
        let mut env = Self {
            processes: process_set::ProcessSet::new(directory.path(), &plan.log),
            links: collections::BTreeMap::new(),
            vms: vm_plans(&plan),
            leaving: collections::BTreeSet::new(),
            directory,
            plan,
        };
        env.start_platform().await?;
        env.start_instances().await?;
        env.post_groups().await?;
        if !env.plan.rules_text.is_empty() {
            let text = env.plan.rules_text.clone();
            env.apply_rules(&text).await?;
        }
        if env.plan.daemons != env_plan::DaemonSet::None {
            env.start_keepers().await?;
        }
        if env.plan.daemons == env_plan::DaemonSet::All {
            for vm in env.vms.clone() {
                env.start_daemon(&vm, "pool", false).await?;
            }
            for vm in env.vms.clone() {
                env.start_daemon(&vm, "entry", true).await?;
            }
        }
        env.post_vms().await?;
        Ok(env)
    }

    async fn start_platform(&mut self) -> io::Result<()> {
        let mut settings = toml::Table::new();
        settings.insert("listen".to_owned(), "127.0.0.1:0".into());
        settings.insert("vm_lag_ms".to_owned(), toml_number(self.plan.vm_lag_ms));
        for (key, rate) in [
            ("writes_per_second", self.plan.writes_per_second),
            ("reads_per_second", self.plan.reads_per_second),
        ] {
            settings.insert(key.to_owned(), i64::from(rate).into());
        }
        self.add_process(PLATFORM, "standin-platform", settings, &["listen"])
            .await
    }

    async fn start_instances(&mut self) -> io::Result<()> {
        let mut used = vec![0_u8; self.plan.vms.len()];
        for upstream in self.upstream_plans() {
            let count = used.get_mut(upstream.data_centre).ok_or_else(|| {
                io::Error::other(format!("{}: no such data centre", upstream.upstream))
            })?;
            let source =
                loopback_address(upstream.data_centre, UPSTREAM_HOST.saturating_add(*count));
            *count += 1;
            let journal = self.journal_path(&upstream.upstream);
            let mut settings = toml::Table::new();
            for (key, text) in [
                ("upstream", upstream.upstream.clone()),
                ("listen", format!("{source}:0")),
                ("source", source.to_string()),
                ("user", UPSTREAM_USER.to_owned()),
                ("password", UPSTREAM_PASSWORD.to_owned()),
                ("journal", journal.display().to_string()),
            ] {
                settings.insert(key.to_owned(), text.into());
            }
            for (key, number) in [
                ("slots", u64::from(upstream.slots)),
                ("max_connections", u64::from(upstream.connections)),
                ("open_delay_ms", upstream.open_delay_ms),
                ("receive_delay_ms", upstream.receive_delay_ms),
                ("apply_delay_ms", upstream.apply_delay_ms),
                ("statement_us", upstream.statement_us),
            ] {
                settings.insert(key.to_owned(), toml_number(number));
            }
            settings.insert(
                "journal_statements".to_owned(),
                upstream.journal_statements.into(),
            );
            self.add_process(
                &upstream.upstream,
                "standin-instance",
                settings,
                &["listen"],
            )
            .await?;
        }
        Ok(())
    }

    async fn start_keepers(&mut self) -> io::Result<()> {
        let mut peers: Vec<toml::Value> = Vec::new();
        for vm in self.vms.clone() {
            let address = self.start_keeper(&vm, &peers).await?;
            peers.push(address.to_string().into());
        }
        Ok(())
    }

    pub(crate) async fn start_keeper(
        &mut self,
        vm: &VmPlan,
        peers: &[toml::Value],
    ) -> io::Result<net::SocketAddr> {
        let mut settings = daemon_settings(vm);
        let platform = self.address_for_others(PLATFORM, "listen")?;
        settings.insert("platform".to_owned(), platform.to_string().into());
        settings.insert("peers".to_owned(), peers.to_vec().into());
        settings.insert("upstream".to_owned(), upstream_account().into());
        let name = format!("{}-keeper", vm.vm);
        self.add_process(&name, "persimmon-keeper", settings, &["link"])
            .await?;
        self.address_for_others(&name, "link")
    }

    pub(crate) async fn start_daemon(
        &mut self,
        vm: &VmPlan,
        daemon: &str,
        listens: bool,
    ) -> io::Result<()> {
        let mut settings = daemon_settings(vm);
        let keeper = self
            .processes
            .address(&format!("{}-keeper", vm.vm), "link")?;
        settings.insert("keeper".to_owned(), keeper.to_string().into());
        if listens {
            settings.insert("listen".to_owned(), format!("{}:0", vm.source).into());
        } else {
            settings.insert("upstream".to_owned(), upstream_account().into());
        }
        let program = format!("persimmon-{daemon}");
        self.add_process(
            &format!("{}-{daemon}", vm.vm),
            &program,
            settings,
            &["link"],
        )
        .await
    }

    async fn add_process(
        &mut self,
        name: &str,
        program: &str,
        settings: toml::Table,
        listeners: &[&str],
    ) -> io::Result<()> {
        let extra = self.plan.settings.get(program).cloned().unwrap_or_default();
        self.processes.add(name, program, settings, &extra).await?;
        if self.plan.fault_links {
            for what in listeners {
                let target = self.processes.address(name, what)?;
                let link = fault_link::FaultLink::start(target.ip(), target).await?;
                self.links.insert(format!("{name}/{what}"), link);
            }
        }
        Ok(())
    }

    /// Returns the plan.
    #[must_use]
    pub const fn plan(&self) -> &env_plan::EnvPlan {
        &self.plan
    }

    /// Returns the VMs.
    #[must_use]
    pub fn vms(&self) -> &[VmPlan] {
        &self.vms
    }

    /// Returns the names of the VMs.
    #[must_use]
    pub fn vm_names(&self) -> Vec<String> {
        self.vms.iter().map(|plan| plan.vm.clone()).collect()
    }

    /// Returns the directory with settings, journals and stderr files.
    #[must_use]
    pub fn directory(&self) -> &path::Path {
        self.directory.path()
    }

    /// Returns the processes.
    pub const fn processes(&mut self) -> &mut process_set::ProcessSet {
        &mut self.processes
    }

    /// Returns the fault link in front of a listener, e.g. `ledger-1`, `listen` or
    /// `vm-1-1-keeper`, `link`.
    ///
    /// # Errors
    ///
    /// Fails if the listener has no fault link.
    pub fn link(&self, name: &str, what: &str) -> io::Result<&fault_link::FaultLink> {
        self.links
            .get(&format!("{name}/{what}"))
            .ok_or_else(|| io::Error::other(format!("{name} has no fault link for {what}")))
    }

    /// Returns all fault links by `<process>/<listener>`.
    #[must_use]
    pub const fn links(&self) -> &collections::BTreeMap<String, fault_link::FaultLink> {
        &self.links
    }

    /// Returns the address at which other machines reach a listener: that of its fault link, if
    /// there is one.
    ///
    /// # Errors
    ///
    /// Fails if the process has no such listener.
    pub fn address_for_others(&self, name: &str, what: &str) -> io::Result<net::SocketAddr> {
        match self.links.get(&format!("{name}/{what}")) {
            Some(link) => Ok(link.address()),
            None => self.processes.address(name, what),
        }
    }

    /// Kills a process with SIGKILL.
    ///
    /// # Errors
    ///
    /// Fails if the name is unknown.
    pub fn kill(&mut self, name: &str) -> io::Result<()> {
        self.processes.get_mut(name)?.kill()
    }

    /// Sends a signal to a process, e.g. `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Fails if the name is unknown or the process is gone.
    pub fn signal(&self, name: &str, signal: &str) -> io::Result<()> {
        self.processes.get(name)?.signal(signal)
    }

    /// Restarts a process, killing it if it still runs, and posts its address to the platform.
    ///
    /// # Errors
    ///
    /// Fails if it does not start.
    pub async fn restart(&mut self, name: &str) -> io::Result<()> {
        self.processes.restart(name).await?;
        for (key, link) in &self.links {
            if let Some((owner, what)) = key.split_once('/')
                && owner == name
            {
                link.set_target(self.processes.address(name, what)?);
            }
        }
        self.post_groups().await?;
        self.post_vms().await
    }

    /// Waits until all entries, pools and keepers are ready.
    ///
    /// # Panics
    ///
    /// Panics if one is not ready in time.
    pub async fn wait_ready(&self) {
        for program in ["persimmon-keeper", "persimmon-pool", "persimmon-entry"] {
            for name in self.processes.names(program) {
                waiting::until(&format!("{name} is ready"), || self.is_ready(&name)).await;
            }
        }
    }

    /// Tells whether a daemon is ready.
    pub async fn is_ready(&self, name: &str) -> bool {
        let Ok(address) = self.processes.address(name, "health") else {
            return false;
        };
        let reply = http_call::call(address, "GET", "/ready", "").await;
        reply.is_ok_and(|(status, _body)| status == 200)
    }

    /// Connects to the entry of a VM as a client.
    ///
    /// # Errors
    ///
    /// Fails if the entry refuses.
    pub async fn connect(
        &self,
        vm: &str,
        user: &str,
        password: &str,
        database: &str,
        options: &str,
    ) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
        let address = self
            .processes
            .address(&format!("{vm}-entry"), "listen")
            .expect("the plan has an entry on this VM");
        connect_to(address, user, password, database, options).await
    }

    /// Connects directly to an instance, without its fault link.
    ///
    /// # Errors
    ///
    /// Fails if the instance refuses.
    pub async fn connect_upstream(
        &self,
        upstream: &str,
    ) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
        let address = self
            .processes
            .address(upstream, "listen")
            .expect("the plan has this upstream");
        connect_to(address, UPSTREAM_USER, UPSTREAM_PASSWORD, "postgres", "").await
    }

    /// Reads the journal of an instance.
    ///
    /// # Errors
    ///
    /// Fails if the journal cannot be read.
    pub fn journal(&self, upstream: &str) -> io::Result<Vec<journal::JournalEvent>> {
        journal::read(&self.journal_path(upstream))
    }

    fn journal_path(&self, upstream: &str) -> path::PathBuf {
        self.directory.path().join(format!("{upstream}.journal"))
    }

    fn upstream_plans(&self) -> Vec<env_plan::UpstreamPlan> {
        let groups = self.plan.groups.iter();
        groups.flat_map(|group| group.upstreams.clone()).collect()
    }
}

/// Connects to a PostgreSQL listener.
///
/// # Errors
///
/// Fails if the peer refuses.
pub async fn connect_to(
    address: net::SocketAddr,
    user: &str,
    password: &str,
    database: &str,
    options: &str,
) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
    let mut config = client_config(address, user, password, database);
    if !options.is_empty() {
        config.options(options);
    }
    let (client, connection) = config.connect(tokio_postgres::NoTls).await?;
    // The client itself reports the end of the connection, so this error is not needed.
    tokio::spawn(async move { connection.await.ok() });
    Ok(client)
}

pub(crate) fn client_config(
    address: net::SocketAddr,
    user: &str,
    password: &str,
    database: &str,
) -> tokio_postgres::Config {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(user)
        .password(password)
        .dbname(database);
    config
}

fn vm_plans(plan: &env_plan::EnvPlan) -> Vec<VmPlan> {
    let mut vm_plans = Vec::new();
    for (data_centre, count) in plan.vms.iter().enumerate() {
        for number in 1..=*count {
            vm_plans.push(VmPlan {
                vm: format!("vm-{}-{number}", data_centre + 1),
                data_centre: data_centre_name(data_centre),
                source: loopback_address(data_centre, u8::try_from(number).unwrap_or(u8::MAX)),
            });
        }
    }
    vm_plans
}

pub(crate) fn data_centre_name(data_centre: usize) -> String {
    format!("dc-{}", data_centre + 1)
}

fn loopback_address(data_centre: usize, host: u8) -> net::IpAddr {
    let network = u8::try_from(data_centre + 1).unwrap_or(u8::MAX);
    net::IpAddr::from([127, 0, network, host])
}

fn daemon_settings(vm: &VmPlan) -> toml::Table {
    let listener = format!("{}:0", vm.source);
    [
        ("vm", vm.vm.clone()),
        ("data_centre", vm.data_centre.clone()),
        ("link", listener.clone()),
        ("health", listener),
        ("source", vm.source.to_string()),
    ]
    .into_iter()
    .map(|(key, text)| (key.to_owned(), text.into()))
    .collect()
}

fn upstream_account() -> toml::Table {
    [("user", UPSTREAM_USER), ("password", UPSTREAM_PASSWORD)]
        .into_iter()
        .map(|(key, text)| (key.to_owned(), text.into()))
        .collect()
}

fn toml_number(number: u64) -> toml::Value {
    i64::try_from(number).unwrap_or(i64::MAX).into()
}
