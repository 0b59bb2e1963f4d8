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
    /// Followers that did not answer, and until when they are not asked.
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

    /// Returns whether this VM may ask followers.
    #[must_use]
    pub fn may_ask_followers(&self) -> bool {
        let watches = self.tables.is_table_follower() && self.tables.store_available.get();
        self.tables.uses_followers() && !watches
    }

    /// Returns how many VMs are not asked for a while, since they did not answer.
    #[must_use]
    pub fn failed_count(&self) -> usize {
        self.failed.len()
    }

    /// Returns where the next changes come from.
    pub fn choose(&mut self) -> SourceChoice {
        if !self.may_ask_followers() {
            return SourceChoice::Store;
        }
        let now = Instant::now();
        self.failed.retain(|_, until| now < *until);
        let followers = self.tables.table_followers();
        self.found = self
            .found
            .take()
            .filter(|(found, until)| now < *until && followers.contains(found));
        let found = self.found.iter().map(|(found, _)| found);
        let usable = found
            .chain(&followers)
            .find(|follower| !self.failed.contains_key(*follower))
            .cloned();
        if let Some(follower) = usable {
            return SourceChoice::Follower(follower);
        }
        SourceChoice::StoreFrom(now + store_delay(&self.tables.vm))
    }

    /// Asks a follower for the changes after a revision. The follower may wait for
    /// `wait` before it answers.
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
        let is_known = self.found.as_ref().is_some_and(|(vm, _)| vm == follower);
        if result.is_ok() && !is_known {
            let until = Instant::now() + limits::FOLLOWER_KEEP;
            self.found = Some((follower.to_owned(), until));
        }
        if let Err(reason) = &result {
            let until = Instant::now() + limits::FOLLOWER_PAUSE;
            self.failed.insert(follower.to_owned(), until);
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
