//! Tests of the membership with real daemons: a VM flaps, or the platform's list is out of date or
//! names a dead VM. The owners of upstreams and the entries' routes have to follow.

use std::collections;

use persimmontack::decide::ownership;
use persimmontack::model::upstream_spec;
use testenv::{env_plan, test_env, waiting};

async fn start(vms: &[usize]) -> test_env::TestEnv {
    let plan = env_plan::EnvPlan::new(vms)
        .group("proofs", |_index, _upstream| {})
        .rules(&env_plan::login_rules("clerk", "pencil"));
    let env = test_env::TestEnv::start(plan).await.expect("start");
    env.wait_ready().await;
    env
}

/// Returns the VM of the pool and the upstream to which the entry of `vm` would send a write.
async fn route(env: &test_env::TestEnv, vm: &str) -> Option<(String, String)> {
    let address = env
        .address_for_others(&format!("{vm}-entry"), "link")
        .ok()?;
    let address = address.to_string();
    let explain = [
        "explain",
        "--json",
        "--entry",
        &address,
        "--user",
        "clerk",
        "--database",
        "proofs",
        "INSERT INTO proofs (k, v) VALUES ('a', 'b')",
    ];
    let output = env.ctl(&explain).await.ok()?;
    let route: serde_json::Value = serde_json::from_slice(&output.stdout).ok()?;
    let text = |key: &str| Some(route.get(key)?.as_str()?.to_owned());
    Some((text("pool")?, text("upstream")?))
}

/// Waits until all entries route writes to the pool that ranks first among the VMs in `alive`.
async fn wait_routes(env: &test_env::TestEnv, alive: &[&str]) {
    let platform = env.platform().expect("platform");
    let records = platform.vms().await.expect("VMs").into_iter();
    let records: Vec<_> = records
        .filter(|record| alive.contains(&record.vm.as_str()))
        .collect();
    let groups = platform.groups().await.expect("groups");
    let owners: collections::BTreeMap<&str, &str> = groups
        .iter()
        .flat_map(|group| &group.upstreams)
        .map(|spec: &upstream_spec::UpstreamSpec| {
            let ranked = ownership::rank_owners(spec, &records);
            (
                spec.upstream.as_str(),
                ranked.first().expect("a VM").vm.as_str(),
            )
        })
        .collect();
    for vm in alive {
        waiting::until(
            &format!("the entry of {vm} routes to the owner"),
            async || {
                route(env, vm).await.is_some_and(|(pool, upstream)| {
                    owners.get(upstream.as_str()) == Some(&pool.as_str())
                })
            },
        )
        .await;
    }
}

/// Guards against routing to a dead VM because the platform's list still names it, against a VM
/// that owns nothing after its return, and against entries that keep old routes. A VM that flaps
/// must not affect the others.
#[tokio::test]
async fn entries_follow_a_listed_vm_that_dies_and_flaps() {
    let mut env = start(&[2, 1]).await;
    let all = env.vm_names();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    wait_routes(&env, &all).await;
    let others = ["vm-1-1", "vm-2-1"];
    for _ in 0..3 {
        for daemon in ["keeper", "pool", "entry"] {
            env.kill(&format!("vm-1-2-{daemon}")).expect("kill");
        }
        env.wait_alive(&others, &others).await;
        wait_routes(&env, &others).await;
        for daemon in ["keeper", "pool", "entry"] {
            let name = format!("vm-1-2-{daemon}");
            env.processes().restart(&name).await.expect("restart");
        }
        env.post_vms().await.expect("VMs");
        env.wait_alive(&all, &all).await;
        wait_routes(&env, &all).await;
    }
}

/// Guards against a live VM that loses its upstreams because an outdated list does not name it.
#[tokio::test]
async fn a_live_vm_missing_from_the_list_keeps_its_upstreams() {
    let env = start(&[2, 1]).await;
    let all = env.vm_names();
    let all: Vec<&str> = all.iter().map(String::as_str).collect();
    env.wait_alive(&all, &all).await;
    let platform = env.platform().expect("platform");
    let mut records = platform.vms().await.expect("VMs");
    records.retain(|record| record.vm != "vm-1-2");
    // A VM that only the new list names shows whether a keeper has read that list.
    let mut marker = records[0].clone();
    marker.vm = "vm-9-9".to_owned();
    records.push(marker);
    env.post_vm_records(&records).await.expect("VMs");
    for vm in &all {
        waiting::until(&format!("{vm} has read the list"), async || {
            let report = env.status(vm).await.expect("status");
            report.vms.iter().any(|status| status.vm == "vm-9-9")
        })
        .await;
        let report = env.status(vm).await.expect("status");
        let own = report.vms.iter().find(|status| status.vm == "vm-1-2");
        assert!(
            own.is_some_and(|status| status.alive),
            "{vm} does not report vm-1-2 as alive"
        );
    }
}
