//! [`AcknowledgedWrites`]: the writes that were acknowledged to callers.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use persimmontack::node::answers::{CallerAnswer, ErrorCode};
use standins::cluster::cluster_edge::ClusterEdge;
use standins::cluster::test_caller::{CallerReply, TestCaller};

use crate::node_support as support;

/// Pause of a writer between two writes.
const WRITE_PAUSE: Duration = Duration::from_millis(50);

/// The data of the writes that were acknowledged to callers. The data of each write is unique.
#[derive(Clone, Default)]
pub struct AcknowledgedWrites {
    data: Rc<RefCell<Vec<String>>>,
}

impl AcknowledgedWrites {
    /// Writes `data`, and returns the answer to the caller.
    pub async fn write(&self, caller: &mut TestCaller, data: &str) -> CallerAnswer {
        let answer = caller
            .ask(support::write(), &format!("WRITE item {data}"))
            .await;
        self.note(data, &answer);
        answer
    }

    /// Writes `data`, whose commit rests on a replica that no VM counts yet, so that its caller is
    /// not told of it. The primary acknowledges it, and its successor has to hold it like the others.
    pub async fn write_untold(&self, caller: &mut TestCaller, data: &str) {
        let answer = self.write(caller, data).await;
        assert_eq!(support::code(&answer), ErrorCode::Unknown);
        self.data.borrow_mut().push(data.to_owned());
    }

    fn note(&self, data: &str, answer: &CallerAnswer) {
        if answer.result.is_ok() {
            self.data.borrow_mut().push(data.to_owned());
        }
    }

    /// Writes continuously in the background, and opens a new session whenever one ends.
    pub fn keep_writing(&self, node: &support::TestNode) {
        let writes = self.clone();
        let (tables, stop) = (Rc::clone(&node.tables), Rc::clone(&node.stop));
        tokio::task::spawn_local(async move {
            let mut caller = None;
            for number in 0_u64.. {
                let data = format!("{}-{number}", tables.vm);
                let mut open = match caller.take() {
                    Some(open) => open,
                    None => support::open(&tables, &stop, support::LATEST),
                };
                open.send(support::write(), &format!("WRITE item {data}"));
                while let Some(reply) = open.reply().await {
                    if let CallerReply::Answer(answer) = reply {
                        writes.note(&data, &answer);
                        caller = Some(open);
                        break;
                    }
                }
                tokio::time::sleep(WRITE_PAUSE).await;
            }
        });
    }

    /// Returns the number of acknowledged writes.
    pub fn count(&self) -> usize {
        self.data.borrow().len()
    }

    /// Fails if the current primary lacks an acknowledged write.
    pub fn check(&self, edge: &ClusterEdge) {
        let state = edge.state.borrow();
        let leader = state.primary().expect("a leader");
        let log = &state.instances[leader].log;
        let held: Vec<_> = log
            .iter()
            .flat_map(|entry| &entry.changes)
            .map(|(_, data)| data.as_ref())
            .collect();
        let data = self.data.borrow();
        let lost: Vec<_> = data
            .iter()
            .filter(|data| !held.contains(&data.as_bytes()))
            .collect();
        assert!(
            lost.is_empty(),
            "{leader} lacks acknowledged commits: {lost:?}"
        );
    }
}
