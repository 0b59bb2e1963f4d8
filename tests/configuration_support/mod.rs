//! Environments whose rules are told apart by the logins that the entries take.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use standins::platform::fault_plan;
use testenv::{env_plan, test_env, waiting};

pub const OUTAGE: fault_plan::FaultPlan = fault_plan::FaultPlan {
    outage: fault_plan::OutageKind::Refuse,
    slow_ms: 0,
    lost_answers: 0,
};

pub fn rules(users: &[&str]) -> String {
    users
        .iter()
        .map(|user| env_plan::login_rules(user, "pencil"))
        .collect()
}

pub async fn start(vms: &[usize], links: bool) -> test_env::TestEnv {
    let mut plan = env_plan::EnvPlan::new(vms)
        .group("proofs", |_index, _upstream| {})
        .rules(&rules(&["clerk"]));
    plan.fault_links = links;
    let env = test_env::TestEnv::start(plan).await.expect("start");
    env.wait_ready().await;
    wait_login(&env, &names(&env), "clerk", true).await;
    env
}

pub fn names(env: &test_env::TestEnv) -> Vec<String> {
    env.vms().iter().map(|place| place.vm.clone()).collect()
}

pub fn listen(env: &test_env::TestEnv, vm: &str) -> net::SocketAddr {
    env.entry_address(vm).expect("entry")
}

/// Tells whether the entry takes the login, or `None` if it answers neither way.
pub async fn takes_login(address: net::SocketAddr, user: &str) -> Option<bool> {
    match test_env::connect_to(address, user, "pencil", "proofs", "").await {
        Ok(_client) => Some(true),
        Err(error) => match error.code().map(|state| state.code().to_owned())?.as_str() {
            "28P01" | "28000" => Some(false),
            _ => None,
        },
    }
}

pub async fn wait_login(env: &test_env::TestEnv, vms: &[String], user: &str, taken: bool) {
    for vm in vms {
        waiting::until(&format!("{vm} takes {user}: {taken}"), async || {
            takes_login(listen(env, vm), user).await == Some(taken)
        })
        .await;
    }
}

/// Logs in at every entry over and over and notes each entry that goes back on a login, which
/// shows that older rules have come into force there.
pub struct LoginWatch {
    ended: sync::Arc<atomic::AtomicBool>,
    task: tokio::task::JoinHandle<(u32, collections::BTreeSet<net::SocketAddr>)>,
}

impl LoginWatch {
    /// `taken` tells whether entries change from refusing to taking the login, or the other way.
    pub fn start(env: &test_env::TestEnv, user: &str, taken: bool) -> Self {
        let ended = sync::Arc::new(atomic::AtomicBool::new(false));
        let addresses: Vec<_> = names(env).iter().map(|vm| listen(env, vm)).collect();
        let (user, over) = (user.to_owned(), sync::Arc::clone(&ended));
        let task = tokio::spawn(async move {
            let (mut looks, mut changed) = (0, collections::BTreeSet::new());
            let mut reverted = collections::BTreeSet::new();
            while !over.load(atomic::Ordering::Relaxed) {
                for address in &addresses {
                    let Some(now) = takes_login(*address, &user).await else {
                        continue;
                    };
                    looks += 1;
                    if now == taken {
                        changed.insert(*address);
                    } else if changed.contains(address) {
                        reverted.insert(*address);
                    }
                }
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
            (looks, reverted)
        });
        Self { ended, task }
    }

    pub async fn finish(self) {
        self.ended.store(true, atomic::Ordering::Relaxed);
        let (looks, reverted) = self.task.await.expect("watch");
        assert!(looks > 0, "the watch saw nothing");
        assert!(reverted.is_empty(), "rules reverted at {reverted:?}");
    }
}
