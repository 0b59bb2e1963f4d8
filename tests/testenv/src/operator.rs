//! Operators' actions in an environment: running `persimmonctl`, replacing VMs, and reading the
//! status reports of keepers.

use std::fmt;
use std::io;
use std::net;
use std::process;
use std::time;

use persimmontack::dial;
use persimmontack::link::{client, control, hello, link_error, stream_kind};
use persimmontack::model::ids;

use crate::child_process;
use crate::test_env;
use crate::waiting;

/// Added to the last byte of a replaced VM's address to form the address of the new VM.
const REPLACED_HOST: u8 = 50;

impl test_env::TestEnv {
    /// Runs `persimmonctl` against the platform, and returns its exit status and output.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub async fn ctl(&self, arguments: &[&str]) -> io::Result<process::Output> {
        let platform = self.processes.address(test_env::PLATFORM, "listen")?;
        tokio::process::Command::new(child_process::program_path("persimmonctl")?)
            .env_clear()
            .env("PERSIMMON_PLATFORM", platform.to_string())
            .args(arguments)
            .stdin(process::Stdio::null())
            .kill_on_drop(true)
            .output()
            .await
    }

    /// Kills all daemons of the VMs and replaces the VMs by new ones in the same data centres, with
    /// new names and addresses and without any state of the old ones.
    ///
    /// # Errors
    ///
    /// Fails if a VM is unknown or a process does not start.
    pub async fn replace_vms(&mut self, names: &[&str]) -> io::Result<()> {
        for name in names {
            for daemon in ["keeper", "pool", "entry"] {
                self.processes.remove(&format!("{name}-{daemon}"))?;
                self.links.remove(&format!("{name}-{daemon}/link"));
            }
        }
        let (old, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.vms)
            .into_iter()
            .partition(|vm_plan| names.contains(&vm_plan.vm.as_str()));
        self.vms = kept;
        for vm_plan in old {
            let net::IpAddr::V4(source) = vm_plan.source else {
                return Err(io::Error::other("VMs have IPv4 addresses"));
            };
            let [first, second, network, host] = source.octets();
            let vm = test_env::VmPlan {
                vm: format!("{}-new", vm_plan.vm),
                source: [first, second, network, host + REPLACED_HOST].into(),
                ..vm_plan
            };
            self.start_keeper(&vm, &[]).await?;
            self.start_daemon(&vm, "pool", false).await?;
            self.start_daemon(&vm, "entry", true).await?;
            self.vms.push(vm);
        }
        self.vms.sort_by(|left, right| left.vm.cmp(&right.vm));
        self.post_vms().await
    }

    /// Returns the address at which the entry of a VM listens for clients.
    ///
    /// # Errors
    ///
    /// Fails if the VM has no entry.
    pub fn entry_address(&self, vm: &str) -> io::Result<net::SocketAddr> {
        self.processes.address(&format!("{vm}-entry"), "listen")
    }

    /// Connects to the link listener of the process `name` as `program` on `vm` would.
    ///
    /// # Errors
    ///
    /// Fails if the process has no link listener or does not answer.
    pub async fn link_client(
        &self,
        name: &str,
        vm: &str,
        program: &str,
    ) -> Result<client::PeerClient, link_error::LinkError> {
        let address = self.processes.address(name, "link").map_err(|error| {
            link_error::LinkError::new(link_error::LinkStep::Connect, name, error)
        })?;
        let dialer = dial::TcpDialer {
            source: None,
            timeout: time::Duration::from_secs(5),
        };
        client::PeerClient::connect(&dialer, address, &hello::Hello::new(vm, program)).await
    }

    /// Requests the status of a VM's keeper, without going through the fault links.
    ///
    /// # Errors
    ///
    /// Fails if the keeper does not answer.
    pub async fn status(&self, vm: &str) -> Result<control::StatusReport, link_error::LinkError> {
        // Connects as a keeper, so that the request is not forwarded.
        let client = self
            .link_client(&format!("{vm}-keeper"), "", "persimmon-keeper")
            .await?;
        let (mut writer, mut reader) = client.open(stream_kind::StreamKind::Control).await?;
        writer.send_last(&control::ControlRequest::Status).await?;
        match reader.expect().await? {
            control::ControlReply::Status(report) => Ok(report),
            other => Err(link_error::LinkError::new(
                link_error::LinkStep::Receive,
                vm,
                format!("{other:?}"),
            )),
        }
    }

    /// Waits until each of the keepers reports exactly these VMs as alive.
    ///
    /// # Panics
    ///
    /// Panics if one does not in time.
    pub async fn wait_alive<S: AsRef<str> + fmt::Debug>(&self, keepers: &[S], alive: &[S]) {
        for keeper in keepers {
            let keeper = keeper.as_ref();
            let what = format!("{keeper} reports {alive:?} as alive");
            waiting::until(&what, async || {
                let Ok(report) = self.status(keeper).await else {
                    return false;
                };
                let alive_vms = report.vms.iter().filter(|status| status.alive);
                alive_vms
                    .map(|status| status.vm.as_str())
                    .eq(alive.iter().map(AsRef::as_ref))
            })
            .await;
        }
    }

    /// Returns the rule revisions that a VM's keeper reports for itself, its entry and its pool.
    pub async fn revisions(&self, vm: &str) -> Option<[Option<ids::RuleRevision>; 3]> {
        let report = self.status(vm).await.ok()?;
        let own = report.vms.into_iter().find(|status| status.vm == vm)?;
        Some([
            Some(own.keeper_revision),
            own.entry_revision,
            own.pool_revision,
        ])
    }

    /// Waits until the rule revision is in force on the keeper, entry and pool of each of the VMs.
    ///
    /// # Panics
    ///
    /// Panics if the revision is not in force in time.
    pub async fn wait_in_force(&self, vms: &[&str], revision: ids::RuleRevision) {
        for vm in vms {
            waiting::until(&format!("revision {revision} on {vm}"), async || {
                self.revisions(vm).await == Some([Some(revision); 3])
            })
            .await;
        }
    }
}
