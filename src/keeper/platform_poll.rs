//! Polls the platform's lists of VMs and groups.

use std::sync;
use std::time;

use crate::event;
use crate::platform::client;
use crate::platform::platform_error;
use crate::shared_state::keeper_state;

/// Polling interval of a small deployment: 2 calls and about 3 KB a second for each node. It has to
/// leave time to stop new work on an upstream within 3 s of its being listed as leaving.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Number of VMs that share one [`POLL_INTERVAL`]. The interval grows with the number of VMs, so
/// that all nodes together make at most 64 calls a second.
const VMS_PER_INTERVAL: usize = 32;
/// Longest backoff after failed calls.
const MAX_BACK_OFF: time::Duration = time::Duration::from_secs(4);

/// Polls the lists. Never returns.
pub async fn run(state: sync::Arc<keeper_state::KeeperState>, platform: client::PlatformClient) {
    let mut back_off = POLL_INTERVAL;
    // Unknown at first, so that the outcome of the first call is always logged.
    let mut was_reachable = None;
    loop {
        let pause = match read_lists(&state, &platform).await {
            Ok(()) => {
                if was_reachable != Some(true) {
                    event::info("platform_reachable", &[]);
                }
                was_reachable = Some(true);
                state.set_platform_reachable(true);
                state.publish();
                back_off = POLL_INTERVAL;
                let vms = state.members().records().len();
                let factor = u32::try_from(vms.div_ceil(VMS_PER_INTERVAL)).unwrap_or(u32::MAX);
                POLL_INTERVAL * factor.max(1)
            }
            Err(error) => {
                if was_reachable != Some(false) {
                    event::warn("platform_unreachable", &[("cause", &error)]);
                }
                was_reachable = Some(false);
                state.set_platform_reachable(false);
                back_off = (back_off * 2).min(MAX_BACK_OFF);
                back_off
            }
        };
        let jitter = time::Duration::from_millis(rand::random_range(0..=100));
        tokio::time::sleep(pause + jitter).await;
    }
}

async fn read_lists(
    state: &keeper_state::KeeperState,
    platform: &client::PlatformClient,
) -> Result<(), platform_error::PlatformError> {
    let (vms, groups) = futures::future::try_join(platform.vms(), platform.groups()).await?;
    state.members().apply_list(vms, state.now());
    *state.groups() = groups;
    Ok(())
}
