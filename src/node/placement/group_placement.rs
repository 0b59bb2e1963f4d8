//! [`GroupPlacement`]: the shares of a group's reads that this VM sends to other data centres.

use std::cell;
use std::collections;
use std::time;

use crate::decide::placement_share;
use crate::model::ids;
use crate::node::node_log;

/// Largest sum of the shares of all data centres.
const MAX_TOTAL: f64 = 0.8;

/// What is observed of another data centre that has upstreams of the group.
#[derive(Clone, Debug)]
pub struct OtherPlace {
    /// The data centre.
    pub data_centre: ids::DataCentreId,
    /// Number between 0 and 1 that differs between VMs.
    pub phase: f64,
    /// The expected waits.
    pub view: placement_share::PlaceView,
}

/// The shares of a group's reads that this VM sends to other data centres, one for each that has
/// upstreams of the group.
#[derive(Debug, Default)]
pub struct GroupPlacement {
    shares:
        cell::RefCell<collections::BTreeMap<ids::DataCentreId, placement_share::PlacementShare>>,
}

impl GroupPlacement {
    /// Updates the shares, drops those of data centres that are not among `places`, and returns them
    /// in the order of `places`.
    pub fn update(&self, group: &str, now: time::Duration, places: &[OtherPlace]) -> Vec<f64> {
        let mut shares = self.shares.borrow_mut();
        shares
            .retain(|data_centre, _| places.iter().any(|place| place.data_centre == *data_centre));
        let mut total: f64 = shares.values().map(|share| share.value()).sum();
        places
            .iter()
            .map(|place| {
                let share = shares.entry(place.data_centre.clone()).or_default();
                let before = share.value();
                let change = share.update(now, place.phase, MAX_TOTAL - total, place.view);
                total += share.value() - before;
                if let Some(change) = change {
                    report(group, place, before, share.value(), change);
                }
                share.value()
            })
            .collect()
    }

    /// Returns the share of each other data centre.
    #[must_use]
    pub fn shares(&self) -> Vec<(ids::DataCentreId, f64)> {
        let shares = self.shares.borrow();
        shares
            .iter()
            .map(|(data_centre, share)| (data_centre.clone(), share.value()))
            .collect()
    }
}

fn report(
    group: &str,
    place: &OtherPlace,
    before: f64,
    after: f64,
    change: placement_share::ShareChange,
) {
    let millis = |wait: Option<time::Duration>| {
        wait.map_or_else(|| "-".to_owned(), |wait| wait.as_millis().to_string())
    };
    let share = format!("{after:.2}");
    let home = millis(place.view.home_wait);
    let away = millis(place.view.away_wait);
    let pairs: [(&str, &dyn std::fmt::Display); 6] = [
        ("group", &group),
        ("to", &place.data_centre),
        ("change", &change),
        ("share", &share),
        ("home_wait_ms", &home),
        ("away_wait_ms", &away),
    ];
    if before == 0.0 {
        node_log::info("reads_leave", &pairs);
    } else if after == 0.0 {
        node_log::info("reads_stay", &pairs);
    } else {
        node_log::debug("read_share", &pairs);
    }
}
