//! [`TableSource`]: where this VM gets changes of the tables from: the store, or a follower.

use std::collections;
use std::rc;
use std::time;

use tokio::time::Instant;

use crate::decide::{ownership, table_followers};
use crate::link::{frame_reader, frame_writer, stream_kind};
use crate::model::ids;
use crate::node::tables::{table_frame, table_origin};
use crate::node::{edge, limits, node_log, node_tables};

/// Where the next changes come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SourceChoice {
    /// The store itself.
    Store,
    /// A follower.
    Follower(ids::VmId),
    /// No follower answers; the store may be asked from this time on.
    StoreFrom(Instant),
}

/// Answer of a follower.
#[derive(Debug)]
pub struct FollowerAnswer {
    /// Changes, or the full listing.
    pub changes: edge::ControlChanges,
    /// Whether these are all items.
    pub is_listing: bool,
    /// Latest time at which the call to the store can have begun on which the answer rests, by
    /// [`edge::NodeEdge::boot_time`].
    pub began_at: time::Duration,
    /// VMs that have passed the answer on.
    pub hops: table_origin::HopCount,
}

#[derive(Debug)]
struct FollowerStream {
    vm: ids::VmId,
    writer: frame_writer::FrameWriter,
    reader: frame_reader::FrameReader,
}

/// Where this VM gets changes of the tables from.
#[derive(Debug)]
pub struct TableSource<E: edge::NodeEdge> {
    tables: rc::Rc<node_tables::NodeTables<E>>,
    stream: Option<FollowerStream>,
    /// VMs that did not answer, and when that was.
    failed: collections::BTreeMap<ids::VmId, Instant>,
    /// The VM that answered last, and until when it is asked before the others.
    found: Option<(ids::VmId, Instant)>,
}

impl<E: edge::NodeEdge> TableSource<E> {
    /// Creates a source without an open stream.
    #[must_use]
    pub const fn new(tables: rc::Rc<node_tables::NodeTables<E>>) -> Self {
        Self {
            tables,
            stream: None,
            failed: collections::BTreeMap::new(),
            found: None,
        }
    }

    /// Returns whether this VM may ask others: it does not watch the store itself, or the store does not serve
    /// it.
    #[must_use]
    pub fn may_ask_others(&self) -> bool {
        !self.watches_store() && !self.tables.table_followers().is_empty()
    }

    fn watches_store(&self) -> bool {
        self.tables.is_table_follower() && self.tables.store_available.get()
    }

    /// Returns how many VMs have not answered lately.
    #[must_use]
    pub fn failed_count(&self) -> usize {
        self.failed.len()
    }

    /// Returns whether a VM is not asked for a while, since it did not answer.
    fn is_paused(&self, follower: &str, now: Instant) -> bool {
        let failed_at = self.failed.get(follower);
        failed_at.is_some_and(|failed_at| now < *failed_at + limits::FOLLOWER_PAUSE)
    }

    /// Returns whether a VM is the one that answered last.
    fn is_found(&self, follower: &str) -> bool {
        self.found.as_ref().is_some_and(|(vm, _)| vm == follower)
    }

    /// Returns where the next changes come from.
    pub fn choose(&mut self) -> SourceChoice {
        if self.watches_store() {
            return SourceChoice::Store;
        }
        let followers = self.tables.table_followers();
        if followers.is_empty() {
            return SourceChoice::Store;
        }
        let now = Instant::now();
        self.failed
            .retain(|_, failed_at| now < *failed_at + limits::FOLLOWER_MEMORY);
        self.found = self
            .found
            .take()
            .filter(|(found, until)| now < *until && followers.contains(found));
        let found = self.found.iter().map(|(found, _)| found);
        // Those that failed come last, or a few that hang would be asked in turn and nobody else.
        let usable = found
            .chain(&followers)
            .filter(|follower| !self.is_paused(follower, now))
            .min_by_key(|follower| self.failed.get(*follower));
        if let Some(follower) = usable {
            return SourceChoice::Follower(follower.clone());
        }
        SourceChoice::StoreFrom(now + store_delay(&self.tables.vm))
    }

