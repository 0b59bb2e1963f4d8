//! [`CutTable`]: simulated network partitions between VMs, instances, the store and the platform.

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
    /// The platform's promotion calls.
    Platform,
    /// Another VM, in both directions.
    Vm(ids::VmId),
}

type CutSet = collections::BTreeSet<(ids::VmId, CutTarget)>;

/// The targets that each VM cannot reach. A cut connection is silent; it is not refused.
#[derive(Debug, Default)]
pub struct CutTable {
    cuts: watch::Sender<CutSet>,
}

impl CutTable {
    /// Cuts a VM off from a target.
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

    /// Tells whether a VM is cut off from a target.
    #[must_use]
    pub fn is_cut(&self, vm: &str, target: &CutTarget) -> bool {
        self.cuts
            .borrow()
            .contains(&(vm.to_owned(), target.clone()))
    }

    /// Returns a gate that blocks while the VM is cut off from the target.
    #[must_use]
    pub fn gate(&self, vm: &str, target: CutTarget) -> CutGate {
        CutGate {
            cuts: self.cuts.subscribe(),
            entry: (vm.to_owned(), target),
        }
    }
}

/// Blocks traffic from a VM to a target while a cut is in force. It can be passed repeatedly.
#[derive(Clone, Debug)]
pub struct CutGate {
    cuts: watch::Receiver<CutSet>,
    entry: (ids::VmId, CutTarget),
}

impl CutGate {
    /// Waits until no cut is in force.
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
