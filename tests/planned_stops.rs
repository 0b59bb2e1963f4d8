//! Planned stops of each daemon, and a rolling restart of all VMs, cut off no request.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use testenv::{callers, env_plan, test_env, waiting};

const USER: &str = "parish";
const PASSWORD: &str = "pencil";
const DATABASE: &str = "ledger";
const VMS: [&str; 3] = ["vm-1-1", "vm-1-2", "vm-1-3"];
const CALLERS: usize = 12;
/// Requests that callers complete between two stops.
const REQUESTS: usize = 200;

/// What callers share; it plays the balancer as well.
#[derive(Debug, Default)]
struct Load {
    entries: sync::Mutex<Vec<net::SocketAddr>>,
    next: atomic::AtomicUsize,
    done: atomic::AtomicUsize,
    stop: atomic::AtomicBool,
    failed: sync::Mutex<Vec<String>>,
    ended_idle: sync::Mutex<Vec<String>>,
}

impl Load {
    /// Connects to an entry that is in service.
    async fn connect(&self) -> callers::Caller {
        waiting::until_some("an entry accepts a caller", || async {
            let entry = {
                let entries = self.entries.lock().expect("no panic");
                let next = self.next.fetch_add(1, atomic::Ordering::AcqRel);
                *entries.get(next % entries.len())?
            };
            callers::Caller::connect(entry, USER, PASSWORD, DATABASE)
                .await
                .ok()
        })
        .await
    }

    async fn wait_done(&self, more: usize) {
        let wanted = self.done.load(atomic::Ordering::Acquire) + more;
        waiting::until("callers go on", || async {
            self.done.load(atomic::Ordering::Acquire) >= wanted
        })
        .await;
    }
}

/// Sends reads, writes and transactions at a steady pace, until told to stop.
async fn call(load: sync::Arc<Load>, caller: usize) {
    let mut client = load.connect().await;
    for number in 0.. {
        if load.stop.load(atomic::Ordering::Acquire) {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(5)).await;
        if client.is_closed() {
            // The session was idle when it ended.
            client = load.connect().await;
        }
        let id = format!("c{caller}-{number}");
        let write = format!("INSERT INTO t (k, v) VALUES ('{id}', 'v')");
        let steps: Vec<&str> = match number % 4 {
            0 => vec![&write],
            1 => vec!["SELECT pg_sleep(0.05)"],
            2 => vec!["SELECT count(*) FROM t"],
            _ => vec!["BEGIN", &write, "SELECT pg_sleep(0.02)", "COMMIT"],
        };
        for (step, sql) in steps.iter().enumerate() {
            let id = format!("{id}/{step}");
            let told = client.run(&id, sql).await;
            if told == callers::Told::Done {
                load.done.fetch_add(1, atomic::Ordering::AcqRel);
                continue;
            }
            if told.is_planned_end() && step == 0 {
                // The request crossed the end of an idle session; the journals show that it did
                // not run.
                load.ended_idle.lock().expect("no panic").push(id);
            } else {
                let text = format!("{id} {sql}: {told:?}");
                load.failed.lock().expect("no panic").push(text);
            }
            client = load.connect().await;
            break;
        }
    }
}

struct Stage {
    env: test_env::TestEnv,
    load: sync::Arc<Load>,
    tasks: tokio::task::JoinSet<()>,
}

impl Stage {
    async fn start() -> Self {
        let mut plan = env_plan::EnvPlan::new(&[VMS.len()])
            .rules(&env_plan::login_rules(USER, PASSWORD))
            .group(DATABASE, |_index, _upstream| {});
        plan.settings.insert(
            "persimmon-entry".to_owned(),
            "[limits]\ndrain_time = \"500ms\"".to_owned(),
        );
        let env = test_env::TestEnv::start(plan).await.expect("start");
        env.wait_ready().await;
        let load = sync::Arc::new(Load::default());
        let mut stage = Self {
            env,
            load,
            tasks: tokio::task::JoinSet::new(),
        };
        stage.set_entries(None);
        for caller in 0..CALLERS {
            stage
                .tasks
                .spawn(call(sync::Arc::clone(&stage.load), caller));
        }
        stage
    }

    /// Tells the balancer which entries are in service: all but that of one VM.
    fn set_entries(&mut self, without: Option<&str>) {
        let entries = VMS
            .iter()
            .filter(|vm| Some(**vm) != without)
            .map(|vm| {
                let name = format!("{vm}-entry");
                self.env
                    .processes()
                    .address(&name, "listen")
                    .expect("an entry")
            })
            .collect();
        *self.load.entries.lock().expect("no panic") = entries;
    }

    /// Stops a daemon by SIGTERM and waits for its orderly end.
    async fn stop(&mut self, vm: &str, daemon: &str) {
        if daemon == "entry" {
            self.set_entries(Some(vm));
        }
        let name = format!("{vm}-{daemon}");
        self.env.signal(&name, "TERM").expect("signal");
        let process = self.env.processes().get_mut(&name).expect("a daemon");
        let status = waiting::until_some(&format!("{name} stops"), || {
            let status = process.try_wait().expect("a status");
            async move { status }
        })
        .await;
        assert!(status.success(), "{name}: {status}");
    }

    async fn restart(&mut self, vm: &str, daemons: &[&str]) {
        for daemon in daemons {
            let name = format!("{vm}-{daemon}");
            self.env.restart(&name).await.expect("restart");
        }
        self.env.wait_ready().await;
        self.set_entries(None);
    }

    /// Ends the load and checks that no request failed.
    async fn end(mut self) {
        self.load.wait_done(REQUESTS).await;
        self.load.stop.store(true, atomic::Ordering::Release);
        while let Some(ended) = self.tasks.join_next().await {
            ended.expect("a caller");
        }
        let failed = self.load.failed.lock().expect("no panic").clone();
        assert!(
            failed.is_empty(),
            "{} requests failed: {failed:#?}",
            failed.len()
        );
        let ended = self.load.ended_idle.lock().expect("no panic").clone();
        let ran = self.env.ran().expect("journals");
        let untrue: Vec<_> = ran.iter().filter(|(_, id)| ended.contains(id)).collect();
        assert!(
            untrue.is_empty(),
            "told that nothing was running: {untrue:?}"
        );
    }
}

/// Guards against a daemon whose planned stop fails requests that run or arrive.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_each_daemon_fails_no_request() {
    let mut stage = Stage::start().await;
    for (vm, daemon) in [
        ("vm-1-1", "entry"),
        ("vm-1-1", "pool"),
        ("vm-1-2", "pool"),
        ("vm-1-3", "pool"),
        ("vm-1-1", "keeper"),
    ] {
        stage.load.wait_done(REQUESTS).await;
        stage.stop(vm, daemon).await;
        stage.load.wait_done(REQUESTS).await;
        stage.restart(vm, &[daemon]).await;
    }
    stage.end().await;
}

/// Guards against a rolling restart that fails requests, because stops of several daemons overlap.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_vms_fails_no_request() {
    let mut stage = Stage::start().await;
    for vm in VMS {
        stage.load.wait_done(REQUESTS).await;
        for daemon in ["entry", "pool", "keeper"] {
            stage.stop(vm, daemon).await;
        }
        stage.load.wait_done(REQUESTS).await;
        stage.restart(vm, &["keeper", "pool", "entry"]).await;
    }
    stage.end().await;
}
