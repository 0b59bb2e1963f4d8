//! [`StoreQuestion`]: a call to the store that is under way while other VMs are asked.

use std::rc;
use std::time;

use tokio::time::Instant;

use crate::node::{edge, node_tables, watch_schedule};

/// A call to the store for the changes after a revision that does not wait for one. It goes on while the
/// VM asks others, and is abandoned when it is dropped.
#[derive(Debug)]
pub struct StoreQuestion {
    began_at: time::Duration,
    sent_at: Instant,
    task: tokio::task::JoinHandle<Result<edge::ControlChanges, edge::StoreError>>,
}

/// The answer to a [`StoreQuestion`], or why there is none.
#[derive(Debug)]
pub struct AnsweredQuestion {
    /// When the call began, by [`edge::NodeEdge::boot_time`].
    pub began_at: time::Duration,
    /// When the call was sent.
    pub sent_at: Instant,
    /// The changes.
    pub result: Result<edge::ControlChanges, edge::StoreError>,
}

impl StoreQuestion {
    /// Asks the store for the changes after `revision`.
    #[must_use]
    pub fn send<E: edge::NodeEdge>(
        tables: &rc::Rc<node_tables::NodeTables<E>>,
        revision: edge::RevisionNumber,
        times: watch_schedule::WatchTimes,
    ) -> Self {
        let tables = rc::Rc::clone(tables);
        Self {
            began_at: tables.edge.boot_time(),
            sent_at: Instant::now(),
            task: tokio::task::spawn_local(async move { tables.edge.watch(revision, times).await }),
        }
    }

    /// Waits for the answer to a question, and forgets the question. Waits for ever if there is none.
    pub async fn take_answer(question: &mut Option<Self>) -> AnsweredQuestion {
        let Some(asked) = question else {
            return std::future::pending().await;
        };
        let result = (&mut asked.task)
            .await
            .unwrap_or_else(|error| Err(edge::StoreError::NoAnswer(error.to_string())));
        let answered = AnsweredQuestion {
            began_at: asked.began_at,
            sent_at: asked.sent_at,
            result,
        };
        *question = None;
        answered
    }
}

impl Drop for StoreQuestion {
    fn drop(&mut self) {
        self.task.abort();
    }
}
