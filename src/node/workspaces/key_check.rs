//! [`KeyCheck`]: the credentials of a session, checked against the configuration in force.

use std::cell;
use std::time;

use tokio::time::Instant;

use crate::model::ids;
use crate::node::workspaces::{caller_hello, key_refusal, workspace_binding};
use crate::node::{config, edge, node_tables};

/// Time for which a session whose transaction was rolled back because of its key waits for the
/// next statement, so that the caller gets an error as its answer and not a closed connection.
pub const REFUSED_SESSION_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The credentials of a session and the workspace that they gave it. A refusal is final: no later
/// configuration makes the session valid again.
#[derive(Debug)]
pub struct KeyCheck {
    database: ids::DatabaseName,
    credentials: caller_hello::CallerCredentials,
    binding: workspace_binding::WorkspaceBinding,
    /// Version of the configuration that the credentials were last checked against.
    checked: cell::Cell<config::ConfigVersion>,
    refusal: cell::Cell<Option<key_refusal::KeyRefusal>>,
    rolled_back: cell::Cell<Option<Instant>>,
}

impl KeyCheck {
    /// Binds a new session to its workspace.
    ///
    /// # Errors
    ///
    /// Fails if the configuration does not admit the credentials.
    pub fn new(
        config: &config::NodeConfig,
        hello: caller_hello::CallerHello,
    ) -> Result<Self, key_refusal::KeyRefusal> {
        let binding = bind(config, &hello.database, &hello.credentials)?;
        Ok(Self {
            database: hello.database,
            credentials: hello.credentials,
            binding,
            checked: cell::Cell::new(config.version),
            refusal: cell::Cell::default(),
            rolled_back: cell::Cell::default(),
        })
    }

    /// Returns the workspace of the session.
    #[must_use]
    pub const fn binding(&self) -> &workspace_binding::WorkspaceBinding {
        &self.binding
    }

    /// Checks the credentials again if the configuration has changed since the last check.
    ///
    /// # Errors
    ///
    /// Fails if the session has to end.
    pub fn verify<E: edge::NodeEdge>(
        &self,
        tables: &node_tables::NodeTables<E>,
    ) -> Result<(), key_refusal::KeyRefusal> {
        if let Some(refusal) = self.refusal.get() {
            return Err(refusal);
        }
        let Some(config) = tables.config() else {
            return Ok(());
        };
        if config.version == self.checked.get() {
            return Ok(());
        }
        let refusal = match bind(&config, &self.database, &self.credentials) {
            Ok(binding) if binding == self.binding => {
                self.checked.set(config.version);
                return Ok(());
            }
            Ok(_other) => key_refusal::KeyRefusal::KeyMoved,
            Err(refusal) => refusal,
        };
        self.refusal.set(Some(refusal));
        Err(refusal)
    }

    /// Completes when the session has to end: when a configuration no longer admits its
    /// credentials, or [`REFUSED_SESSION_TIMEOUT`] after its transaction was rolled back for that.
    pub async fn wait_refused<E: edge::NodeEdge>(
        &self,
        tables: &node_tables::NodeTables<E>,
    ) -> key_refusal::KeyRefusal {
        if let Some(rolled_back) = self.rolled_back.get() {
            tokio::time::sleep_until(rolled_back + REFUSED_SESSION_TIMEOUT).await;
        }
        loop {
            let changed = tables.config_changed.notified();
            if let Err(refusal) = self.verify(tables) {
                return refusal;
            }
            changed.await;
        }
    }

    /// Records that the session's transaction is rolled back because of the refusal.
    pub fn record_rollback(&self) {
        self.rolled_back.set(Some(Instant::now()));
    }

    /// Returns whether the session's transaction was rolled back because of the refusal.
    #[must_use]
    pub const fn is_rolled_back(&self) -> bool {
        self.rolled_back.get().is_some()
    }
}

/// Returns the workspace that credentials give a session on a database.
fn bind(
    config: &config::NodeConfig,
    database: &str,
    credentials: &caller_hello::CallerCredentials,
) -> Result<workspace_binding::WorkspaceBinding, key_refusal::KeyRefusal> {
    let route = config.routes.get(database);
    let needs_key = !config.workspaces.is_empty() && !route.is_some_and(|route| route.public);
    match credentials {
        caller_hello::CallerCredentials::Key(key) => match config.keys.get(key) {
            Some(workspace) => Ok(workspace_binding::WorkspaceBinding::new(workspace)),
            None if needs_key => Err(key_refusal::KeyRefusal::NoKey),
            None => Ok(workspace_binding::WorkspaceBinding::default()),
        },
        caller_hello::CallerCredentials::Forwarded(workspace) => {
            let known = match workspace.name() {
                Some(name) => config.workspaces.contains_key(name),
                None => !needs_key,
            };
            if known {
                Ok(workspace.clone())
            } else {
                Err(key_refusal::KeyRefusal::NoWorkspace)
            }
        }
    }
}
