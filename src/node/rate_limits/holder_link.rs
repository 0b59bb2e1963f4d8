//! Asks one holder for the tokens of all workspaces whose buckets it holds.

use std::rc;
use std::time;

use crate::decide::rate_stock;
use crate::link::{frame_reader, frame_writer, stream_kind};
use crate::model::ids;
use crate::node::rate_limits::{limit_frame, limit_table, workspace_stock};
use crate::node::{edge, node_tables};

/// Time within which a holder has to answer. Longer than a process with 0.12 cores is usually
/// throttled, and shorter than the time for which tokens are valid.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// Number of parts in which the timeout is waited for. After a pause of this process only one part
/// has elapsed, so an answer that arrived meanwhile is still read.
const ANSWER_TIMEOUT_PARTS: u32 = 10;
/// Time without an ask after which it is checked whether the link is still needed.
const IDLE_TIME: time::Duration = time::Duration::from_secs(30);

struct HolderStream {
    writer: frame_writer::FrameWriter,
    reader: frame_reader::FrameReader,
}

/// Asks the holder `vm` each time that `signal` is notified. Asks that become due while one is
/// under way go together in the next frame.
pub async fn run<E: edge::NodeEdge>(
    tables: rc::Rc<node_tables::NodeTables<E>>,
    vm: ids::VmId,
    signal: rc::Rc<limit_table::LinkSignal>,
) {
    let mut stream = None;
    loop {
        let signalled = tokio::time::timeout(IDLE_TIME, signal.notified()).await;
        if signalled.is_err() && tables.rate_limits.end_link(&vm) {
            return;
        }
        loop {
            let (stocks, frame) = collect_asks(&tables, &vm);
            if stocks.is_empty() {
                break;
            }
            let sent_at = tables.edge.boot_time();
            let result = exchange(&tables, &vm, &mut stream, &frame).await;
            let now = tables.edge.boot_time();
            metrics::histogram!("persimmontack_limit_ask_seconds")
                .record(now.saturating_sub(sent_at).as_secs_f64());
            record(&tables, &vm, &stocks, result, now);
        }
    }
}

fn collect_asks<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    vm: &str,
) -> (
    Vec<rc::Rc<workspace_stock::WorkspaceStock>>,
    limit_frame::LimitAsk,
) {
    let now = tables.edge.boot_time();
    let mut stocks = Vec::new();
    let mut asks = Vec::new();
    for stock in tables.rate_limits.stocks_of(vm) {
        if let Some(ask) = stock.ask(now) {
            asks.push(limit_frame::WorkspaceAsk {
                workspace: stock.workspace.clone(),
                wanted: ask.wanted,
                demand: ask.demand,
                admitted: ask.admitted,
                keeps_rate: ask.keeps_rate,
            });
            stocks.push(stock);
        }
    }
    let version = tables.config().map_or(0, |config| config.version);
    (stocks, limit_frame::LimitAsk { version, asks })
}

async fn exchange<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    vm: &str,
    open: &mut Option<HolderStream>,
    frame: &limit_frame::LimitAsk,
) -> Result<limit_frame::LimitAnswer, String> {
    metrics::counter!("persimmontack_limit_asks_total").increment(1);
    let mut stream = match open.take() {
        Some(stream) => stream,
        None => {
            let client = tables.peers.connect(tables, vm).await?;
            let (writer, reader) = client
                .open(stream_kind::StreamKind::Limits)
                .await
                .map_err(|error| error.to_string())?;
            HolderStream { writer, reader }
        }
    };
    let ask = async {
        stream.writer.send(frame).await?;
        stream.reader.expect().await
    };
    let answer: limit_frame::LimitAnswer = await_answer(ask)
        .await
        .ok_or_else(|| "no answer in time".to_owned())?
        .map_err(|error| error.to_string())?;
    if answer.replies.len() != frame.asks.len() {
        let (found, expected) = (answer.replies.len(), frame.asks.len());
        return Err(format!("{found} replies to {expected} asks"));
    }
    *open = Some(stream);
    Ok(answer)
}

async fn await_answer<T>(ask: impl Future<Output = T>) -> Option<T> {
    tokio::pin!(ask);
    for _ in 0..ANSWER_TIMEOUT_PARTS {
        let part = tokio::time::timeout(ANSWER_TIMEOUT / ANSWER_TIMEOUT_PARTS, &mut ask);
        if let Ok(answer) = part.await {
            return Some(answer);
        }
    }
    None
}

fn record<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    vm: &str,
    stocks: &[rc::Rc<workspace_stock::WorkspaceStock>],
    result: Result<limit_frame::LimitAnswer, String>,
    now: time::Duration,
) {
    let may_continue = !tables.isolation.is_isolated();
    // A stock whose holder has changed meanwhile asks the new one.
    let current = |stock: &workspace_stock::WorkspaceStock| *stock.holder.borrow() == vm;
    match result {
        Ok(answer) => {
            for (stock, reply) in stocks.iter().zip(answer.replies) {
                if current(stock) {
                    stock.record_reply(reply, may_continue, now);
                }
            }
        }
        Err(reason) => {
            let cause = rate_stock::RefusalCause::HolderUnreachable;
            for stock in stocks {
                if current(stock) {
                    stock.record_failure(cause, &reason, may_continue, now);
                }
            }
        }
    }
}
