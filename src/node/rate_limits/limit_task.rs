//! Keeps the rate limits up to date with the configuration and the members.

use std::rc;
use std::time;

use crate::node::{edge, node_tables};

/// Period of the task.
const TICK: time::Duration = time::Duration::from_millis(100);
/// Time after which it is rechecked whether there are limits.
const IDLE_TICK: time::Duration = time::Duration::from_secs(5);

/// Keeps the rate limits up to date as long as the node runs.
pub async fn run<E: edge::NodeEdge>(tables: rc::Rc<node_tables::NodeTables<E>>) {
    loop {
        let changed = tables.changed.notified();
        let limited = tables
            .config()
            .is_some_and(|config| config.workspaces.values().any(Option::is_some));
        tables.rate_limits.update(&tables);
        if limited {
            tokio::time::sleep(TICK).await;
        } else {
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep(IDLE_TICK) => {}
            }
        }
    }
}
