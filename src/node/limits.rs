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
/// Time for which the answer to an abandoned request is awaited before its connection is closed.
pub const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle connection to an upstream is closed, if another one is open.
pub const IDLE_CONNECTION: Duration = Duration::from_millis(1_500);
/// Time after which an idle connection of a workspace is closed, if another one is open.
pub const IDLE_WORKSPACE_CONNECTION: Duration = Duration::from_secs(30);
/// Time that the opening of a connection is expected to take before one has been measured.
pub const FIRST_OPENING_TIME: Duration = Duration::from_millis(15);
/// Longest pause before a new connection after several attempts have failed, without the part by
/// which it differs between VMs.
pub const MAX_CONNECT_PAUSE: Duration = Duration::from_secs(1);
/// Period at which replicas that are leaving are fenced.
pub const FENCE_INTERVAL: Duration = Duration::from_millis(500);
/// Gap between two ticks of the monitor after which its earlier observations are discarded, since
/// the process itself was suspended or starved.
pub const STALL_GAP: Duration = Duration::from_millis(200);
/// Pause between the first two surveys of a group whose commits hang.
pub const STALL_CHECK: Duration = Duration::from_millis(100);
/// Time for which a new caller waits for the first configuration.
pub const FIRST_CONFIG_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Connections of each upstream that are reserved and never used for statements.
pub const RESERVED_CONNECTIONS: u32 = 3;
/// Minimum delay before a hedged request is sent for a read.
pub const HEDGE_AFTER: Duration = Duration::from_millis(110);
/// Delay of a hedged request, as a multiple of the mean answer time.
pub const HEDGE_FACTOR: u32 = 4;
/// Interval at which a read that still has no answer after hedging is rechecked.
pub const HEDGE_STEP: Duration = Duration::from_millis(60);
/// Pause before the retry of a statement that an upstream was too busy to run.
pub const BUSY_PAUSE: Duration = Duration::from_millis(12);
/// Time for which an upstream that lacked a required position gets no other read.
pub const LAG_PAUSE: Duration = Duration::from_millis(80);
/// Interval at which the tables are rechecked while no upstream can serve a statement.
pub const ROUTE_PAUSE: Duration = Duration::from_millis(15);
/// Share of a statement's timeout that it may wait for an upstream. The statement is then refused
/// unexecuted, and the caller can use the remaining time for another VM.
pub const QUEUE_TIME_SHARE: f64 = 0.8;
/// Share of the latency goal that an operation may wait while no change of the primary is in
/// progress.
pub const GOAL_WAIT_SHARE: f64 = 1.0;
/// Retry delay that a refusal asks of the caller.
pub const RETRY_AFTER: Duration = Duration::from_millis(100);
/// Age of the newest position of a primary at which a new one is requested.
pub const POSITION_INTERVAL: Duration = Duration::from_millis(200);
/// Connections to an upstream that each host of its group should have. With few hosts, requests
/// that wait for an upstream are concentrated in few queues.
pub const HOST_CONNECTIONS: u32 = 16;
/// Minimum number of hosts of a group, even if each of them then has fewer connections.
pub const MIN_HOSTS: u32 = 8;
/// Minimum number of connections per host of a group.
pub const MIN_HOST_CONNECTIONS: u32 = 3;
/// Time without an answer from another data centre after which its upstreams are probed.
pub const REMOTE_PROBE_AFTER: Duration = Duration::from_millis(300);
/// Time without an answer from another data centre after which a VM reports that it is cut off.
pub const ISOLATED_AFTER: Duration = Duration::from_millis(700);
/// Time after which a VM that is cut off closes its sessions between two requests. The load
/// balancer has removed it by then, after two failed probes at one per second.
pub const ISOLATED_CLOSE: Duration = Duration::from_millis(2_300);
/// Period at which a VM that hosts no group asks a host whether it is connected.
pub const HOST_QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of hosts that such a VM asks.
pub const MAX_QUERIED_HOSTS: usize = 4;
/// Time within which a link to another VM has to be open.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause before a VM that could not be reached is retried.
pub const PEER_PAUSE: Duration = Duration::from_millis(1_000);
/// Time beyond a statement's timeout within which the host has to report its outcome.
pub const RELAY_MARGIN: Duration = Duration::from_millis(60);
/// Period of the monitor of a group.
pub const MONITOR_TICK: Duration = Duration::from_millis(50);
/// Time within which a probe has to be answered.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which a group has to lack a primary before the VM of rank 0 starts a failover.
pub const FAILOVER_AFTER: Duration = Duration::from_millis(40);
/// Additional delay for each further rank.
pub const RANK_DELAY: Duration = Duration::from_millis(150);
/// Time without a successful commit, while commits are waiting, after which a primary counts as
/// unable to commit.
pub const COMMIT_STALL: Duration = Duration::from_millis(600);
/// Time for which commits are refused after a survey has shown that no replica receives what the
/// primary writes and that none may replace it. Surveys follow one another faster than that.
pub const COMMIT_REFUSAL: Duration = Duration::from_millis(500);
/// Time within which one decision on a primary has to be completed.
pub const DECISION_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time after which a decision that was never closed counts as ended. An unanswered promotion call
/// may take effect up to 12 s later.
pub const DECISION_EXPIRY: Duration = Duration::from_secs(15);
/// Time after which a decision that was never closed is taken over by another VM.
pub const DECISION_ABANDONED: Duration = Duration::from_secs(4);
/// Time after which an accepted promotion has usually taken effect.
pub const USUAL_PROMOTION_TIME: Duration = Duration::from_millis(900);
/// Time within which an accepted promotion has to take effect.
pub const PROMOTION_EFFECT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval at which a VM without the store asks the other hosts of a group for their lists.
pub const LIST_QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a proof that the primary leads after which statements that need it are refused at
/// once.
pub const UNPROVED_REFUSAL: Duration = Duration::from_millis(500);
/// Timeout for the other hosts of a group to confirm the notice of a decision.
pub const NOTICE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a decision waits for a list that the store gives after the replies of the hosts.
pub const LIST_TIMEOUT: Duration = Duration::from_millis(800);
/// Time between two answers of the store after which it may have been unavailable.
pub const STORE_OUTAGE_GAP: Duration = Duration::from_millis(1_000);
/// Interval at which a decision asks the store again for a current list.
pub const LIST_CHECK_PAUSE: Duration = Duration::from_millis(15);
/// Longest wait of one watch while the list may be incomplete.
pub const FIRST_WATCH_WAIT: Duration = Duration::from_millis(400);
/// Time without an answer from another data centre or the store after which a VM may have missed a
/// decision.
pub const MISSED_DECISION_AFTER: Duration = Duration::from_millis(450);
/// Interval at which upstreams are asked whether they hold a commit.
pub const COMMIT_CHECK_PAUSE: Duration = Duration::from_millis(15);
/// Interval at which it is rechecked whether another data centre has been reached.
pub const REMOTE_CHECK_PAUSE: Duration = Duration::from_millis(2);
/// Time for which a new primary that lacks a commit is asked again, since it may still be applying
/// its log.
pub const COMMIT_APPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of claiming a decision number from the store.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between attempts to reserve a decision number.
pub const RESERVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after a decision was seen for which no other decision is started.
pub const DECISION_HOLD_OFF: Duration = Duration::from_millis(3_000);
/// Time after the end of a decision of this VM before it starts another one.
pub const DECISION_COOLDOWN: Duration = Duration::from_millis(1_200);
/// Timeout of a promotion call.
pub const PROMOTE_TIMEOUT: Duration = Duration::from_millis(900);
/// Interval at which a promoted upstream is asked whether it is the primary.
pub const PROMOTION_POLL: Duration = Duration::from_millis(25);
/// Time to live of a VM's entry in the store.
pub const MEMBER_TTL: Duration = Duration::from_secs(6);
/// Period of the renewal of that entry.
pub const MEMBER_RENEWAL: Duration = Duration::from_secs(2);
/// Pause before a failed renewal of that entry is retried.
pub const MEMBER_RETRY: Duration = Duration::from_millis(500);
/// Timeout of a call to the store that does not wait for a change.
pub const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time from the acknowledgement of a configuration until it has to be in force, unless the
/// settings say otherwise.
pub const CONFIG_APPLY_LIMIT: Duration = Duration::from_secs(3);
/// Time from the report of an upstream that it leaves until it may get no more statements, unless the
/// settings say otherwise.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(7);
/// Part of that time by which a VM may learn of the report late, and statements may be under way.
pub const DRAIN_MARGIN_PARTS: u32 = 5;
/// Part of that time for which an upstream gets statements that was leaving already when this VM
/// started.
pub const DRAIN_START_PARTS: u32 = 2;
/// Part of that time that is left when a planned move waits no longer for the fences of all other
/// replicas, and has the primary step down.
pub const STEP_DOWN_SHARE: f64 = 0.4;
/// Time for which a planned move waits for a replica that holds the log of a primary that has stepped
/// down, before it has that one promoted again.
pub const MOVE_CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);
/// Part of the time for a configuration that is left for the next call when a watch is noticed to be lost.
pub const LOST_WATCH_RESERVE: Duration = Duration::from_millis(600);
/// Upper bound of that part, as a fraction of the whole time.
pub const LOST_WATCH_RESERVE_PARTS: u32 = 4;
/// Time that a watch gets for its answer, beyond the time that it waits.
pub const WATCH_MARGIN: Duration = Duration::from_millis(1_000);
/// Upper bound of that time, as a fraction of the time within which a lost watch is noticed.
pub const WATCH_MARGIN_PARTS: u32 = 5;
/// Age of the tables at which a VM that gets them from others asks the store, as a fraction of the time for a
/// configuration.
pub const QUESTION_AGE_PARTS: u32 = 2;
/// Upper bound of the timeout of a watch that does not wait, as a fraction of the time for a
/// configuration.
pub const QUESTION_PARTS: u32 = 3;
/// Shortest wait of a watch that waits.
pub const MIN_WATCH_WAIT: Duration = Duration::from_millis(100);
/// Longest wait of a watch.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(4);
/// Pause between two watches, multiplied by the number of members. Bounds the total call rate of
/// all VMs when many changes arrive in succession.
pub const WATCH_PAUSE: Duration = Duration::from_millis(6);
/// Upper bound of that pause, so that a new configuration is applied soon.
pub const MAX_WATCH_PAUSE: Duration = Duration::from_secs(1);
/// Pause between two watches while the list may be incomplete.
pub const FIRST_WATCH_PAUSE: Duration = Duration::from_millis(400);
/// Time for which a follower may wait for a change of the tables before it answers.
pub const FOLLOWER_WAIT: Duration = Duration::from_millis(1_000);
/// Upper bound of that time, as a fraction of the time for a configuration.
pub const FOLLOWER_WAIT_PARTS: u32 = 8;
/// Time that a follower gets for its answer beyond its wait.
pub const FOLLOWER_MARGIN: Duration = Duration::from_millis(500);
/// Time for which a follower that did not answer is not asked again.
pub const FOLLOWER_PAUSE: Duration = Duration::from_secs(2);
/// Time for which a follower that did not answer is asked after the others.
pub const FOLLOWER_MEMORY: Duration = Duration::from_secs(10);
/// Time between two calls to the store of a VM that asks followers, while the store does not answer.
pub const STORE_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);
/// Upper bound of the wait of a follower's watch, as a fraction of the time for a configuration.
pub const FOLLOWER_WATCH_PARTS: u32 = 8;
/// Pause between two questions to a follower, so that a burst of changes comes in few answers.
pub const FOLLOWER_INTERVAL: Duration = Duration::from_millis(100);
/// Number of VMs from which on followers watch the store for the others. With fewer, a watch on each
/// VM costs little.
pub const MIN_FOLLOWED_MEMBERS: u32 = 16;
/// Number of followers in other data centres that a VM asks before it turns to the store.
pub const MAX_REMOTE_FOLLOWERS: usize = 2;
/// Number of other members, and of former ones, that a VM asks which the store does not serve. Of sixteen, not
/// all are turned away unless the store does so with nearly every VM.
pub const MAX_ASKED_MEMBERS: usize = 16;
/// Time for which a VM that has answered is asked before the followers.
pub const FOLLOWER_KEEP: Duration = Duration::from_secs(10);
/// Longest delay before a VM whose followers do not answer turns to the store.
pub const MAX_STORE_DELAY: Duration = Duration::from_millis(480);
/// Pause before a failed call to the store is retried.
pub const STORE_PAUSE: Duration = Duration::from_millis(250);
/// Time for which vanished entries are kept; it restarts at the end of an outage of the store.
pub const STORE_RETURN_GRACE: Duration = Duration::from_millis(2_500);
/// Time for which the last entry of a removed upstream, or of a VM, is remembered. A copy of the store that is restored
/// is some seconds old.
pub const REMOVED_MEMORY: Duration = Duration::from_secs(120);
/// Time after the stop signal for which new callers are still served: the load balancer removes a
/// VM after two failed probes at one per second.
pub const STOP_LINGER: Duration = Duration::from_millis(2_300);
/// Time before the end of the grace period at which the process ends.
pub const STOP_MARGIN: Duration = Duration::from_millis(500);
/// Share of the grace period that an open transaction gets.
pub const STOP_TRANSACTION_SHARE: f64 = 0.55;