    /// Asks a follower for the changes after a revision. One that has answered before may wait for `wait`
    /// before it answers again; another one answers at once, so that one that hangs is noticed soon.
    ///
    /// # Errors
    ///
    /// Fails if the follower cannot be reached, does not answer in time or does not reach the store
    /// itself. It is then not asked for a while.
    pub async fn ask(
        &mut self,
        follower: &str,
        after: edge::RevisionNumber,
        wait: time::Duration,
    ) -> Result<FollowerAnswer, String> {
        let is_known = self.is_found(follower);
        let wait = if is_known { wait } else { time::Duration::ZERO };
        let limit = wait + limits::FOLLOWER_MARGIN;
        let config = self.tables.config().map_or(0, |config| config.version);
        let query = table_frame::TableQuery {
            after,
            config,
            wait,
        };
        let result = tokio::time::timeout(limit, self.exchange(follower, query))
            .await
            .unwrap_or_else(|elapsed| Err(elapsed.to_string()));
        if result.is_ok() && !is_known {
            let until = Instant::now() + limits::FOLLOWER_KEEP;
            self.found = Some((follower.to_owned(), until));
        }
        if let Err(reason) = &result {
            self.failed.insert(follower.to_owned(), Instant::now());
            metrics::counter!("persimmontack_table_followers_lost_total").increment(1);
            node_log::info(
                "table_follower_lost",
                &[("vm", &follower), ("reason", reason)],
            );
        }
        result
    }

    async fn exchange(
        &mut self,
        follower: &str,
        query: table_frame::TableQuery,
    ) -> Result<FollowerAnswer, String> {
        // The stream is put back only after the answer: the answer to an abandoned query must not be
        // taken for that to the next one.
        let mut stream = match self.stream.take() {
            Some(stream) if stream.vm == follower => stream,
            _ => self.open(follower).await?,
        };
        let sent_at = self.tables.edge.boot_time();
        stream
            .writer
            .send(&query)
            .await
            .map_err(|error| error.to_string())?;
        let reply: table_frame::TableReply = stream
            .reader
            .expect()
            .await
            .map_err(|error| error.to_string())?;
        self.stream = Some(stream);
        let (report, is_listing) = match reply {
            table_frame::TableReply::Changes(report) => (report, false),
            table_frame::TableReply::Listing(report) => (report, true),
            table_frame::TableReply::Unavailable(newer) => {
                if let Some(report) = newer {
                    let origin = table_origin::TableOrigin {
                        vm: Some(follower.to_owned()),
                        hops: report.hops,
                    };
                    self.tables.apply_config_from(report.config, origin);
                }
                return Err("the follower does not reach the store".to_owned());
            }
        };
        Ok(FollowerAnswer {
            changes: edge::ControlChanges {
                changes: report.changes,
                revision: report.revision,
            },
            is_listing,
            // The follower received the query after it was sent, so the call began no earlier than this.
            began_at: (sent_at + report.held).saturating_sub(report.age),
            hops: report.hops,
        })
    }

    async fn open(&self, follower: &str) -> Result<FollowerStream, String> {
        let client = self.tables.peers.connect(&self.tables, follower).await?;
        let (writer, reader) = client
            .open(stream_kind::StreamKind::Follow)
            .await
            .map_err(|error| error.to_string())?;
        Ok(FollowerStream {
            vm: follower.to_owned(),
            writer,
            reader,
        })
    }
}

/// Returns the delay before a VM turns to the store because no follower answers. It differs between
/// VMs, so that they do not all turn to the store at once.
fn store_delay(vm: &str) -> time::Duration {
    let parts = 1 + u32::try_from(ownership::score("store-delay", vm) % 16).unwrap_or_default();
    limits::MAX_STORE_DELAY / 16 * parts
}

/// Returns the VMs that `vm` asks for changes, in this order: the followers of its data centre and some of
/// the others.
#[must_use]
pub fn order_all_followers(
    vm: &str,
    data_centre: &str,
    members: &collections::BTreeMap<ids::VmId, crate::node::member::MemberEntry>,
) -> Vec<ids::VmId> {
    let mut by_data_centre: collections::BTreeMap<&str, Vec<&str>> = collections::BTreeMap::new();
    for (member, entry) in members {
        by_data_centre
            .entry(&entry.data_centre)
            .or_default()
            .push(member);
    }
    let followers_of =
        |members: &Vec<&str>| table_followers::choose_followers(members.iter().copied());
    let (local, remote): (Vec<_>, Vec<_>) = by_data_centre
        .iter()
        .partition(|(place, _)| **place == data_centre);
    let local_followers: Vec<_> = local
        .iter()
        .flat_map(|(_, members)| followers_of(members))
        .collect();
    let remote_followers: Vec<_> = remote
        .iter()
        .flat_map(|(_, members)| followers_of(members))
        .collect();
    let ranked = |vms: &[ids::VmId], count: usize| {
        let others = vms.iter().map(String::as_str).filter(|other| *other != vm);
        let mut ranked = table_followers::rank_followers(vm, others);
        ranked.truncate(count);
        ranked
    };
    let mut order = ranked(&local_followers, local_followers.len());
    order.extend(ranked(&remote_followers, limits::MAX_REMOTE_FOLLOWERS));
    order
}
