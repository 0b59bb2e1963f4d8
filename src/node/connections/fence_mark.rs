//! [`FenceMark`]: whether an upstream that is leaving is known to be fenced.

use std::cell;

use crate::model::ids;

/// Whether an upstream that is leaving is known to be fenced.
#[derive(Debug, Default)]
pub struct FenceMark {
    /// Primary at the time when the upstream was fenced.
    under: cell::RefCell<Option<ids::UpstreamId>>,
}

impl FenceMark {
    /// Records that the upstream is fenced while `primary` is the primary.
    pub fn set(&self, primary: ids::UpstreamId) {
        *self.under.borrow_mut() = Some(primary);
    }

    /// Records that the upstream may not be fenced any more: a promotion lifts fences.
    pub fn clear(&self) {
        *self.under.borrow_mut() = None;
    }

    /// Returns whether the upstream is known to be fenced since `primary` became the primary.
    #[must_use]
    pub fn is_under(&self, primary: &str) -> bool {
        self.under.borrow().as_deref() == Some(primary)
    }
}
