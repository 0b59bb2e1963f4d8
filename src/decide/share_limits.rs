//! [`ShareLimits`]: how a VM's share of the connections to an upstream is divided.
//!
//! It answers the load of one large workspace, and of 120 callers that stay idle in transactions:
//! neither may take all connections that the VM has.

/// Connections of which one is reserved for workspaces that have none.
const SHARE_PER_RESERVED: u32 = 8;
/// Connections of which one is kept free of transactions.
const SHARE_PER_UNBOUND: u32 = 4;

/// Limits on the connections of a VM to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShareLimits {
    /// All connections of the VM.
    pub share: u32,
    /// Connections that only a workspace without a connection may open.
    pub reserve: u32,
    /// Connections of one workspace.
    pub per_workspace: u32,
    /// Connections that are held by transactions.
    pub transactions: u32,
    /// Connections that are held by transactions of one workspace.
    pub transactions_per_workspace: u32,
}

impl ShareLimits {
    /// Divides a share between workspaces.
    #[must_use]
    pub fn divided(share: u32) -> Self {
        let reserve = if share < 2 {
            0
        } else {
            share.div_ceil(SHARE_PER_RESERVED)
        };
        let unbound = share.div_ceil(SHARE_PER_UNBOUND);
        Self {
            share,
            reserve,
            per_workspace: share - reserve,
            transactions: (share - unbound.min(share)).max(1),
            transactions_per_workspace: share.div_ceil(2).max(1),
        }
    }

    /// Leaves a share undivided, as where there are no workspaces.
    #[must_use]
    pub const fn undivided(share: u32) -> Self {
        Self {
            share,
            reserve: 0,
            per_workspace: share,
            transactions: u32::MAX,
            transactions_per_workspace: u32::MAX,
        }
    }
}
