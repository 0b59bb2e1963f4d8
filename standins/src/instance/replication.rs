//! Replication: followers pull the log from the primary as JSON lines, on the port that also serves
//! clients.
//!
//! A follower first sends `REPLICATE {"term","runs"}`, whose runs name the entries that it has. The
//! primary answers with the last common offset and then sends the entries after it. An empty list
//! is a heartbeat.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use persimmontack::model::ids;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt};

use crate::instance::core_state;
use crate::instance::log_entry;
use crate::instance::shared;

/// First bytes of a follower's connection; a PostgreSQL client starts with a zero byte.
pub const HELLO_PREFIX: &str = "REPLICATE ";

/// Largest number of entries in one line.
const BATCH_ENTRIES: usize = 256;
/// Interval between heartbeats of an idle primary.
const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time without a line from the primary after which a follower reconnects.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Delay before a follower reconnects.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(50);

#[derive(Serialize, Deserialize)]
struct FollowerHello {
    term: ids::TermNumber,
    runs: Vec<core_state::TermRun>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum PrimaryLine {
    Common(ids::LogOffset),
    Entries(Vec<log_entry::LogEntry>),
    Refused {
        primary_term: Option<ids::TermNumber>,
    },
}

type LineReader = tokio::io::Lines<tokio::io::BufReader<tokio::net::tcp::OwnedReadHalf>>;

/// Serves one follower until it disconnects or this instance is no longer the primary of the term.
///
/// # Errors
///
/// Fails if the socket fails or the follower's first line is not valid.
pub async fn serve(
    instance: &shared::SharedInstance,
    socket: tokio::net::TcpStream,
) -> io::Result<()> {
    let (reader, mut writer) = socket.into_split();
    let mut lines = tokio::io::BufReader::new(reader).lines();
    let Some(line) = lines.next_line().await? else {
        return Ok(());
    };
    let hello: FollowerHello =
        serde_json::from_str(line.strip_prefix(HELLO_PREFIX).unwrap_or_default())?;
    let common = instance.with_core(|core| {
        core.learn_term(hello.term, &instance.journal);
        (core.state().primary_term == Some(hello.term)).then(|| core.common_offset(&hello.runs))
    });
    let Some(mut sent) = common else {
        let primary_term = instance.with_core(|core| core.state().primary_term);
        return write_line(&mut writer, &PrimaryLine::Refused { primary_term }).await;
    };
    write_line(&mut writer, &PrimaryLine::Common(sent)).await?;
    let mut version = instance.watch_version();
    loop {
        version.mark_unchanged();
        let batch = instance.with_core(|core| {
            (core.state().primary_term == Some(hello.term))
                .then(|| core.entries_after(sent, BATCH_ENTRIES))
        });
        let Some(entries) = batch else {
            return Ok(());
        };
        if let Some(last) = entries.last() {
            sent = last.offset;
            write_line(&mut writer, &PrimaryLine::Entries(entries)).await?;
            continue;
        }
        tokio::select! {
            _changed = version.changed() => {}
            _ended = lines.next_line() => return Ok(()),
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {
                write_line(&mut writer, &PrimaryLine::Entries(entries)).await?;
            }
        }
    }
}

/// Pulls the log from the followed primary, if any, for as long as the process runs.
pub async fn pull(instance: sync::Arc<shared::SharedInstance>) {
    let mut version = instance.watch_version();
    loop {
        version.mark_unchanged();
        match instance.with_core(|core| core.following().cloned()) {
            Some(target) => {
                if let Err(error) = pull_from(&instance, &target).await {
                    log::debug!("event=pull_ended peer={} cause={error:?}", target.address);
                }
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
            None => {
                if version.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Applies received entries after the apply delay, for as long as the process runs.
pub async fn apply(instance: sync::Arc<shared::SharedInstance>) {
    let mut version = instance.watch_version();
    let mut times = instance.times.changes.subscribe();
    loop {
        version.mark_unchanged();
        times.mark_unchanged();
        let delay = shared::millis(&instance.times.apply_delay_ms);
        let due = instance.with_core(|core| core.apply_due(delay));
        let wait = async {
            match due {
                Some(due) => tokio::time::sleep_until(due.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = wait => {}
            _retimed = times.changed() => {}
            changed = version.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn pull_from(
    instance: &shared::SharedInstance,
    target: &core_state::FollowTarget,
) -> io::Result<()> {
    let address: net::SocketAddr = target.address.parse().map_err(io::Error::other)?;
    let (reader, mut writer) = instance.dialer.connect(address).await?.into_split();
    let hello = FollowerHello {
        term: target.term,
        runs: instance.with_core(|core| core.term_runs()),
    };
    writer.write_all(HELLO_PREFIX.as_bytes()).await?;
    write_line(&mut writer, &hello).await?;
    let mut lines = tokio::io::BufReader::new(reader).lines();
    let PrimaryLine::Common(common) = read_line(&mut lines).await? else {
        return Err(io::Error::other("the peer is not the primary of the term"));
    };
    if !instance.with_core(|core| core.drop_tail(target, common, &instance.journal)) {
        return Ok(());
    }
    let mut version = instance.watch_version();
    let mut times = instance.times.changes.subscribe();
    let mut waiting = collections::VecDeque::new();
    let mut last_heard = tokio::time::Instant::now();
    loop {
        version.mark_unchanged();
        times.mark_unchanged();
        if instance.with_core(|core| core.following() != Some(target)) {
            return Ok(());
        }
        let delay = shared::millis(&instance.times.receive_delay_ms);
        let silent = last_heard + SILENCE_TIMEOUT;
        let due = waiting
            .front()
            .map_or(silent, |(arrived, _): &(tokio::time::Instant, _)| {
                *arrived + delay
            });
        tokio::select! {
            line = lines.next_line() => {
                last_heard = tokio::time::Instant::now();
                for entry in parse_entries(line?)? {
                    waiting.push_back((last_heard, entry));
                }
            }
            () = tokio::time::sleep_until(due) => {
                if waiting.is_empty() {
                    return Err(io::Error::from(io::ErrorKind::TimedOut));
                }
            }
            _changed = version.changed() => {}
            _retimed = times.changed() => {}
        }
        let now = tokio::time::Instant::now();
        while let Some((arrived, entry)) = waiting.pop_front() {
            if arrived + delay > now {
                waiting.push_front((arrived, entry));
                break;
            }
            if !instance.with_core(|core| core.receive(target, entry, &instance.journal)) {
                return Ok(());
            }
        }
    }
}

fn parse_entries(line: Option<String>) -> io::Result<Vec<log_entry::LogEntry>> {
    let line = line.ok_or(io::ErrorKind::UnexpectedEof)?;
    match serde_json::from_str(&line)? {
        PrimaryLine::Entries(entries) => Ok(entries),
        PrimaryLine::Common(_) | PrimaryLine::Refused { .. } => {
            Err(io::Error::other("expected entries"))
        }
    }
}

async fn read_line(lines: &mut LineReader) -> io::Result<PrimaryLine> {
    let line = tokio::time::timeout(SILENCE_TIMEOUT, lines.next_line())
        .await
        .map_err(io::Error::from)??
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(serde_json::from_str(&line)?)
}

async fn write_line<T: Serialize>(
    writer: &mut tokio::net::tcp::OwnedWriteHalf,
    value: &T,
) -> io::Result<()> {
    let mut line = serde_json::to_vec(value)?;
    line.push(b'\n');
    writer.write_all(&line).await
}
