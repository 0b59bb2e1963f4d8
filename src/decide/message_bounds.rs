//! [`MessageBounds`]: finds message boundaries in a PostgreSQL stream that arrives in parts.

/// Bytes of the type and the length of a message.
const HEAD_BYTES: usize = 5;

/// Tracks message boundaries in a PostgreSQL stream that arrives in parts. It tells how much of an
/// incomplete message has arrived, because nothing else may be written to the stream before the end
/// of that message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MessageBounds {
    head: [u8; HEAD_BYTES],
    arrived: usize,
    remaining: usize,
}

impl MessageBounds {
    /// Processes the next part of the stream.
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
                    // The length includes its own four bytes. The pool has checked that it is at
                    // least 4.
                    self.remaining = (u32::from_be_bytes(length) as usize).saturating_sub(4);
                }
            } else {
                let count = part.len().min(self.remaining);
                self.arrived += count;
                self.remaining -= count;
                part = part.split_at(count).1;
            }
            if self.arrived >= HEAD_BYTES && self.remaining == 0 {
                self.arrived = 0;
            }
        }
    }

    /// Returns how many bytes of an incomplete message have arrived.
    #[must_use]
    pub const fn unfinished(&self) -> usize {
        self.arrived
    }
}
