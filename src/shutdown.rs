//! [`ShutdownSignal`]: tells the tasks of a daemon to stop.

use tokio::signal::unix;
use tokio::sync::watch;

/// Signal that the process is stopping; SIGTERM and SIGINT set it. Cheap to clone.
#[derive(Clone, Debug)]
pub struct ShutdownSignal {
    receiver: watch::Receiver<bool>,
}

/// Sets a [`ShutdownSignal`].
#[derive(Debug)]
pub struct ShutdownTrigger {
    sender: watch::Sender<bool>,
}

impl ShutdownTrigger {
    /// Sets the signal.
    pub fn fire(&self) {
        self.sender.send_replace(true);
    }
}

impl ShutdownSignal {
    /// Creates a signal and the trigger that sets it.
    #[must_use]
    pub fn pair() -> (ShutdownTrigger, Self) {
        let (sender, receiver) = watch::channel(false);
        (ShutdownTrigger { sender }, Self { receiver })
    }

    /// Creates a signal that SIGTERM and SIGINT set.
    ///
    /// # Errors
    ///
    /// Fails if the signal handlers cannot be installed.
    pub fn from_process() -> std::io::Result<Self> {
        let mut terminate = unix::signal(unix::SignalKind::terminate())?;
        let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
        let (trigger, signal) = Self::pair();
        tokio::spawn(async move {
            tokio::select! {
                _received = terminate.recv() => {}
                _received = interrupt.recv() => {}
            }
            trigger.fire();
        });
        Ok(signal)
    }

    /// Returns whether the process is stopping.
    #[must_use]
    pub fn is_set(&self) -> bool {
        *self.receiver.borrow()
    }

    /// Completes once the process is stopping.
    pub async fn wait(&self) {
        let mut receiver = self.receiver.clone();
        if receiver.wait_for(|set| *set).await.is_err() {
            // The trigger was dropped without setting the signal, so it can never be set.
            std::future::pending::<()>().await;
        }
    }
}
