//! Waits on conditions.

use std::time;

/// Limit on a wait; only a failing test reaches it.
pub const WAIT_LIMIT: time::Duration = time::Duration::from_secs(60);
/// Pause between two looks at a condition.
const LOOK_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Repeats `look` until it returns something.
///
/// # Panics
///
/// Panics with `what` if nothing has come within [`WAIT_LIMIT`].
pub async fn until_some<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut look: impl FnMut() -> F,
) -> T {
    let ends = time::Instant::now() + WAIT_LIMIT;
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(time::Instant::now() < ends, "waited in vain: {what}");
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

/// Repeats `look` until it returns true.
///
/// # Panics
///
/// Like [`until_some`].
pub async fn until<F: Future<Output = bool>>(what: &str, mut look: impl FnMut() -> F) {
    until_some(what, || {
        let looking = look();
        async move { looking.await.then_some(()) }
    })
    .await;
}
