//! [`TransitCharge`]: what a process holds of a message between a caller and an upstream or another
//! VM.

use std::cell;
use std::rc;

use crate::node::admission::{admission_control, admission_limits};

/// What a process holds of a message while it is received from an upstream, or exchanged with
/// another VM. The charge ends when this is dropped.
#[derive(Debug)]
pub struct TransitCharge {
    control: rc::Rc<admission_control::AdmissionControl>,
    bytes: cell::Cell<usize>,
    has_pass: cell::Cell<bool>,
}

impl TransitCharge {
    /// Creates an empty charge.
    #[must_use]
    pub const fn new(control: rc::Rc<admission_control::AdmissionControl>) -> Self {
        Self {
            control,
            bytes: cell::Cell::new(0),
            has_pass: cell::Cell::new(false),
        }
    }

    /// Sets the number of bytes held.
    pub fn set(&self, bytes: usize) {
        let before = self.bytes.replace(bytes);
        self.control.adjust(before, bytes);
    }

    /// Charges `bytes`, and waits while the budget is exceeded. One message at a time goes on all
    /// the same, since otherwise messages that are each complete in part could wait for one another.
    pub async fn grow(&self, bytes: usize) {
        self.set(bytes);
        while bytes > admission_limits::FREE_ANSWER_BYTES
            && !self.has_pass.get()
            && self.control.is_exceeded()
        {
            if !self.control.pass_taken.replace(true) {
                self.has_pass.set(true);
                return;
            }
            tokio::select! {
                () = self.control.freed() => {}
                () = self.control.pass_freed.notified() => {}
            }
        }
    }
}

impl Drop for TransitCharge {
    fn drop(&mut self) {
        if self.has_pass.get() {
            self.control.pass_taken.set(false);
            self.control.pass_freed.notify_one();
        }
        self.control.adjust(self.bytes.get(), 0);
    }
}
