//! Starts a small deployment on this machine and shows where statements go and why.
//!
//! Run it with `cargo build --workspace && target/debug/quickstart`. It exits with 0 only if
//! everything worked.

use std::fs;
use std::io;
use std::process;
use std::time;

use persimmontack::exit_code;
use standins::instance::journal;
use testenv::{child_process, env_plan, test_env, waiting};

const USER: &str = "parish";
const PASSWORD: &str = "pencil";
const DATABASE: &str = "ledger";
/// Delay until replicas apply writes, in milliseconds.
const APPLY_DELAY_MS: u64 = 300;
/// Longest time that a daemon may take to stop.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(60);
const ROW_SQL: &str = "SELECT v FROM proofs WHERE k = 'p1'";

type StepResult<T> = Result<T, Box<dyn std::error::Error + Send + Sync>>;

#[tokio::main]
async fn main() -> process::ExitCode {
    match run().await {
        Ok(()) => {
            println!("\nAll steps worked.");
            exit_code::ExitCode::Success.into()
        }
        Err(error) => {
            eprintln!("quickstart: {error}");
            exit_code::ExitCode::Failure.into()
        }
    }
}

async fn run() -> StepResult<()> {
    let plan = env_plan::EnvPlan::new(&[1, 1]).group(DATABASE, |_index, upstream| {
        upstream.apply_delay_ms = APPLY_DELAY_MS;
    });
    println!("Starting a platform, 3 databases and 2 VMs in 2 data centres ...");
    let mut env = test_env::TestEnv::start(plan).await?;
    apply_rules(&env)?;
    env.wait_ready().await;
    println!("All daemons are ready. Replicas show writes {APPLY_DELAY_MS} ms late.\n");

    let first = env.connect("vm-1-1", USER, PASSWORD, DATABASE, "").await?;
    statement(
        &env,
        &first,
        "w1",
        "INSERT INTO proofs (k, v) VALUES ('p1', 'draft')",
    )
    .await?;
    expect_value(&env, &first, "r1", "draft").await?;
    println!("  Only an upstream that has applied w1 may answer r1.");
    statement(
        &env,
        &first,
        "w2",
        "UPDATE proofs SET v = 'approved' WHERE k = 'p1'",
    )
    .await?;
    let position = show_parameter(&first, "persimmontack.position").await?;
    println!("  The session now carries the position {position}.\n");

    println!("The session moves to the entry in the other data centre.");
    let second = env.connect("vm-2-1", USER, PASSWORD, DATABASE, "").await?;
    second
        .batch_execute(&format!("SET persimmontack.position = '{position}'"))
        .await?;
    explain(&env, &position)?;
    expect_value(&env, &second, "r2", "approved").await?;
    wait_applied(&env, &position).await?;
    println!("All replicas have now applied {position}.");
    expect_value(&env, &second, "r3", "approved").await?;
    explain(&env, &position)?;

    drop((first, second));
    stop(&mut env).await
}

/// Applies a rules file in the way an operator does.
fn apply_rules(env: &test_env::TestEnv) -> StepResult<()> {
    let file = env.directory().join("rules");
    fs::write(&file, env_plan::login_rules(USER, PASSWORD))?;
    let file = file.display().to_string();
    ctl(env, &["apply", "--wait", "--author", "quickstart", &file])
}

/// Prints the route that the second entry would choose for a session with this position.
fn explain(env: &test_env::TestEnv, position: &str) -> StepResult<()> {
    let entry = env.address_for_others("vm-2-1-entry", "link")?.to_string();
    let mut arguments = vec!["explain", "--entry", &entry, "--user", USER];
    arguments.extend(["--database", DATABASE, "--position", position, ROW_SQL]);
    ctl(env, &arguments)
}

fn ctl(env: &test_env::TestEnv, arguments: &[&str]) -> StepResult<()> {
    let platform = env.address_for_others(test_env::PLATFORM, "listen")?;
    let output = process::Command::new(child_process::program_path("persimmonctl")?)
        .env("PERSIMMON_PLATFORM", platform.to_string())
        .args(arguments)
        .output()?;
    println!("$ persimmonctl {}", arguments.join(" "));
    for line in String::from_utf8_lossy(&output.stdout).lines() {
        println!("  {line}");
    }
    if output.status.success() {
        return Ok(());
    }
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    Err(format!("persimmonctl: {}: {text}", output.status).into())
}

