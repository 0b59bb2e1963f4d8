//! A soak run: starts the deployment, plays the faults, waits for recovery and checks the
//! guarantees.

use std::fs;
use std::path;
use std::sync;
use std::sync::atomic;
use std::time;

use persimmontack::decide::rule_log;
use testenv::{env_plan, test_env};

use crate::soak::{
    check, client, connection, history, injector, operator, options, recovery, report, rules_check,
    schedule, topology,
};

/// Default of `--minutes`.
const DEFAULT_MINUTES: f64 = 1.0;
/// Default of `--centres`.
const DEFAULT_DATA_CENTRES: usize = 3;
/// Access patterns of the clients of each group, one per client.
const ACCESS_PATTERNS: [client::AccessPattern; 11] = [
    client::AccessPattern::Stay,
    client::AccessPattern::Stay,
    client::AccessPattern::Carry,
    client::AccessPattern::Carry,
    client::AccessPattern::Fresh,
    client::AccessPattern::Fresh,
    client::AccessPattern::Named,
    client::AccessPattern::Named,
    client::AccessPattern::Aged(time::Duration::from_millis(500)),
    client::AccessPattern::Aged(time::Duration::from_secs(2)),
    client::AccessPattern::Export,
];

type RunError = Box<dyn std::error::Error + Send + Sync>;

/// Runs the soak and prints its report. Returns whether there are no findings.
///
/// # Errors
///
/// Fails if the environment cannot be started or controlled.
pub async fn run(options: &options::SoakOptions) -> Result<bool, RunError> {
    let minutes = options.minutes.unwrap_or(DEFAULT_MINUTES);
    let total = time::Duration::try_from_secs_f64(minutes * 60.0)?;
    let topology = topology::SoakTopology {
        data_centres: options.centres.unwrap_or(DEFAULT_DATA_CENTRES),
    };
    if topology.data_centres < 2 {
        return Err("--centres: found fewer than 2, expected at least 2".into());
    }
    let faults = schedule::generate(options.seed, total, &topology);
    println!("seed {}, {minutes} minutes, schedule:", options.seed);
    for (index, fault) in faults.iter().enumerate() {
        println!("#{index:<3} {fault}");
    }
    println!("Two runs of a seed have this schedule; its effects depend on the machine's clock.\n");
    if options.schedule {
        return Ok(true);
    }
    let env = start_environment(&topology, options.log.as_deref()).await?;
    let history = sync::Arc::new(history::RunHistory::new());
    let entry_addresses = sync::Arc::new(connection::EntryAddresses::default());
    let platform = env.address_for_others(test_env::PLATFORM, "listen")?;
    let operators = operator::OperatorRunner::new(&history, env.directory(), platform.to_string());
    let mut injector = injector::FaultInjector::new(env, operators, &history, &entry_addresses);
    injector.update_entry_addresses()?;

    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let vms = topology.vms();
    let mut clients = Vec::new();
    for group in topology::GROUPS {
        for pattern in ACCESS_PATTERNS {
            let number = clients.len();
            let client = client::SoakClient::new(
                options.seed,
                number,
                group,
                pattern,
                &history,
                &entry_addresses,
                &vms,
            );
            clients.push(tokio::spawn(client.run(sync::Arc::clone(&stop))));
        }
    }
    injector.play(&faults).await?;
    history.log_progress("all faults have ended");
    let recovery_time = recovery::wait_for_recovery(&history, &entry_addresses, &vms).await;
    history.log_progress(&format!(
        "recovered after {:.3} s",
        recovery_time.as_secs_f64()
    ));
    injector.restart_crashed().await?;
    let restored = injector.operators.restore_rules().await?;
    if restored.code != Some(0) {
        let text = format!("the rules could not be restored: {restored:?}");
        history.report_finding("recovery", text, Vec::new());
    }
    stop.store(true, atomic::Ordering::Release);
    for client in clients {
        client.await?;
    }
    let groups = check_guarantees(&mut injector, &history).await?;
    report::print_report(&history, &groups);
    let clean = history.findings().is_empty();
    if let Some(keep) = &options.keep
        && (!clean || options.keep_all)
    {
        let target = keep.join(format!("seed-{}", options.seed));
        copy_files(injector.env.directory(), &target)?;
        println!("\njournals and logs are in {}", target.display());
    }
    let verdict = if clean {
        "nothing was found"
    } else {
        "see the findings"
    };
    println!("\nseed {}, {minutes} minutes: {verdict}", options.seed);
    Ok(clean)
}

async fn start_environment(
    topology: &topology::SoakTopology,
    log: Option<&str>,
) -> Result<test_env::TestEnv, RunError> {
    let mut plan =
        env_plan::EnvPlan::new(&vec![topology::VMS_PER_DATA_CENTRE; topology.data_centres])
            .rules(&operator::base_rules())
            .with_fault_links();
    for group in topology::GROUPS {
        plan = plan.group(group, |_index, upstream| {
            upstream.apply_delay_ms = injector::base_apply_delay_ms(&upstream.upstream);
        });
    }
    if let Some(log) = log {
        log.clone_into(&mut plan.log);
    }
    let env = test_env::TestEnv::start(plan).await?;
    env.wait_ready().await;
    Ok(env)
}

/// Collects the journals, the rules log and the process logs, and runs all checks on them.
async fn check_guarantees(
    injector: &mut injector::FaultInjector,
    history: &history::RunHistory,
) -> Result<Vec<check::GroupJournals>, RunError> {
    let mut groups = Vec::new();
    for group in topology::GROUPS {
        let mut journals = check::GroupJournals {
            group: group.to_owned(),
            journals: std::collections::BTreeMap::new(),
            final_primary: None,
        };
        for upstream in topology::SoakTopology::upstreams(group) {
            let events = injector.env.journal(&upstream)?;
            journals.journals.insert(upstream, events);
        }
        // Taken from the journals, since an upstream without a free connection cannot be queried.
        journals.final_primary = check::latest_primary(&journals.journals);
        check::check_group(history, &journals);
        groups.push(journals);
    }
    let listing = injector.env.platform()?.list(rule_log::LOG_PREFIX).await;
    let changes = listing
        .map_err(|error| error.to_string())?
        .entries
        .iter()
        .map(|entry| serde_json::from_str(&entry.value))
        .collect::<Result<Vec<rule_log::RuleChange>, _>>()?;
    rules_check::check_rules_log(history, &changes, &injector.operators.changes);
    for name in injector.process_names() {
        let file = injector.env.directory().join(format!("{name}.stderr"));
        let text = String::from_utf8_lossy(&fs::read(file)?).into_owned();
        rules_check::check_process_log(history, &name, &text);
    }
    Ok(groups)
}

fn copy_files(from: &path::Path, to: &path::Path) -> std::io::Result<()> {
    fs::create_dir_all(to)?;
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}
