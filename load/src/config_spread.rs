//! Measures the time from when a configuration is accepted until it is in force on all VMs.
//!
//! Each change adds or removes one login. It is in force once every entry accepts or rejects the
//! login accordingly and every VM reports the revision. This must take no longer than 4 s.

use std::io;
use std::net;
use std::time;

use gumdrop::Options;
use testenv::{env_plan, test_env, waiting};

/// Longest time until a change is in force.
const SPREAD_LIMIT: time::Duration = time::Duration::from_secs(4);
/// Time between two login attempts at an entry.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);
const CHANGED_USER: &str = "visitor";
const PASSWORD: &str = "pencil";

#[derive(Debug, Options)]
struct SpreadOptions {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "number of changes in each case", default = "100")]
    changes: usize,
    #[options(no_short, help = "data centres", default = "3")]
    centres: usize,
    #[options(no_short, help = "VMs in each data centre", default = "2")]
    vms: usize,
}

/// Fault injected before each change.
#[derive(Clone, Copy, Debug, derive_more::Display)]
#[display(rename_all = "snake_case")]
enum SpreadCase {
    /// No fault.
    Quiet,
    /// All open connections to the platform stop carrying data and stay open; new ones work.
    SilentPlatform,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let options = SpreadOptions::parse_args_default_or_exit();
    let mut limit_exceeded = false;
    for case in [SpreadCase::Quiet, SpreadCase::SilentPlatform] {
        let mut times = measure(case, &options).await?;
        times.sort_unstable();
        let percentile_ms = |percent: usize| {
            let index = times.len().saturating_sub(1) * percent / 100;
            times.get(index).copied().unwrap_or_default().as_millis()
        };
        let over_limit = times.iter().filter(|time| **time > SPREAD_LIMIT).count();
        println!(
            "case={case} changes={} p50_ms={} p99_ms={} max_ms={} over_bound={over_limit}",
            times.len(),
            percentile_ms(50),
            percentile_ms(99),
            percentile_ms(100),
        );
        limit_exceeded |= over_limit > 0;
    }
    if limit_exceeded {
        return Err(io::Error::other(
            "a change took longer than 4 s to be in force",
        ));
    }
    Ok(())
}

async fn measure(case: SpreadCase, options: &SpreadOptions) -> io::Result<Vec<time::Duration>> {
    let base_rules = env_plan::login_rules("clerk", PASSWORD);
    let rules_with_user = format!(
        "{base_rules}{}",
        env_plan::login_rules(CHANGED_USER, PASSWORD)
    );
    let plan = env_plan::EnvPlan::new(&vec![options.vms; options.centres])
        .group("proofs", |_index, _upstream| {})
        .rules(&base_rules)
        .with_fault_links();
    let env = test_env::TestEnv::start(plan).await?;
    env.wait_ready().await;
    let mut times = Vec::new();
    for number in 0..options.changes {
        let user_exists = number % 2 == 0;
        if matches!(case, SpreadCase::SilentPlatform) {
            env.link(test_env::PLATFORM, "listen")?.silence_open(None);
        }
        let revision = env
            .apply_rules(if user_exists {
                &rules_with_user
            } else {
                &base_rules
            })
            .await?;
        let accepted = time::Instant::now();
        let checks = env.vms().iter().map(async |vm_plan| {
            let address = env.entry_address(&vm_plan.vm)?;
            while accepts_login(address).await != Some(user_exists) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            waiting::until("the revision to be reported", async || {
                env.revisions(&vm_plan.vm).await == Some([Some(revision); 3])
            })
            .await;
            Ok::<_, io::Error>(accepted.elapsed())
        });
        let times_by_vm = futures::future::try_join_all(checks).await?;
        times.extend(times_by_vm.into_iter().max());
    }
    Ok(times)
}

/// Returns whether the entry accepts the login, or `None` if the attempt fails for another reason.
async fn accepts_login(address: net::SocketAddr) -> Option<bool> {
    match test_env::connect_to(address, CHANGED_USER, PASSWORD, "proofs", "").await {
        Ok(_client) => Some(true),
        Err(error) => (error.code()?.code() == "28P01").then_some(false),
    }
}
