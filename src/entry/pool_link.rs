//! [`PoolLink`]: the connections to one pool and the subscription to its feed, open while the entry
//! needs them.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::entry::context;
use crate::event;
use crate::link::{client, feed_update, frame_reader, frame_writer, link_error, stream_kind};
use crate::model::ids;

/// Pause before reconnecting.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Interval between two checks of a connection that carries no feed.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Time that a link has to connect before the next candidate pool is opened too. Connecting takes
/// two round trips, so a pool that needs longer is treated as unavailable.
const OPEN_GRACE: time::Duration = time::Duration::from_millis(250);

/// Times at which the link was opened and last needed, since the start of the process, and the
/// tasks that maintain its connections.
#[derive(Debug, Default)]
struct LinkUsage {
    opened: Option<time::Duration>,
    last_needed: time::Duration,
    tasks: tokio::task::JoinSet<()>,
}

/// The connections to one pool.
#[derive(Debug)]
pub struct PoolLink {
    pub vm: ids::VmId,
    pub address: net::SocketAddr,
    clients: Vec<arc_swap::ArcSwapOption<client::PeerClient>>,
    next: atomic::AtomicUsize,
    leaving: atomic::AtomicBool,
    reports: sync::Mutex<collections::HashMap<ids::UpstreamId, feed_update::UpstreamReport>>,
    usage: sync::Mutex<LinkUsage>,
}

impl PoolLink {
    /// Creates a link that is closed until [`Self::ensure_open`] opens it.
    pub fn new(connections: usize, vm: &str, address: net::SocketAddr) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            vm: vm.to_owned(),
            address,
            clients: (0..connections)
                .map(|_| arc_swap::ArcSwapOption::empty())
                .collect(),
            next: atomic::AtomicUsize::new(0),
            leaving: atomic::AtomicBool::new(false),
            reports: sync::Mutex::default(),
            usage: sync::Mutex::default(),
        })
    }

    /// Records that the pool is needed now and starts to connect if the link is closed.
    pub fn ensure_open(self: &sync::Arc<Self>, context: &sync::Arc<context::EntryContext>) {
        let mut usage = self.usage();
        usage.last_needed = context.now();
        if usage.opened.is_some() {
            return;
        }
        usage.opened = Some(usage.last_needed);
        for number in 0..self.clients.len() {
            let task =
                sync::Arc::clone(self).maintain_connection(sync::Arc::clone(context), number);
            usage.tasks.spawn(task);
        }
    }

    /// Returns whether the link was opened so recently that it may still be connecting.
    pub fn is_opening(&self, now: time::Duration) -> bool {
        let opened = self.usage().opened;
        opened.is_some_and(|opened| now < opened + OPEN_GRACE)
    }

    /// Closes the link if it has not been needed for longer than `timeout`.
    pub fn close_idle(&self, context: &context::EntryContext, timeout: time::Duration) {
        let usage = self.usage();
        if usage.opened.is_some() && context.now() > usage.last_needed + timeout {
            drop(usage);
            self.close(context);
        }
    }

    /// Closes the link and discards the pool's reports. Open streams are not affected.
    pub fn close(&self, context: &context::EntryContext) {
        let mut usage = self.usage();
        usage.opened = None;
        usage.tasks.abort_all();
        usage.tasks.detach_all();
        for slot in &self.clients {
            slot.store(None);
        }
        self.reports().clear();
        drop(usage);
        context.forget_pool(&self.vm);
    }

    /// Returns whether the pool accepts new work for the upstream: it is usable and has not
    /// reported the upstream as unreachable.
    pub fn can_serve(&self, upstream: &str) -> bool {
        self.is_usable()
            && self
                .reports()
                .get(upstream)
                .is_none_or(|report| report.reachable)
    }

    fn usage(&self) -> sync::MutexGuard<'_, LinkUsage> {
        self.usage
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn reports(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<ids::UpstreamId, feed_update::UpstreamReport>>
    {
        self.reports
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns whether the pool accepts new units of work: it is connected and not leaving.
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
    pub fn last_reports(&self) -> Vec<feed_update::UpstreamReport> {
        self.reports().values().cloned().collect()
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

    async fn maintain_connection(
        self: sync::Arc<Self>,
        context: sync::Arc<context::EntryContext>,
        number: usize,
    ) {
        let Some(slot) = self.clients.get(number) else {
            return;
        };
        loop {
            match client::PeerClient::connect(&context.dialer, self.address, &context.hello).await {
                Ok(client) => {
                    slot.store(Some(sync::Arc::new(client.clone())));
                    context.pool_opened.notify_waiters();
                    if number == 0 {
                        let ended = self.follow_feed(&context, &client).await;
                        let cause = ended
                            .err()
                            .map_or_else(|| "ended".to_owned(), |e| e.to_string());
                        event::warn("feed_ended", &[("pool", &self.vm), ("cause", &cause)]);
                        self.reports().clear();
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
                self.reports().insert(report.state.upstream.clone(), report);
            }
            context.record_feed();
        }
        Ok(())
    }
}
