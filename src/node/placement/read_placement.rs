//! [`ReadPlacement`]: the upstreams of a group as candidates for one read.

use std::cmp;
use std::rc;
use std::time;

use crate::decide::{ownership, placement, placement_share};
use crate::model::ids;
use crate::node::placement::group_placement;
use crate::node::workspaces::workspace_binding;
use crate::node::{edge, group, node_tables, pool};

/// Part of the speed of large answers at home below which the link to another data centre counts as
/// narrow.
const NARROW_SPEED: f64 = 0.125;

/// See [`home_refused_share`].
const ASSUMED_REFUSED_PART: f64 = 0.5;

/// The upstreams of a group as candidates for one read.
#[derive(Debug)]
pub struct ReadPlacement<E: edge::NodeEdge> {
    pools: Vec<rc::Rc<pool::UpstreamPool<E>>>,
    candidates: Vec<placement::PlacementCandidate>,
    /// Whether each upstream could serve reads of some workspace. The shares are common to all
    /// workspaces, so they do not depend on the connections of one.
    usable: Vec<bool>,
    places: Vec<ids::DataCentreId>,
    /// Whether the upstreams are in the order in which the workspace of the read prefers them.
    preferred: bool,
    now: time::Duration,
}

impl<E: edge::NodeEdge> ReadPlacement<E> {
    /// Lists the candidates. With `primary_only`, no other upstream can serve the read.
    pub fn new(
        tables: &node_tables::NodeTables<E>,
        group: &group::GroupState,
        workspace: &workspace_binding::WorkspaceBinding,
        tried: &[ids::UpstreamId],
        primary_only: bool,
    ) -> Self {
        let now = node_tables::monotonic_now();
        let mut pools = tables.pools_of(&group.group);
        let hosts = u32::try_from(tables.hosts(&group.group).len()).unwrap_or(u32::MAX);
        let upstreams = u32::try_from(pools.len()).unwrap_or(u32::MAX);
        let part = f64::from(upstreams) / f64::from(hosts.max(1));
        if let Some(name) = workspace.name() {
            // Of equally good upstreams a workspace reads from the same one everywhere, so that it
            // needs few connections.
            pools.sort_by_cached_key(|pool| cmp::Reverse(ownership::score(name, pool.upstream())));
        }
        pools.retain(|pool| !pool.is_closed());
        if primary_only {
            pools.retain(|pool| group.is_primary(pool.upstream()));
        }
        let mut places: Vec<ids::DataCentreId> = Vec::new();
        let home_refused = home_refused_share(tables, &pools, now);
        let (candidates, usable) = pools
            .iter()
            .map(|pool| {
                let health = pool.health.get();
                let primary = group.is_primary(pool.upstream());
                let (place, leaving, slots) = pool.read_entry(|entry| {
                    let remote = entry.data_centre != tables.own_entry.data_centre;
                    let place = remote.then(|| number_of(&mut places, &entry.data_centre));
                    (place, entry.leaving, entry.slots)
                });
                // A leaving primary still serves the reads that only the primary can serve, until it is
                // closed.
                let leaving = leaving && !primary_only;
                let pressure = health.load.pressure(now);
                let assumed = place.map_or(0.0, |_| home_refused);
                let wait = health.load.expected_wait(now, assumed);
                let lagging = !primary && pool.lagged_recently(now);
                let avoid = leaving || health.is_suspect(now) || lagging;
                let candidate = placement::PlacementCandidate {
                    place,
                    avoid: avoid || pool.cannot_serve(workspace),
                    needs_connection: pool.would_open(workspace),
                    tried: tried.contains(pool.upstream()),
                    load: health.running() + pool.waiting(),
                    slots: f64::from(slots),
                    part: f64::from(slots) * part,
                    wait: if primary {
                        placement::primary_wait(wait, pressure)
                    } else {
                        wait
                    },
                    refused: health.load.refused_share(now),
                    pressure,
                };
                (candidate, !avoid && !pool.is_disconnected())
            })
            .unzip();
        Self {
            pools,
            candidates,
            usable,
            places,
            preferred: workspace.name().is_some(),
            now,
        }
    }

