//! Measures running keeper processes: processor time, memory, bytes on their links and calls to the
//! platform.

use std::collections;
use std::fs;
use std::io;
use std::time;

use testenv::{env_plan, http_call, test_env};

use crate::slopes::{options, report};

/// Number of data centres, unless there are fewer VMs.
const CENTRES: usize = 3;
/// Time after the start in which the keepers discover each other, acquire leases and promote
/// primaries, which is not measured.
const STARTUP_TIME: time::Duration = time::Duration::from_secs(8);
/// Counters of which the increase a second is reported, each with its name in the report.
const COUNTERS: [(&str, &str); 6] = [
    (
        "persimmontack_link_bytes_total{direction=\"sent\"}",
        "link bytes sent/s",
    ),
    (
        "persimmontack_link_bytes_total{direction=\"received\"}",
        "link bytes received/s",
    ),
    (
        "persimmontack_gossip_bytes_total{side=\"call\"}",
        "gossip frame bytes of calls/s",
    ),
    (
        "persimmontack_gossip_bytes_total{side=\"answer\"}",
        "gossip frame bytes of answers/s",
    ),
    (
        "persimmontack_gossip_exchanges_total{side=\"call\"}",
        "gossip calls/s",
    ),
    (
        "persimmontack_gossip_exchanges_total{side=\"answer\"}",
        "gossip answers/s",
    ),
];

/// Totals over all keepers at one time.
#[derive(Default)]
struct KeeperSample {
    processor_time: time::Duration,
    resident_kb: u64,
    counters: collections::BTreeMap<&'static str, f64>,
    calls: collections::BTreeMap<String, u64>,
}

/// Measures deployments with the numbers of keepers that the options give.
pub async fn measure(
    report: &mut report::ScalingReport,
    options: &options::SlopeOptions,
) -> io::Result<()> {
    let counts = match options.keepers.as_slice() {
        [] => vec![1, 2, 4, 8, 16, 24],
        counts => counts.to_vec(),
    };
    for count in counts {
        measure_keepers(report, count, time::Duration::from_secs(options.seconds)).await?;
    }
    Ok(())
}

async fn measure_keepers(
    report: &mut report::ScalingReport,
    count: usize,
    window: time::Duration,
) -> io::Result<()> {
    let centres = count.clamp(1, CENTRES);
    let vms: Vec<usize> = (0..centres)
        .map(|centre| (count + centres - 1 - centre) / centres)
        .collect();
    let plan = env_plan::EnvPlan::new(&vms)
        .group("ledger", |_, _| {})
        .group("index", |_, _| {})
        .with_daemons(env_plan::DaemonSet::Keepers);
    let mut env = test_env::TestEnv::start(plan).await?;
    tokio::time::sleep(STARTUP_TIME).await;
    let start = time::Instant::now();
    let before = sample(&mut env).await?;
    tokio::time::sleep(window).await;
    let after = sample(&mut env).await?;
    let seconds = start.elapsed().as_secs_f64() * count as f64;
    let name = "keeper process";
    let processor_time = after.processor_time.saturating_sub(before.processor_time);
    let share = processor_time.as_secs_f64() / seconds * 100.0;
    report.add(name, count, "VMs", share, "% of a core per VM");
    let resident = after.resident_kb as f64 / 1024.0 / count as f64;
    report.add(name, count, "VMs", resident, "MB resident per VM");
    for (counter, text) in COUNTERS {
        let value = |sample: &KeeperSample| sample.counters.get(counter).copied().unwrap_or(0.0);
        let rate = (value(&after) - value(&before)) / seconds;
        report.add(name, count, "VMs", rate, &format!("{text} per VM"));
    }
    for (call, calls) in &after.calls {
        let new_calls = calls - before.calls.get(call).copied().unwrap_or(0);
        let rate = new_calls as f64 / seconds;
        report.add(name, count, "VMs", rate, &format!("calls/s per VM: {call}"));
    }
    Ok(())
}

async fn sample(env: &mut test_env::TestEnv) -> io::Result<KeeperSample> {
    let mut sample = KeeperSample::default();
    for name in env.processes().names("persimmon-keeper") {
        let process = env.processes().get(&name)?;
        let id = process.id();
        let health = process
            .address("health")
            .ok_or_else(|| io::Error::other(format!("{name} has no health listener")))?;
        sample.processor_time += processor_time(id)?;
        sample.resident_kb += resident_kb(id)?;
        let (_status, text) = http_call::call(health, "GET", "/metrics", "").await?;
        for (counter, _) in COUNTERS {
            let value = text
                .lines()
                .find_map(|line| line.strip_prefix(counter)?.trim().parse::<f64>().ok());
            *sample.counters.entry(counter).or_default() += value.unwrap_or(0.0);
        }
    }
    for (vm, calls) in env.platform_counts().await?.calls {
        if env.vms().iter().any(|place| place.vm == vm) {
            for (call, count) in calls {
                *sample.calls.entry(call).or_default() += count;
            }
        }
    }
    Ok(sample)
}

fn processor_time(id: u32) -> io::Result<time::Duration> {
    let mut nanoseconds = 0;
    for thread in fs::read_dir(format!("/proc/{id}/task"))? {
        let text = fs::read_to_string(thread?.path().join("schedstat"))?;
        let field = text.split_whitespace().next();
        nanoseconds += field.and_then(|word| word.parse::<u64>().ok()).unwrap_or(0);
    }
    Ok(time::Duration::from_nanos(nanoseconds))
}

fn resident_kb(id: u32) -> io::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number.and_then(|word| word.parse().ok()).unwrap_or(0))
}
