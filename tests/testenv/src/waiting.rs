//! Waits until a condition holds, by polling.

use std::time;

/// Longest wait for a condition. Only a failing test reaches it.
pub const WAIT_LIMIT: time::Duration = time::Duration::from_secs(60);
/// Pause between two checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// Calls `check` repeatedly until it returns a value, and returns the value.
///
/// # Panics
///
/// Panics with `what` if there is no value within [`WAIT_LIMIT`].
pub async fn until_some<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut check: impl FnMut() -> F,
) -> T {
    let deadline = time::Instant::now() + WAIT_LIMIT;
    loop {
        if let Some(found) = check().await {
            return found;
        }
        assert!(
            time::Instant::now() < deadline,
            "timeout after {WAIT_LIMIT:?}: {what}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Calls `check` repeatedly until it returns true.
///
/// # Panics
///
/// Like [`until_some`].
pub async fn until<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    until_some(what, || {
        let checking = check();
        async move { checking.await.then_some(()) }
    })
    .await;
}