/// Runs a statement and prints the upstream whose journal has it.
async fn statement(
    env: &test_env::TestEnv,
    client: &tokio_postgres::Client,
    id: &str,
    sql: &str,
) -> StepResult<Vec<tokio_postgres::SimpleQueryMessage>> {
    let messages = client
        .simple_query(&format!("/* id={id} */ {sql}"))
        .await
        .map_err(|error| format!("{id}: {sql}: {error:?}"))?;
    let runs = find_runs(env, id)?;
    let [(upstream, is_primary)] = runs.as_slice() else {
        return Err(format!("{id} ran {} times, expected once", runs.len()).into());
    };
    let role = if *is_primary { "primary" } else { "replica" };
    println!("{id}: {sql}\n  ran on {upstream} ({role})");
    Ok(messages)
}

async fn expect_value(
    env: &test_env::TestEnv,
    client: &tokio_postgres::Client,
    id: &str,
    expected: &str,
) -> StepResult<()> {
    let messages = statement(env, client, id, ROW_SQL).await?;
    let value = first_value(&messages).unwrap_or_default();
    if value != expected {
        return Err(format!("{id} read {value:?}, expected {expected:?}").into());
    }
    println!("  and read {value:?}");
    Ok(())
}

fn find_runs(env: &test_env::TestEnv, id: &str) -> io::Result<Vec<(String, bool)>> {
    let mut runs = Vec::new();
    for upstream in upstreams(env) {
        for event in env.journal(&upstream)? {
            if let journal::JournalEvent::Statement {
                id: Some(ran),
                term,
                ..
            } = event
                && ran == id
            {
                runs.push((upstream.clone(), term.is_some()));
            }
        }
    }
    Ok(runs)
}

fn upstreams(env: &test_env::TestEnv) -> Vec<String> {
    let groups = env.plan().groups.iter();
    groups
        .flat_map(|group| &group.upstreams)
        .map(|upstream| upstream.upstream.clone())
        .collect()
}

async fn show_parameter(client: &tokio_postgres::Client, name: &str) -> StepResult<String> {
    let messages = client.simple_query(&format!("SHOW {name}")).await?;
    first_value(&messages).ok_or_else(|| format!("SHOW {name} has no row").into())
}

fn first_value(messages: &[tokio_postgres::SimpleQueryMessage]) -> Option<String> {
    messages.iter().find_map(|message| match message {
        tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    })
}

/// Waits until every upstream has applied a position.
async fn wait_applied(env: &test_env::TestEnv, position: &str) -> StepResult<()> {
    let position: persimmontack::model::log_position::LogPosition = position.parse()?;
    for upstream in upstreams(env) {
        let client = env.connect_upstream(&upstream).await?;
        waiting::until(&format!("{upstream} applies {position}"), || async {
            let Ok(messages) = client.simple_query("SELECT group_state()").await else {
                return false;
            };
            first_value(&messages)
                .and_then(|text| serde_json::from_str(&text).ok())
                .is_some_and(
                    |state: persimmontack::model::upstream_state::UpstreamState| {
                        state.applied >= position
                    },
                )
        })
        .await;
    }
    Ok(())
}

/// Stops the daemons, entries first, and expects exit code 0 of each.
async fn stop(env: &mut test_env::TestEnv) -> StepResult<()> {
    for program in ["persimmon-entry", "persimmon-pool", "persimmon-keeper"] {
        for name in env.processes().names(program) {
            env.signal(&name, "TERM")?;
            let ends = time::Instant::now() + STOP_LIMIT;
            let status = loop {
                if let Some(status) = env.processes().get_mut(&name)?.try_wait()? {
                    break status;
                }
                if time::Instant::now() > ends {
                    return Err(format!("{name} did not stop within {STOP_LIMIT:?}").into());
                }
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            };
            if !status.success() {
                return Err(format!("{name} stopped with {status}").into());
            }
        }
    }
    println!("\nAll daemons stopped cleanly.");
    Ok(())
}
