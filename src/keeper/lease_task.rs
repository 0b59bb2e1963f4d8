//! Maintains the VM's lease and claims shards of groups with it.

use std::collections;
use std::sync;
use std::time;

use crate::decide::lease;
use crate::event;
use crate::platform::client;
use crate::platform::{kv_entry, platform_error};
use crate::shared_state::keeper_state;
use crate::shutdown;

/// Renews the lease and claims shards until the shutdown, then revokes the lease.
///
/// Each VM with a rank in some shard makes one read and, if it holds a shard, one write in each
/// third of the lease's time to live, regardless of the number of its shards: 1.2 calls a second at
/// a time to live of 5 s.
pub async fn run(
    state: sync::Arc<keeper_state::KeeperState>,
    platform: client::PlatformClient,
    ttl: time::Duration,
    shutdown: shutdown::ShutdownSignal,
) {
    let mut task = LeaseTask {
        state,
        platform,
        ttl,
        lease: None,
        claimer: lease::ShardClaimer::default(),
        last_listed: time::Duration::ZERO,
    };
    loop {
        if let Err(error) = task.refresh().await {
            event::debug("lease_call_failed", &[("cause", &error)]);
            task.clear_lapsed_shards();
        }
        let jitter = time::Duration::from_millis(rand::random_range(0..=50));
        tokio::select! {
            () = tokio::time::sleep(ttl / 3 + jitter) => {}
            () = shutdown.wait() => break,
        }
    }
    if let Some(id) = task.lease.take()
        && let Err(error) = task.platform.revoke_lease(&id).await
    {
        event::warn("lease_not_revoked", &[("cause", &error)]);
    }
}

struct LeaseTask {
    state: sync::Arc<keeper_state::KeeperState>,
    platform: client::PlatformClient,
    ttl: time::Duration,
    lease: Option<String>,
    claimer: lease::ShardClaimer,
    last_listed: time::Duration,
}

impl LeaseTask {
    /// Renews the lease, reads the holders of all shards and claims the shards that this VM may
    /// take.
    async fn refresh(&mut self) -> Result<(), platform_error::PlatformError> {
        let now = self.state.now();
        let vms = self.state.members().live_vms(now);
        let ranked = (0..lease::SHARD_COUNT).any(|shard| {
            lease::rank_keepers(&lease::shard_key(shard), &vms)
                .iter()
                .any(|vm| vm == self.state.own())
        });
        if !ranked && self.lease.is_none() {
            return Ok(());
        }
        if let Some(id) = &self.lease {
            match self.platform.renew_lease(id).await {
                Ok(()) => {}
                Err(platform_error::PlatformError::Refused { status: 404, .. }) => {
                    event::warn("lease_lapsed", &[("lease", id)]);
                    self.lease = None;
                }
                Err(error) => return Err(error),
            }
        }
        let listing = self.platform.list(lease::LEASES_PREFIX).await?;
        self.last_listed = now;
        let mut holders = read_holders(&listing);
        let claimable =
            self.claimer
                .shards_to_claim(self.state.own(), &vms, &holders, now, self.ttl / 2);
        for shard in claimable {
            let id = match &self.lease {
                Some(id) => id.clone(),
                None => {
                    let grant = self.platform.grant_lease(self.ttl).await?;
                    self.lease = Some(grant.id.clone());
                    grant.id
                }
            };
            let body = kv_entry::PutBody {
                value: self.state.own().to_owned(),
                expected: Some(0),
                lease: Some(id),
            };
            match self.platform.put(&lease::shard_key(shard), &body).await {
                Ok(_) => {
                    holders.insert(shard, self.state.own().to_owned());
                }
                Err(platform_error::PlatformError::Conflict { current, .. }) => {
                    if let Some(entry) = current {
                        holders.insert(shard, entry.value);
                    }
                }
                Err(error) => return Err(error),
            }
        }
        let own = holders
            .iter()
            .filter(|(_, vm)| *vm == self.state.own())
            .filter_map(|(shard, _)| 1_u64.checked_shl(u32::try_from(*shard).ok()?))
            .fold(0, |bits, bit| bits | bit);
        self.state.set_own_shards(own);
        Ok(())
    }

    /// Clears this VM's shards once the lease must have lapsed. Without a holder, keepers act in
    /// the order of their ranks.
    fn clear_lapsed_shards(&self) {
        if self.state.now() > self.last_listed + self.ttl {
            self.state.set_own_shards(0);
        }
    }
}

fn read_holders(listing: &kv_entry::KvListing) -> collections::BTreeMap<u64, String> {
    listing
        .entries
        .iter()
        .filter_map(|entry| {
            let shard = entry.key.strip_prefix("leases/shard-")?.parse().ok()?;
            Some((shard, entry.value.clone()))
        })
        .collect()
}
