//! Test environments whose rules revisions differ in the logins that the entries accept.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use standins::platform::fault_plan;
use testenv::{env_plan, test_env, waiting};

/// The platform refuses all requests.
pub const OUTAGE: fault_plan::FaultPlan = fault_plan::FaultPlan {
    outage: fault_plan::OutageKind::Refuse,
    slow_ms: 0,
    lost_answers: 0,
};

/// Returns rules under which these users can log in.
pub fn rules(users: &[&str]) -> String {
    users
        .iter()
        .map(|user| env_plan::login_rules(user, "pencil"))
        .collect()
}

/// Starts an environment with these numbers of VMs for the data centres and waits until user
/// `clerk` can log in everywhere.
pub async fn start(vms: &[usize], links: bool) -> test_env::TestEnv {
    let mut plan = env_plan::EnvPlan::new(vms)
        .group("proofs", |_index, _upstream| {})
        .rules(&rules(&["clerk"]));
    plan.fault_links = links;
    let env = test_env::TestEnv::start(plan).await.expect("start");
    env.wait_ready().await;
    wait_login(&env, &env.vm_names(), "clerk", true).await;
    env
}

/// Returns the address of a VM's entry.
pub fn entry_address(env: &test_env::TestEnv, vm: &str) -> net::SocketAddr {
    env.entry_address(vm).expect("entry")
}

/// Returns whether the entry accepts the login, or `None` if it answers with another error.
pub async fn accepts_login(address: net::SocketAddr, user: &str) -> Option<bool> {
    match test_env::connect_to(address, user, "pencil", "proofs", "").await {
        Ok(_client) => Some(true),
        Err(error) => match error.code().map(|state| state.code().to_owned())?.as_str() {
            "28P01" | "28000" => Some(false),
            _ => None,
        },
    }
}

/// Waits until the entries of these VMs accept the login, or refuse it if `accepted` is false.
pub async fn wait_login(env: &test_env::TestEnv, vms: &[String], user: &str, accepted: bool) {
    for vm in vms {
        waiting::until(&format!("{vm} accepts {user}: {accepted}"), async || {
            accepts_login(entry_address(env, vm), user).await == Some(accepted)
        })
        .await;
    }
}

/// Logs in at every entry repeatedly and records each entry whose answer changes back, because
/// older rules have come into force there.
pub struct LoginWatch {
    ended: sync::Arc<atomic::AtomicBool>,
    task: tokio::task::JoinHandle<(u32, collections::BTreeSet<net::SocketAddr>)>,
}

impl LoginWatch {
    /// Starts the watch. With `accepted`, the new rules accept the login, which the old ones
    /// refuse; without it, the other way round.
    pub fn start(env: &test_env::TestEnv, user: &str, accepted: bool) -> Self {
        let ended = sync::Arc::new(atomic::AtomicBool::new(false));
        let addresses: Vec<_> = env
            .vm_names()
            .iter()
            .map(|vm| entry_address(env, vm))
            .collect();
        let (user, over) = (user.to_owned(), sync::Arc::clone(&ended));
        let task = tokio::spawn(async move {
            let (mut answers, mut changed) = (0, collections::BTreeSet::new());
            let mut reverted = collections::BTreeSet::new();
            while !over.load(atomic::Ordering::Relaxed) {
                for address in &addresses {
                    let Some(now) = accepts_login(*address, &user).await else {
                        continue;
                    };
                    answers += 1;
                    if now == accepted {
                        changed.insert(*address);
                    } else if changed.contains(address) {
                        reverted.insert(*address);
                    }
                }
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
            (answers, reverted)
        });
        Self { ended, task }
    }

    /// Ends the watch and asserts that no entry went back to older rules.
    pub async fn finish(self) {
        self.ended.store(true, atomic::Ordering::Relaxed);
        let (answers, reverted) = self.task.await.expect("watch");
        assert!(answers > 0, "the watch got no answer to a login");
        assert!(reverted.is_empty(), "rules reverted at {reverted:?}");
    }
}