    /// Returns whether an upstream that was not tried has room for the read at once.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.candidates
            .iter()
            .any(placement::PlacementCandidate::has_room)
    }

    /// Updates the group's shares and chooses the upstream.
    #[must_use]
    pub fn choose(
        mut self,
        tables: &node_tables::NodeTables<E>,
        group: &group::GroupState,
    ) -> Option<rc::Rc<pool::UpstreamPool<E>>> {
        // A read that only the primary can serve shows nothing of the other upstreams.
        let places = if self.pools.len() > 1 {
            let others: Vec<_> = (0..self.places.len())
                .filter_map(|place| self.observe(tables, group, place))
                .collect();
            group.placement.update(&group.group, self.now, &others)
        } else {
            Vec::new()
        };
        let draw = placement::PlacementDraw {
            places: &places,
            leave: rand::random(),
            pick: if self.preferred {
                placement::UpstreamPick::Preferred
            } else {
                placement::UpstreamPick::Drawn(rand::random())
            },
        };
        let choice = placement::choose(&self.candidates, &draw)?;
        if let Some(reason) = choice.left
            && self.pools.len() > 1
        {
            metrics::counter!("persimmontack_reads_left_total", "reason" => reason.to_string())
                .increment(1);
        }
        Some(self.pools.swap_remove(choice.index))
    }

    fn observe(
        &self,
        tables: &node_tables::NodeTables<E>,
        group: &group::GroupState,
        place: usize,
    ) -> Option<group_placement::OtherPlace> {
        let data_centre = self.places.get(place)?;
        let key = format!("{} {data_centre}", group.group);
        Some(group_placement::OtherPlace {
            data_centre: data_centre.clone(),
            phase: unit_interval(ownership::score(&key, &tables.vm)),
            view: placement_share::PlaceView {
                home_wait: self.shortest_wait(None),
                away_wait: self.shortest_wait(Some(place)),
                closed: self.is_closed(place),
            },
        })
    }

    fn shortest_wait(&self, place: Option<usize>) -> Option<time::Duration> {
        self.candidates
            .iter()
            .zip(&self.usable)
            .filter(|(candidate, usable)| candidate.place == place && **usable)
            .map(|(candidate, _)| candidate.wait)
            .min()
    }

    /// Returns whether all upstreams of a data centre are silent, or the link to it is slower than
    /// before and than at home.
    fn is_closed(&self, place: usize) -> bool {
        let at = |place: Option<usize>| {
            self.pools
                .iter()
                .zip(&self.candidates)
                .filter(move |(_, candidate)| candidate.place == place)
                .map(|(pool, _)| pool)
        };
        let speed_of = |place: Option<usize>| {
            at(place)
                .filter_map(|pool| pool.health.get().load.speed(self.now))
                .reduce(f64::max)
        };
        let is_slow =
            |pool: &rc::Rc<pool::UpstreamPool<E>>| pool.health.get().load.is_link_slow(self.now);
        let silent = at(Some(place)).all(|pool| pool.is_suspect() || pool.is_disconnected());
        // Round trips that have grown everywhere are due to this VM itself.
        let slow = at(Some(place)).all(is_slow) && !at(None).any(is_slow);
        let narrow = match (speed_of(None), speed_of(Some(place))) {
            (Some(home), Some(away)) => away < home * NARROW_SPEED,
            _ => false,
        };
        silent || slow || narrow
    }
}

/// Returns the share of refusals that is assumed at upstreams in other data centres without requests:
/// part of the highest one at home, since those may be as loaded.
fn home_refused_share<E: edge::NodeEdge>(
    tables: &node_tables::NodeTables<E>,
    pools: &[rc::Rc<pool::UpstreamPool<E>>],
    now: time::Duration,
) -> f64 {
    let is_home = |pool: &&rc::Rc<pool::UpstreamPool<E>>| {
        pool.read_entry(|entry| entry.data_centre == tables.own_entry.data_centre)
    };
    let home = pools.iter().filter(is_home);
    home.map(|pool| pool.health.get().load.refused_share(now))
        .fold(0.0, f64::max)
        * ASSUMED_REFUSED_PART
}

fn number_of(places: &mut Vec<ids::DataCentreId>, data_centre: &ids::DataCentreId) -> usize {
    if let Some(number) = places.iter().position(|place| place == data_centre) {
        return number;
    }
    places.push(data_centre.clone());
    places.len() - 1
}

/// Returns the number between 0 and 1 that the upper half of a hash stands for.
fn unit_interval(hash: u64) -> f64 {
    let upper = u32::try_from(hash >> 32).unwrap_or(u32::MAX);
    f64::from(upper) / f64::from(u32::MAX)
}
