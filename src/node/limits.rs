//! Timeouts, limits and weights of a node.

use std::time::Duration;

/// Time without an answer after which an upstream is probed.
pub const PROBE_AFTER: Duration = Duration::from_millis(90);
/// Time without an answer, probes included, after which an upstream counts as silent.
pub const SILENT_AFTER: Duration = Duration::from_millis(270);
/// Time within which a new connection to an upstream has to be ready.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause before a new connection after one was refused or failed.
pub const CONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Pause before a new connection to an upstream that has all the connections it allows.
pub const CONNECTION_LIMIT_PAUSE: Duration = Duration::from_millis(500);
/// Time that an answer may still take after its request was given up, before the connection is
/// closed.
pub const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection to an upstream is closed, if another one is open.
pub const IDLE_CONNECTION: Duration = Duration::from_millis(1_500);
/// Period at which an upstream that is leaving is kept from receiving.
pub const FENCE_INTERVAL: Duration = Duration::from_millis(500);
/// Gap between two ticks of the monitor after which what it saw before is not trusted: the process
/// itself did not run.
pub const STALL_GAP: Duration = Duration::from_millis(200);
/// Pause between two looks at the logs of a primary whose commits hang, and of its replicas.
pub const STALL_CHECK: Duration = Duration::from_millis(100);
/// Time for which a new caller waits for the first configuration.
pub const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Connections of an upstream that no VM uses for statements.
pub const RESERVED_CONNECTIONS: u32 = 3;
/// Shortest time after which a second attempt of a read starts beside the first.
pub const HEDGE_AFTER: Duration = Duration::from_millis(110);
/// A second attempt of a read starts after this many usual answer times.
pub const HEDGE_FACTOR: u32 = 4;
/// Pause between looks at a read that waits for its first answer beyond the hedge.
pub const HEDGE_STEP: Duration = Duration::from_millis(60);
/// Pause before a statement that an upstream was too busy for is tried again.
pub const BUSY_PAUSE: Duration = Duration::from_millis(12);
/// Time for which an upstream that lacked a position gets no other read.
pub const LAG_PAUSE: Duration = Duration::from_millis(80);
/// Pause between looks at the tables while nothing can serve a statement.
pub const ROUTE_PAUSE: Duration = Duration::from_millis(15);
/// Part of a statement's timeout that it may wait for an upstream; after it the caller is told
/// that nothing has run and can use the rest for another VM.
pub const QUEUE_TIME_SHARE: f64 = 0.8;
/// Part of an operation's goal that it may wait when no change of the primary is under way.
pub const GOAL_WAIT_SHARE: f64 = 1.0;
/// Pause that a refusal asks the caller to make.
pub const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Age of the newest position of a primary at which a new one is asked for.
pub const POSITION_INTERVAL: Duration = Duration::from_millis(200);
/// Connections to an upstream that each host of its group should have. With few hosts, most of
/// what waits for the upstream is in the same queues.
pub const HOST_CONNECTIONS: u32 = 16;
/// Hosts of a group that there should be even if each of them has fewer connections.
pub const MIN_HOSTS: u32 = 8;
/// Fewest connections to an upstream that are worth being a host of its group.
pub const MIN_HOST_CONNECTIONS: u32 = 3;
/// Time without a sign of life from another data centre after which one is asked for.
pub const REMOTE_PROBE_AFTER: Duration = Duration::from_millis(300);
/// Time without an answer from another data centre after which a VM says that it is cut off.
pub const ISOLATED_AFTER: Duration = Duration::from_millis(700);
/// Time after which a VM that says so closes its sessions between two requests. The balancer
/// has taken it out by then, after two probes, one a second.
pub const ISOLATED_CLOSE: Duration = Duration::from_millis(2_300);
/// Period at which a VM that hosts no group asks a host whether it is connected.
pub const HOST_QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Hosts that it asks at most.
pub const MAX_QUERIED_HOSTS: usize = 4;
/// Time within which a link to another VM has to be open.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before a VM that could not be reached is tried again.
pub const PEER_PAUSE: Duration = Duration::from_millis(1_000);
/// Time beyond a statement's timeout that its host gets to say how it ended.
pub const RELAY_MARGIN: Duration = Duration::from_millis(60);
/// Period of the monitor of a group.
pub const MONITOR_TICK: Duration = Duration::from_millis(50);
/// Time within which a probe has to be answered.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a group has to lack a primary before the first VM in rank decides.
pub const FAILOVER_AFTER: Duration = Duration::from_millis(40);
/// Additional patience of each further VM in rank.
pub const RANK_DELAY: Duration = Duration::from_millis(150);
/// Time for which commits have to hang, with no commit succeeding, before a primary counts as
/// unable to commit.
pub const COMMIT_STALL: Duration = Duration::from_millis(600);
/// Time within which one decision on a primary has to be carried out.
pub const DECISION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a decision whose end nobody has told counts as over. A call for a promotion
/// that was not answered may be carried out up to 12 s later.
pub const DECISION_EXPIRY: Duration = Duration::from_secs(15);
/// Time after which a decision whose end nobody has told is taken over by another VM.
pub const DECISION_ABANDONED: Duration = Duration::from_secs(4);
/// Time after which an accepted promotion has usually taken effect.
pub const USUAL_PROMOTION_TIME: Duration = Duration::from_millis(900);
/// Time within which an accepted promotion has to take effect.
pub const PROMOTION_EFFECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time within which the other hosts of a group confirm that they know of a decision.
pub const NOTICE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time within which a VM has to know the list of upstreams as of its decision.
pub const LIST_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two answers of the store after which it may have been away.
pub const STORE_OUTAGE_GAP: Duration = Duration::from_millis(1_000);
/// Longest wait of one watch while the list may be incomplete.
pub const FIRST_WATCH_WAIT: Duration = Duration::from_millis(400);
/// Time without an answer from another data centre, nor from the store, after which a VM may have
/// missed a decision.
pub const MISSED_DECISION_AFTER: Duration = Duration::from_millis(450);
/// Pause between two questions whether an upstream holds a commit.
pub const COMMIT_CHECK_PAUSE: Duration = Duration::from_millis(15);
/// Pause between two looks whether another data centre has been reached.
pub const REMOTE_CHECK_PAUSE: Duration = Duration::from_millis(2);
/// Time for which a new primary that lacks a commit is asked again, since it may still apply it.
pub const COMMIT_APPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time within which the store has to give the number of a decision.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two tries to take a number in reserve.
pub const RESERVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which the decision of another VM is left alone.
pub const DECISION_HOLD_OFF: Duration = Duration::from_millis(3_000);
/// Pause after a promotion before the group is judged again.
pub const DECISION_COOLDOWN: Duration = Duration::from_millis(1_200);
/// Time for which a call for a promotion is awaited.
pub const PROMOTE_TIMEOUT: Duration = Duration::from_millis(900);
/// Period at which a promoted upstream is asked whether it leads.
pub const PROMOTION_POLL: Duration = Duration::from_millis(25);
/// Time to live of a VM's entry in the store.
pub const MEMBER_TTL: Duration = Duration::from_secs(6);
/// Period of the renewal of that entry.
pub const MEMBER_RENEWAL: Duration = Duration::from_secs(2);
/// Longest wait of one watch. It bounds how long a connection that went silent goes unnoticed.
pub const WATCH_WAIT: Duration = Duration::from_millis(4_000);
/// Shortest time between the starts of two watches, for each member. It bounds the calls of all
/// VMs together where many changes come one after the other.
pub const WATCH_INTERVAL: Duration = Duration::from_millis(6);
/// Longest time between the starts of two watches. A configuration has to be in force soon.
pub const MAX_WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before the store is called again after a failure.
pub const STORE_PAUSE: Duration = Duration::from_millis(250);
/// Time after the return of the store for which entries that vanished with it are kept.
pub const STORE_RETURN_GRACE: Duration = Duration::from_millis(2_500);
/// Time after the signal to stop for which new callers are still served: the balancer takes a VM
/// out after two probes, one a second.
pub const STOP_LINGER: Duration = Duration::from_millis(2_300);
/// Time before the end of the grace period at which the process ends.
pub const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Part of the grace period that an open transaction gets.
pub const STOP_TRANSACTION_SHARE: f64 = 0.55;
/// Part of the usual answer time that each request under way adds to the expected wait.
pub const LOAD_WEIGHT: f64 = 0.6;
/// Expected wait that an upstream in another data centre has to be better by.
pub const REMOTE_PENALTY: Duration = Duration::from_millis(9);
/// Weight of the newest answer time in the usual one.
pub const ANSWER_TIME_WEIGHT: f64 = 0.1;
