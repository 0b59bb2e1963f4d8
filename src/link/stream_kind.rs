//! [`StreamKind`]: the kinds of streams on a link.

/// Kind of messages on a stream. `docs/design.md`, "Messages between processes", lists the frames
/// of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StreamKind {
    /// One unit of work: a statement or a whole transaction. Entry to pool.
    Work,
    /// Upstream states, pushed as they change. Pool to entry.
    Feed,
    /// Requests for fresh upstream states. Entry to pool.
    Observe,
    /// Control tables, pushed as they change. Keeper to the programs on its VM.
    Tables,
    /// Membership and rules. Keeper to keeper.
    Gossip,
    /// Statements of a session that one VM relays to another. Node to node.
    Session,
    /// Asks whether a VM is connected to other data centres. Node to node.
    Reach,
    /// Notices that a decision on the primary of a group has begun. Node to node.
    Lead,
    /// Asks what a VM knows about a group of upstreams. Node to node.
    Group,
    /// Asks a follower for changes of the tables. Node to node.
    Follow,
    /// Tokens of workspaces with a rate limit. Node to node.
    Limits,
    /// Asks whether a VM still has its place among the members. Node to node.
    Place,
    /// Operators' requests. `persimmonctl` to a keeper or an entry.
    Control,
}

impl StreamKind {
    /// Returns the HTTP path of this kind.
    #[must_use]
    pub const fn path(self) -> &'static str {
        match self {
            Self::Work => "/work",
            Self::Feed => "/feed",
            Self::Observe => "/observe",
            Self::Tables => "/tables",
            Self::Gossip => "/gossip",
            Self::Session => "/session",
            Self::Reach => "/reach",
            Self::Lead => "/lead",
            Self::Group => "/group",
            Self::Follow => "/follow",
            Self::Limits => "/limits",
            Self::Place => "/place",
            Self::Control => "/control",
        }
    }

    /// Returns the kind with the given HTTP path, if there is one.
    #[must_use]
    pub fn from_path(path: &str) -> Option<Self> {
        [
            Self::Work,
            Self::Feed,
            Self::Observe,
            Self::Tables,
            Self::Gossip,
            Self::Session,
            Self::Reach,
            Self::Lead,
            Self::Group,
            Self::Follow,
            Self::Limits,
            Self::Place,
            Self::Control,
        ]
        .into_iter()
        .find(|kind| kind.path() == path)
    }
}
