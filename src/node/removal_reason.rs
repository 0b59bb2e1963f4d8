//! [`RemovalReason`]: why an upstream was removed from the list.

/// Why an upstream was removed from the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum RemovalReason {
    /// It was leaving, and has left.
    #[display("left")]
    Left,
    /// Its entry has vanished from the store.
    #[display("vanished")]
    Vanished,
    /// It has restarted.
    #[display("reborn")]
    Restarted,
}
