//! [`MessageBounds`]: follows the messages in a stream that arrives in parts.

/// Bytes of a message's type and length.
const HEAD_BYTES: usize = 5;

/// Follows the messages in a stream that arrives in parts. Tells how much of a message that is not
/// whole yet has arrived, because nothing else may be written to the stream before its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageBounds {
    head: [u8; HEAD_BYTES],
    arrived: usize,
    missing: usize,
}

impl MessageBounds {
    /// Takes the next part of the stream.
    pub fn feed(&mut self, mut part: &[u8]) {
        while !part.is_empty() {
            if self.arrived < HEAD_BYTES {
                let count = part.len().min(HEAD_BYTES - self.arrived);
                let (now, rest) = part.split_at(count);
                if let Some(slot) = self.head.get_mut(self.arrived..self.arrived + count) {
                    slot.copy_from_slice(now);
                }
                self.arrived += count;
                part = rest;
                if self.arrived == HEAD_BYTES {
                    let [_tag, length @ ..] = self.head;
                    // The length counts itself. The pool has checked that it does.
                    self.missing = (u32::from_be_bytes(length) as usize).saturating_sub(4);
                }
            } else {
                let count = part.len().min(self.missing);
                self.arrived += count;
                self.missing -= count;
                part = part.split_at(count).1;
            }
            if self.arrived >= HEAD_BYTES && self.missing == 0 {
                self.arrived = 0;
            }
        }
    }

    /// Returns how many bytes have arrived of a message that is not whole.
    #[must_use]
    pub const fn unfinished(&self) -> usize {
        self.arrived
    }
}
