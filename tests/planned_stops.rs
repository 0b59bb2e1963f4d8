//! Tests that planned stops of each daemon, and a rolling restart of all VMs, fail no request.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use testenv::{env_plan, test_client, test_env, waiting};

const USER: &str = "parish";
const PASSWORD: &str = "pencil";
const DATABASE: &str = "ledger";
const VMS: [&str; 3] = ["vm-1-1", "vm-1-2", "vm-1-3"];
const CALLERS: usize = 12;
/// Number of requests that callers complete between two stops.
const REQUESTS: usize = 200;

/// State shared by the callers. It also acts as the load balancer in front of the entries.
#[derive(Debug, Default)]
struct Load {
    entries: sync::Mutex<Vec<net::SocketAddr>>,
    next: atomic::AtomicUsize,
    done: atomic::AtomicUsize,
    stop: atomic::AtomicBool,
    failed: sync::Mutex<Vec<String>>,
    not_run: sync::Mutex<Vec<String>>,
}

impl Load {
    /// Connects to the next entry that is in service.
    async fn connect(&self) -> test_client::TestClient {
        waiting::until_some("an entry accepts a caller", || async {
            let entry = {
                let entries = self.entries.lock().expect("no panic");
                let next = self.next.fetch_add(1, atomic::Ordering::AcqRel);
                *entries.get(next % entries.len())?
            };
            test_client::TestClient::connect(entry, USER, PASSWORD, DATABASE)
                .await
                .ok()
        })
        .await
    }

    async fn wait_done(&self, more: usize) {
        let wanted = self.done.load(atomic::Ordering::Acquire) + more;
        waiting::until("callers complete requests", || async {
            self.done.load(atomic::Ordering::Acquire) >= wanted
        })
        .await;
    }
}

/// Sends reads, writes and transactions at a steady rate until `stop` is set.
async fn call(load: sync::Arc<Load>, caller: usize) {
    let mut client = load.connect().await;
    for number in 0.. {
        if load.stop.load(atomic::Ordering::Acquire) {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(5)).await;
        if client.is_closed() {
            // The entry closed the session while it was idle.
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
            let outcome = client.run(&id, sql).await;
            if outcome == test_client::RequestOutcome::Done {
                load.done.fetch_add(1, atomic::Ordering::AcqRel);
                continue;
            }
            if outcome.is_planned_end() && step == 0 {
                // The request was sent while the entry closed the idle session. `end` checks in
                // the journals that it did not run.
                load.not_run.lock().expect("no panic").push(id);
            } else {
                let text = format!("{id} {sql}: {outcome:?}");
                load.failed.lock().expect("no panic").push(text);
            }
            client = load.connect().await;
            break;
        }
    }
}

/// A running environment with callers.
struct RestartTest {
    env: test_env::TestEnv,
    load: sync::Arc<Load>,
    tasks: tokio::task::JoinSet<()>,
}

impl RestartTest {
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
        let mut test = Self {
            env,
            load,
            tasks: tokio::task::JoinSet::new(),
        };
        test.set_entries(None);
        for caller in 0..CALLERS {
            test.tasks.spawn(call(sync::Arc::clone(&test.load), caller));
        }
        test
    }

    /// Puts all entries into service, except that of one VM.
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

    /// Stops a daemon with SIGTERM and waits until it has exited successfully.
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
        let not_run = self.load.not_run.lock().expect("no panic").clone();
        let ran = self.env.ran().expect("journals");
        let false_reports: Vec<_> = ran.iter().filter(|(_, id)| not_run.contains(id)).collect();
        assert!(
            false_reports.is_empty(),
            "reported as not run, but ran: {false_reports:?}"
        );
    }
}

/// Guards against a daemon whose planned stop fails requests that are running or arrive meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_each_daemon_fails_no_request() {
    let mut test = RestartTest::start().await;
    for (vm, daemon) in [
        ("vm-1-1", "entry"),
        ("vm-1-1", "pool"),
        ("vm-1-2", "pool"),
        ("vm-1-3", "pool"),
        ("vm-1-1", "keeper"),
    ] {
        test.load.wait_done(REQUESTS).await;
        test.stop(vm, daemon).await;
        test.load.wait_done(REQUESTS).await;
        test.restart(vm, &[daemon]).await;
    }
    test.end().await;
}

/// Guards against a rolling restart that fails requests, because stops of several daemons overlap.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_of_all_vms_fails_no_request() {
    let mut test = RestartTest::start().await;
    for vm in VMS {
        test.load.wait_done(REQUESTS).await;
        for daemon in ["entry", "pool", "keeper"] {
            test.stop(vm, daemon).await;
        }
        test.load.wait_done(REQUESTS).await;
        test.restart(vm, &["keeper", "pool", "entry"]).await;
    }
    test.end().await;
}
