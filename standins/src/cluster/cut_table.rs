//! [`CutTable`]: what the VMs of a test cannot reach.

use std::collections;

use persimmontack::model::ids;
use tokio::sync::watch;

/// What a VM can be cut off from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CutTarget {
    /// An instance.
    Instance(ids::UpstreamId),
    /// The store.
    Store,
    /// The platform's calls for promotions.
    Platform,
    /// Another VM, in both directions.
    Vm(ids::VmId),
}

type CutSet = collections::BTreeSet<(ids::VmId, CutTarget)>;

/// What the VMs of a test cannot reach. A connection that is cut is silent; it is not refused.
#[derive(Debug, Default)]
pub struct CutTable {
    cuts: watch::Sender<CutSet>,
}

impl CutTable {
    /// Cuts a VM off.
    pub fn cut(&self, vm: &str, target: &CutTarget) {
        self.cuts
            .send_modify(|cuts| cuts.extend(entries(vm, target)));
    }

    /// Ends a cut.
    pub fn heal(&self, vm: &str, target: &CutTarget) {
        self.cuts.send_modify(|cuts| {
            for entry in entries(vm, target) {
                cuts.remove(&entry);
            }
        });
    }

    /// Tells whether a VM is cut off from something.
    #[must_use]
    pub fn is_cut(&self, vm: &str, target: &CutTarget) -> bool {
        self.cuts
            .borrow()
            .contains(&(vm.to_owned(), target.clone()))
    }

    /// Returns what completes, again and again, once a VM reaches its target.
    #[must_use]
    pub fn gate(&self, vm: &str, target: CutTarget) -> CutGate {
        CutGate {
            cuts: self.cuts.subscribe(),
            entry: (vm.to_owned(), target),
        }
    }
}

/// Holds back what a cut does not let through.
#[derive(Clone, Debug)]
pub struct CutGate {
    cuts: watch::Receiver<CutSet>,
    entry: (ids::VmId, CutTarget),
}

impl CutGate {
    /// Completes once there is no cut.
    pub async fn pass(&mut self) {
        let entry = &self.entry;
        let passed = self.cuts.wait_for(|cuts| !cuts.contains(entry)).await;
        // Fails only once the test has dropped its network.
        drop(passed);
    }
}

fn entries(vm: &str, target: &CutTarget) -> Vec<(ids::VmId, CutTarget)> {
    let mut entries = vec![(vm.to_owned(), target.clone())];
    if let CutTarget::Vm(other) = target {
        entries.push((other.clone(), CutTarget::Vm(vm.to_owned())));
    }
    entries
}
