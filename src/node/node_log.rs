//! Rate-limited logging of a node: one line per event, with a budget of lines per second.
//!
//! Requests that were served as usual have a small budget of their own, so they are omitted first.
//! Omitted lines are counted by kind and reported once per second. See `docs/OPERATIONS.md`, "What
//! is logged".

use std::cell;
use std::collections;
use std::time;

use crate::event;
use crate::node::node_tables;

/// Lines per second for requests that were served as usual.
const SERVED_LINES_PER_SECOND: u32 = 5;
/// Lines per second for everything else.
const OTHER_LINES_PER_SECOND: u32 = 400;

#[derive(Debug, Default)]
struct LineBudget {
    second: u64,
    served: u32,
    other: u32,
    omitted: collections::BTreeMap<&'static str, u64>,
}

thread_local! {
    static BUDGET: cell::RefCell<LineBudget> = cell::RefCell::default();
}

fn reserve_line(name: &'static str, served: bool, now: time::Duration) -> bool {
    let (allowed, report) = BUDGET.with_borrow_mut(|budget| {
        let mut report = collections::BTreeMap::new();
        if budget.second != now.as_secs() {
            budget.second = now.as_secs();
            budget.served = 0;
            budget.other = 0;
            report = std::mem::take(&mut budget.omitted);
        }
        let (used, max_lines) = if served {
            (&mut budget.served, SERVED_LINES_PER_SECOND)
        } else {
            (&mut budget.other, OTHER_LINES_PER_SECOND)
        };
        let allowed = *used < max_lines;
        if allowed {
            *used += 1;
        } else {
            *budget.omitted.entry(name).or_default() += 1;
        }
        (allowed, report)
    });
    for (kind, count) in report {
        metrics::counter!("persimmontack_log_lines_omitted_total", "kind" => kind).increment(count);
        event::info("lines_omitted", &[("kind", &kind), ("count", &count)]);
    }
    allowed
}

/// Logs a request that was served as usual.
pub fn request_served(name: &'static str, pairs: &[(&str, event::EventValue<'_>)]) {
    if log::log_enabled!(log::Level::Info) && reserve_line(name, true, node_tables::monotonic_now())
    {
        event::info(name, pairs);
    }
}

/// Logs a change of the node's state.
pub fn info(name: &'static str, pairs: &[(&str, event::EventValue<'_>)]) {
    if reserve_line(name, false, node_tables::monotonic_now()) {
        event::info(name, pairs);
    }
}

/// Logs a failure, refusal, retry or unknown outcome.
pub fn warn(name: &'static str, pairs: &[(&str, event::EventValue<'_>)]) {
    if reserve_line(name, false, node_tables::monotonic_now()) {
        event::warn(name, pairs);
    }
}

/// Logs a detail for debugging.
pub fn debug(name: &'static str, pairs: &[(&str, event::EventValue<'_>)]) {
    if log::log_enabled!(log::Level::Debug)
        && reserve_line(name, false, node_tables::monotonic_now())
    {
        event::debug(name, pairs);
    }
}
