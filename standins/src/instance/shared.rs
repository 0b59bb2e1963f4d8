//! [`SharedInstance`]: state shared by all tasks of an instance.

use std::sync;
use std::sync::atomic;
use std::time;

use persimmontack::dial;

use crate::instance::cancel_table;
use crate::instance::core_state;
use crate::instance::journal;
use crate::instance::settings;

/// Delays that the admin statement can change while the instance runs.
#[derive(Debug, Default)]
pub struct TunableTimes {
    /// See [`settings::InstanceSettings::open_delay_ms`].
    pub open_delay_ms: atomic::AtomicU64,
    /// See [`settings::InstanceSettings::receive_delay_ms`].
    pub receive_delay_ms: atomic::AtomicU64,
    /// See [`settings::InstanceSettings::apply_delay_ms`].
    pub apply_delay_ms: atomic::AtomicU64,
    /// See [`settings::InstanceSettings::statement_us`].
    pub statement_us: atomic::AtomicU64,
    /// Number of changes. Tasks that wait for an old delay are woken by it.
    pub changes: tokio::sync::watch::Sender<u64>,
}

/// State of one instance. Lock order: the core before the journal.
#[derive(Debug)]
pub struct SharedInstance {
    /// Settings from the settings file.
    pub settings: settings::InstanceSettings,
    /// Delays that may change.
    pub times: TunableTimes,
    /// The journal.
    pub journal: journal::JournalFile,
    /// Slots for statements.
    pub slots: sync::Arc<tokio::sync::Semaphore>,
    /// Open client connections.
    pub connections: atomic::AtomicUsize,
    /// Next number for a connection or a transaction.
    pub sequence: atomic::AtomicU64,
    /// Targets of cancel requests.
    pub cancels: cancel_table::CancelTable,
    /// Opens connections to a primary.
    pub dialer: dial::TcpDialer,
    core: sync::Mutex<core_state::CoreState>,
    version: tokio::sync::watch::Sender<u64>,
}

impl SharedInstance {
    /// Restores an instance from its journal.
    ///
    /// # Errors
    ///
    /// Fails if the journal cannot be read.
    pub fn open(settings: settings::InstanceSettings) -> std::io::Result<Self> {
        let (journal, events) = journal::JournalFile::open(&settings.journal)?;
        let core = core_state::CoreState::restore(&settings.upstream, &events);
        journal.append(&journal::JournalEvent::Start {
            upstream: settings.upstream.clone(),
            incarnation: core.state().incarnation,
        });
        let (version, _receiver) = tokio::sync::watch::channel(core.state().version);
        Ok(Self {
            times: TunableTimes {
                open_delay_ms: settings.open_delay_ms.into(),
                receive_delay_ms: settings.receive_delay_ms.into(),
                apply_delay_ms: settings.apply_delay_ms.into(),
                statement_us: settings.statement_us.into(),
                changes: tokio::sync::watch::Sender::default(),
            },
            slots: sync::Arc::new(tokio::sync::Semaphore::new(settings.slots)),
            connections: atomic::AtomicUsize::new(0),
            sequence: atomic::AtomicU64::new(1),
            cancels: cancel_table::CancelTable::default(),
            dialer: dial::TcpDialer {
                source: settings.source,
                timeout: time::Duration::from_secs(2),
            },
            journal,
            core: sync::Mutex::new(core),
            version,
            settings,
        })
    }

    /// Runs `action` on the core and wakes the tasks that wait for a change of its state.
    pub fn with_core<T>(&self, action: impl FnOnce(&mut core_state::CoreState) -> T) -> T {
        let mut core = self
            .core
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let result = action(&mut core);
        let version = core.state().version;
        self.version.send_if_modified(|known| {
            let changed = *known != version;
            *known = version;
            changed
        });
        result
    }

    /// Returns a receiver of the state's version.
    #[must_use]
    pub fn watch_version(&self) -> tokio::sync::watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Returns a new number for a connection or a transaction.
    pub fn next_number(&self) -> u64 {
        self.sequence.fetch_add(1, atomic::Ordering::Relaxed)
    }
}

/// Reads a tunable time that is kept in milliseconds.
#[must_use]
pub fn millis(value: &atomic::AtomicU64) -> time::Duration {
    time::Duration::from_millis(value.load(atomic::Ordering::Relaxed))
}
