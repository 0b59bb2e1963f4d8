//! [`TableOrigin`]: from whom this VM has its tables, for the logs.

use crate::model::ids;

/// Number of VMs that have passed on what the store answered to the first of them.
pub type HopCount = u32;

/// From whom this VM has its tables: the store, or another VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, derive_more::Display)]
#[display("{}", vm.as_deref().unwrap_or("store"))]
pub struct TableOrigin {
    /// The VM that passed them on, or `None` if the store answered this VM.
    pub vm: Option<ids::VmId>,
    /// VMs that have passed them on.
    pub hops: HopCount,
}
