//! Calls of a [`test_env::TestEnv`] to the platform: lists, faults, counts and rules.

use std::io;
use std::net;
use std::time;

use persimmontack::decide::rule_log;
use persimmontack::dial;
use persimmontack::model::{group_spec, upstream_spec, vm_record};
use persimmontack::platform::{client, kv_entry};
use standins::platform::{call_limits, fault_plan};

use crate::env_plan;
use crate::http_call;
use crate::test_env;

/// Port in the address of a daemon that is not started: the discard port, on which nothing listens.
const NO_LISTENER: u16 = 9;

impl test_env::TestEnv {
    /// Sets or clears the leaving mark of a VM or an upstream in the platform's lists.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn set_leaving(&mut self, name: &str, leaving: bool) -> io::Result<()> {
        if leaving {
            self.leaving.insert(name.to_owned());
        } else {
            self.leaving.remove(name);
        }
        self.post_groups().await?;
        self.post_vms().await
    }

    /// Posts the group list to the platform.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn post_groups(&self) -> io::Result<()> {
        let groups = self
            .plan
            .groups
            .iter()
            .map(|group| {
                let upstreams = group.upstreams.iter().map(|upstream| {
                    Ok(upstream_spec::UpstreamSpec {
                        upstream: upstream.upstream.clone(),
                        data_centre: test_env::data_centre_name(upstream.data_centre),
                        address: self.address_for_others(&upstream.upstream, "listen")?,
                        slots: upstream.slots,
                        connections: upstream.connections,
                        leaving: self.leaving.contains(&upstream.upstream),
                    })
                });
                Ok(group_spec::GroupSpec {
                    group: group.group.clone(),
                    databases: group.databases.clone(),
                    upstreams: upstreams.collect::<io::Result<_>>()?,
                })
            })
            .collect::<io::Result<Vec<_>>>()?;
        self.admin("/admin/groups", &serde_json::to_string(&groups)?)
            .await
    }

    /// Posts the VM list to the platform. Daemons that are not started get an address on which
    /// nothing listens.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn post_vms(&self) -> io::Result<()> {
        if self.plan.daemons == env_plan::DaemonSet::None {
            return Ok(());
        }
        let vms = self
            .vms
            .iter()
            .map(|vm_plan| {
                let link = |daemon: &str| {
                    if self.plan.daemons == env_plan::DaemonSet::Keepers && daemon != "keeper" {
                        return Ok(net::SocketAddr::new(vm_plan.source, NO_LISTENER));
                    }
                    self.address_for_others(&format!("{}-{daemon}", vm_plan.vm), "link")
                };
                Ok(vm_record::VmRecord {
                    vm: vm_plan.vm.clone(),
                    data_centre: vm_plan.data_centre.clone(),
                    leaving: self.leaving.contains(&vm_plan.vm),
                    keeper: link("keeper")?,
                    pool: link("pool")?,
                    entry: link("entry")?,
                })
            })
            .collect::<io::Result<Vec<_>>>()?;
        self.post_vm_records(&vms).await
    }

    /// Posts the given VM list to the platform, e.g. an outdated one.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn post_vm_records(&self, records: &[vm_record::VmRecord]) -> io::Result<()> {
        self.admin("/admin/vms", &serde_json::to_string(records)?)
            .await
    }

    /// Sets the faults that the platform injects.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn set_platform_faults(&self, plan: fault_plan::FaultPlan) -> io::Result<()> {
        self.admin("/admin/faults", &serde_json::to_string(&plan)?)
            .await
    }

    /// Returns the platform's counts of calls and refusals.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
    pub async fn platform_counts(&self) -> io::Result<call_limits::CountReport> {
        let address = self.processes.address(test_env::PLATFORM, "listen")?;
        let (_status, body) = http_call::call(address, "GET", "/admin/counts", "").await?;
        Ok(serde_json::from_str(&body)?)
    }

    async fn admin(&self, path: &str, body: &str) -> io::Result<()> {
        let address = self.processes.address(test_env::PLATFORM, "listen")?;
        match http_call::call(address, "POST", path, body).await? {
            (200, _body) => Ok(()),
            (status, body) => Err(io::Error::other(format!("{path}: {status} {body}"))),
        }
    }

    /// Returns a client of the platform. The platform counts its calls under VM `test`.
    ///
    /// # Errors
    ///
    /// Fails if the platform is not running.
    pub fn platform(&self) -> io::Result<client::PlatformClient> {
        let dialer = dial::TcpDialer {
            source: None,
            timeout: time::Duration::from_secs(5),
        };
        let address = self.processes.address(test_env::PLATFORM, "listen")?;
        Ok(client::PlatformClient::new(address, "test", dialer))
    }

    /// Writes `text` to the platform as the next revision of the rules and returns the revision.
    /// There must be no concurrent writer.
    ///
    /// # Errors
    ///
    /// Fails if the platform refuses the write or another writer has written this revision.
    pub async fn apply_rules(&self, text: &str) -> io::Result<u64> {
        let platform = self.platform()?;
        let listing = platform
            .list(rule_log::LOG_PREFIX)
            .await
            .map_err(io::Error::other)?;
        let mut old = String::new();
        for entry in &listing.entries {
            let change: rule_log::RuleChange = serde_json::from_str(&entry.value)?;
            old = rule_log::apply(&old, &change).map_err(io::Error::other)?;
        }
        let (removed, added) = rule_log::diff(&old, text);
        let revision = u64::try_from(listing.entries.len()).unwrap_or(u64::MAX) + 1;
        let change = rule_log::RuleChange {
            id: format!("test-{revision}"),
            revision,
            author: "test".to_owned(),
            at: 0,
            removed,
            added,
        };
        let body = kv_entry::PutBody {
            value: serde_json::to_string(&change)?,
            expected: Some(0),
            lease: None,
        };
        platform
            .put(&rule_log::log_key(revision), &body)
            .await
            .map_err(io::Error::other)?;
        Ok(revision)
    }
}
