//! Measures the time from the acceptance of a configuration until it is in force everywhere.
//!
//! Each change adds or removes one login. It is in force once every entry acts on it and every VM
//! reports its revision. The stated bound is 4 s.

use std::io;
use std::net;
use std::time;

use gumdrop::Options;
use testenv::{env_plan, test_env, waiting};

/// Stated bound.
const BOUND: time::Duration = time::Duration::from_secs(4);
/// Pause between two looks at an entry.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(5);
const USER: &str = "visitor";
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

/// What happens before each change.
#[derive(Clone, Copy, Debug, derive_more::Display)]
#[display(rename_all = "snake_case")]
enum SpreadCase {
    /// Nothing.
    Quiet,
    /// All open connections to the platform go silent for good; new ones work.
    SilentPlatform,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let options = SpreadOptions::parse_args_default_or_exit();
    let mut late = false;
    for case in [SpreadCase::Quiet, SpreadCase::SilentPlatform] {
        let mut times = measure(case, &options).await?;
        times.sort_unstable();
        let at = |share: usize| {
            let index = times.len().saturating_sub(1) * share / 100;
            times.get(index).copied().unwrap_or_default().as_millis()
        };
        let over = times.iter().filter(|time| **time > BOUND).count();
        println!(
            "case={case} changes={} p50_ms={} p99_ms={} max_ms={} over_bound={over}",
            times.len(),
            at(50),
            at(99),
            at(100),
        );
        late |= over > 0;
    }
    if late {
        return Err(io::Error::other("a change was in force later than 4 s"));
    }
    Ok(())
}

async fn measure(case: SpreadCase, options: &SpreadOptions) -> io::Result<Vec<time::Duration>> {
    let clerk = env_plan::login_rules("clerk", PASSWORD);
    let both = format!("{clerk}{}", env_plan::login_rules(USER, PASSWORD));
    let plan = env_plan::EnvPlan::new(&vec![options.vms; options.centres])
        .group("proofs", |_index, _upstream| {})
        .rules(&clerk)
        .with_fault_links();
    let env = test_env::TestEnv::start(plan).await?;
    env.wait_ready().await;
    let mut times = Vec::new();
    for number in 0..options.changes {
        let taken = number % 2 == 0;
        if matches!(case, SpreadCase::SilentPlatform) {
            env.link(test_env::PLATFORM, "listen")?.silence_open(None);
        }
        let revision = env.apply_rules(if taken { &both } else { &clerk }).await?;
        let accepted = time::Instant::now();
        let looks = env.vms().iter().map(async |place| {
            let address = env.entry_address(&place.vm)?;
            while takes_login(address).await != Some(taken) {
                tokio::time::sleep(LOOK_PAUSE).await;
            }
            waiting::until("the revision to be reported", async || {
                env.revisions(&place.vm).await == Some([Some(revision); 3])
            })
            .await;
            Ok::<_, io::Error>(accepted.elapsed())
        });
        let each = futures::future::try_join_all(looks).await?;
        times.extend(each.into_iter().max());
    }
    Ok(times)
}

/// Tells whether the entry takes the login, or `None` if it answers neither way.
async fn takes_login(address: net::SocketAddr) -> Option<bool> {
    match test_env::connect_to(address, USER, PASSWORD, "proofs", "").await {
        Ok(_client) => Some(true),
        Err(error) => (error.code()?.code() == "28P01").then_some(false),
    }
}
