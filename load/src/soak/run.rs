//! One run of the soak.

use std::fs;
use std::path;
use std::sync;
use std::sync::atomic;
use std::time;

use persimmontack::decide::rule_log;
use testenv::{env_plan, test_env};

use crate::soak::{
    caller, caller_link, check, history, injector, operator, options, place, recovery, report,
    rules_check, schedule,
};

/// Time of faults without `--minutes`.
const DEFAULT_MINUTES: f64 = 1.0;
/// Data centres without `--centres`.
const DEFAULT_CENTRES: usize = 3;
/// What callers of each group do.
const HABITS: [caller::CallerHabit; 11] = [
    caller::CallerHabit::Stay,
    caller::CallerHabit::Stay,
    caller::CallerHabit::Carry,
    caller::CallerHabit::Carry,
    caller::CallerHabit::Fresh,
    caller::CallerHabit::Fresh,
    caller::CallerHabit::Named,
    caller::CallerHabit::Named,
    caller::CallerHabit::Aged(time::Duration::from_millis(500)),
    caller::CallerHabit::Aged(time::Duration::from_secs(2)),
    caller::CallerHabit::Export,
];

type RunError = Box<dyn std::error::Error + Send + Sync>;

/// Runs the soak. Returns whether nothing was found.
///
/// # Errors
///
/// Fails if the environment cannot be started or controlled.
pub async fn run(options: &options::SoakOptions) -> Result<bool, RunError> {
    let minutes = options.minutes.unwrap_or(DEFAULT_MINUTES);
    let total = time::Duration::try_from_secs_f64(minutes * 60.0)?;
    let place = place::SoakPlace {
        centres: options.centres.unwrap_or(DEFAULT_CENTRES),
    };
    if place.centres < 2 {
        return Err("--centres: found fewer than 2, expected at least 2".into());
    }
    let faults = schedule::draw(options.seed, total, &place);
    println!("seed {}, {minutes} minutes, schedule:", options.seed);
    for (index, fault) in faults.iter().enumerate() {
        println!("#{index:<3} {fault}");
    }
    println!("Two runs of a seed have this schedule; its effects depend on the machine's clock.\n");
    if options.schedule {
        return Ok(true);
    }
    let env = start(&place, options.log.as_deref()).await?;
    let history = sync::Arc::new(history::RunHistory::new());
    let book = sync::Arc::new(caller_link::EntryBook::default());
    let platform = env.address_for_others(test_env::PLATFORM, "listen")?;
    let desk = operator::OperatorDesk::new(&history, env.directory(), platform.to_string());
    let mut injector = injector::FaultInjector::new(env, desk, &history, &book);
    injector.note_entries()?;

    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let vms = place.vms();
    let mut callers = Vec::new();
    for group in place::GROUPS {
        for habit in HABITS {
            let number = callers.len();
            let caller =
                caller::SoakCaller::new(options.seed, number, group, habit, &history, &book, &vms);
            callers.push(tokio::spawn(caller.run(sync::Arc::clone(&stop))));
        }
    }
    injector.play(&faults).await?;
    history.say("all faults are healed");
    let took = recovery::wait(&history, &book, &vms).await;
    history.say(&format!("recovered after {:.3} s", took.as_secs_f64()));
    injector.look_for_crashes().await?;
    let restored = injector.desk.restore().await?;
    if restored.code != Some(0) {
        let text = format!("the rules could not be restored: {restored:?}");
        history.find("recovery", text, Vec::new());
    }
    stop.store(true, atomic::Ordering::Release);
    for caller in callers {
        caller.await?;
    }
    let traces = judge(&mut injector, &history).await?;
    report::print(&history, &traces);
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

async fn start(place: &place::SoakPlace, log: Option<&str>) -> Result<test_env::TestEnv, RunError> {
    let mut plan = env_plan::EnvPlan::new(&vec![place::VMS_PER_CENTRE; place.centres])
        .rules(&operator::base_rules())
        .with_fault_links();
    for group in place::GROUPS {
        plan = plan.group(group, |_index, upstream| {
            upstream.apply_delay_ms = injector::base_lag_ms(&upstream.upstream);
        });
    }
    if let Some(log) = log {
        log.clone_into(&mut plan.log);
    }
    let env = test_env::TestEnv::start(plan).await?;
    env.wait_ready().await;
    Ok(env)
}

async fn judge(
    injector: &mut injector::FaultInjector,
    history: &history::RunHistory,
) -> Result<Vec<check::GroupTrace>, RunError> {
    let mut traces = Vec::new();
    for group in place::GROUPS {
        let mut trace = check::GroupTrace {
            group: group.to_owned(),
            journals: std::collections::BTreeMap::new(),
            primary: None,
        };
        for upstream in place::SoakPlace::upstreams(group) {
            let events = injector.env.journal(&upstream)?;
            trace.journals.insert(upstream, events);
        }
        // By the journals, since an upstream without a free connection cannot be asked.
        trace.primary = check::last_promoted(&trace.journals);
        check::check(history, &trace);
        traces.push(trace);
    }
    let listing = injector.env.platform()?.list(rule_log::LOG_PREFIX).await;
    let changes = listing
        .map_err(|error| error.to_string())?
        .entries
        .iter()
        .map(|entry| serde_json::from_str(&entry.value))
        .collect::<Result<Vec<rule_log::RuleChange>, _>>()?;
    rules_check::check_store(history, &changes, &injector.desk.changes);
    for name in injector.process_names() {
        let file = injector.env.directory().join(format!("{name}.stderr"));
        let text = String::from_utf8_lossy(&fs::read(file)?).into_owned();
        rules_check::check_process(history, &name, &text);
    }
    Ok(traces)
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
