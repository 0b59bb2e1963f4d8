//! [`PoolLink`]: the connections to one pool, and its feed.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::entry::context;
use crate::event;
use crate::link::{client, feed_update, frame_reader, frame_writer, link_error, stream_kind};
use crate::model::ids;

/// Pause before another attempt to connect.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Time between two looks at a connection that carries no feed.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The connections to one pool.
#[derive(Debug)]
pub struct PoolLink {
    pub vm: ids::VmId,
    pub address: net::SocketAddr,
    clients: Vec<arc_swap::ArcSwapOption<client::PeerClient>>,
    next: atomic::AtomicUsize,
    leaving: atomic::AtomicBool,
    reports: sync::Mutex<collections::HashMap<ids::UpstreamId, feed_update::UpstreamReport>>,
    tasks: sync::Mutex<tokio::task::JoinSet<()>>,
}

impl PoolLink {
    /// Creates the link and starts to connect. The tasks end when the link is closed.
    pub fn start(
        context: &sync::Arc<context::EntryContext>,
        vm: &str,
        address: net::SocketAddr,
    ) -> sync::Arc<Self> {
        let count = context.settings.limits.pool_connections;
        let link = sync::Arc::new(Self {
            vm: vm.to_owned(),
            address,
            clients: (0..count)
                .map(|_| arc_swap::ArcSwapOption::empty())
                .collect(),
            next: atomic::AtomicUsize::new(0),
            leaving: atomic::AtomicBool::new(false),
            reports: sync::Mutex::default(),
            tasks: sync::Mutex::default(),
        });
        let mut tasks = link
            .tasks
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        for number in 0..count {
            tasks.spawn(sync::Arc::clone(&link).keep(sync::Arc::clone(context), number));
        }
        drop(tasks);
        link
    }

    /// Stops connecting and forgets the pool's reports.
    pub fn close(&self, context: &context::EntryContext) {
        self.tasks
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .abort_all();
        context.forget_pool(&self.vm);
    }

    /// Tells whether new units of work may go there.
    pub fn is_usable(&self) -> bool {
        !self.leaving.load(atomic::Ordering::Acquire) && self.pick().is_some()
    }

    /// Opens a stream on one of the connections.
    pub async fn open(
        &self,
        kind: stream_kind::StreamKind,
    ) -> Result<(frame_writer::FrameWriter, frame_reader::FrameReader), link_error::LinkError> {
        let Some(client) = self.pick() else {
            return Err(link_error::LinkError::new(
                link_error::LinkStep::Connect,
                &self.address.to_string(),
                "no connection to the pool",
            ));
        };
        client.open(kind).await
    }

    /// Returns the pool's last report on each upstream.
    pub fn reports(&self) -> Vec<feed_update::UpstreamReport> {
        self.reports
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .values()
            .cloned()
            .collect()
    }

    fn pick(&self) -> Option<sync::Arc<client::PeerClient>> {
        let first = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        (0..self.clients.len()).find_map(|step| {
            let slot = self
                .clients
                .get((first.wrapping_add(step)) % self.clients.len())?;
            slot.load_full().filter(|client| client.is_open())
        })
    }

    async fn keep(self: sync::Arc<Self>, context: sync::Arc<context::EntryContext>, number: usize) {
        let Some(slot) = self.clients.get(number) else {
            return;
        };
        loop {
            match client::PeerClient::connect(&context.dialer, self.address, &context.hello).await {
                Ok(client) => {
                    slot.store(Some(sync::Arc::new(client.clone())));
                    if number == 0 {
                        let ended = self.follow_feed(&context, &client).await;
                        let cause = ended
                            .err()
                            .map_or_else(|| "ended".to_owned(), |e| e.to_string());
                        event::warn("feed_ended", &[("pool", &self.vm), ("cause", &cause)]);
                        self.reports
                            .lock()
                            .unwrap_or_else(sync::PoisonError::into_inner)
                            .clear();
                        context.forget_pool(&self.vm);
                    } else {
                        while client.is_open() {
                            tokio::time::sleep(CHECK_INTERVAL).await;
                        }
                    }
                    slot.store(None);
                }
                Err(error) => {
                    event::debug("pool_unreachable", &[("pool", &self.vm), ("cause", &error)]);
                }
            }
            tokio::time::sleep(RECONNECT_PAUSE).await;
        }
    }

    async fn follow_feed(
        &self,
        context: &context::EntryContext,
        client: &client::PeerClient,
    ) -> Result<(), link_error::LinkError> {
        let (mut writer, mut reader) = client.open(stream_kind::StreamKind::Feed).await?;
        writer.finish()?;
        while let Some(update) = reader.next::<feed_update::FeedUpdate>().await? {
            self.leaving
                .store(update.leaving, atomic::Ordering::Release);
            for report in update.reports {
                context.apply_report(&self.vm, &report);
                self.reports
                    .lock()
                    .unwrap_or_else(sync::PoisonError::into_inner)
                    .insert(report.state.upstream.clone(), report);
            }
            context.note_feed();
        }
        Ok(())
    }
}
