//! Reads the platform's lists of VMs and groups.

use std::sync;
use std::time;

use crate::event;
use crate::platform::client;
use crate::platform::platform_error;
use crate::shared_state::control_board;

/// Time between two reads of the lists on a small deployment: 2 calls and about 3 KB a second for
/// each node. An upstream that is leaving has to get no new work after 3 s.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// VMs from which on the interval grows, so that all nodes together stay at 64 calls a second.
const VMS_PER_INTERVAL: usize = 32;
/// Longest pause after failed calls.
const MAX_BACK_OFF: time::Duration = time::Duration::from_secs(4);

/// Reads the lists for good.
pub async fn run(board: sync::Arc<control_board::ControlBoard>, platform: client::PlatformClient) {
    let mut back_off = POLL_INTERVAL;
    // Unknown at first, so that the outcome of the first call is logged whatever it is.
    let mut reached = None;
    loop {
        let pause = match read_lists(&board, &platform).await {
            Ok(()) => {
                if reached != Some(true) {
                    event::info("platform_reachable", &[]);
                }
                reached = Some(true);
                board.set_platform_reachable(true);
                board.publish();
                back_off = POLL_INTERVAL;
                let vms = board.members().records().len();
                let factor = u32::try_from(vms.div_ceil(VMS_PER_INTERVAL)).unwrap_or(u32::MAX);
                POLL_INTERVAL * factor.max(1)
            }
            Err(error) => {
                if reached != Some(false) {
                    event::warn("platform_unreachable", &[("cause", &error)]);
                }
                reached = Some(false);
                board.set_platform_reachable(false);
                back_off = (back_off * 2).min(MAX_BACK_OFF);
                back_off
            }
        };
        let jitter = time::Duration::from_millis(rand::random_range(0..=100));
        tokio::time::sleep(pause + jitter).await;
    }
}

async fn read_lists(
    board: &control_board::ControlBoard,
    platform: &client::PlatformClient,
) -> Result<(), platform_error::PlatformError> {
    let (vms, groups) = futures::future::try_join(platform.vms(), platform.groups()).await?;
    board.members().apply_list(vms, board.now());
    *board.groups() = groups;
    Ok(())
}
