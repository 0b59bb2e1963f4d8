//! [`ProcessSet`]: starts, restarts and looks up the processes of an environment by name.

use std::collections;
use std::fs;
use std::io;
use std::net;
use std::path;
use std::time;

use crate::child_process;

/// Number of attempts to restart a process on its previous ports.
const SAME_PORT_ATTEMPTS: usize = 20;

/// Program and settings of a process, kept for restarts.
#[derive(Clone, Debug)]
struct ProcessSpec {
    program: String,
    settings: toml::Table,
    extra: String,
}

/// Processes by name, with their settings and stderr files in one directory.
#[derive(Debug)]
pub struct ProcessSet {
    directory: path::PathBuf,
    log: String,
    specs: collections::BTreeMap<String, ProcessSpec>,
    children: collections::BTreeMap<String, child_process::ChildProcess>,
}

impl ProcessSet {
    /// Creates an empty set that writes its files to `directory`.
    #[must_use]
    pub fn new(directory: &path::Path, log: &str) -> Self {
        Self {
            directory: directory.to_owned(),
            log: log.to_owned(),
            specs: collections::BTreeMap::new(),
            children: collections::BTreeMap::new(),
        }
    }

    /// Adds a process and starts it. `extra` is TOML that is appended to the settings.
    ///
    /// # Errors
    ///
    /// Fails if the process does not start.
    pub async fn add(
        &mut self,
        name: &str,
        program: &str,
        settings: toml::Table,
        extra: &str,
    ) -> io::Result<()> {
        let spec = ProcessSpec {
            program: program.to_owned(),
            settings,
            extra: extra.to_owned(),
        };
        let child = self.launch(name, &spec).await?;
        self.specs.insert(name.to_owned(), spec);
        self.children.insert(name.to_owned(), child);
        Ok(())
    }

    /// Restarts a process, on its previous ports if they are free.
    ///
    /// # Errors
    ///
    /// Fails if the name is unknown or it does not start.
    pub async fn restart(&mut self, name: &str) -> io::Result<()> {
        let spec = self.specs.get(name).cloned().ok_or_else(|| unknown(name))?;
        let mut previous = spec.clone();
        if let Some(mut child) = self.children.remove(name) {
            child.kill()?;
            for key in ["listen", "link", "health"] {
                if let Some(address) = child.address(key) {
                    previous
                        .settings
                        .insert(key.to_owned(), address.to_string().into());
                }
            }
        }
        for _attempt in 0..SAME_PORT_ATTEMPTS {
            if let Ok(child) = self.launch(name, &previous).await {
                self.specs.insert(name.to_owned(), spec);
                self.children.insert(name.to_owned(), child);
                return Ok(());
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        let child = self.launch(name, &spec).await?;
        self.specs.insert(name.to_owned(), spec);
        self.children.insert(name.to_owned(), child);
        Ok(())
    }

    /// Kills a process and removes it from the set.
    ///
    /// # Errors
    ///
    /// Fails if the name is unknown or the process cannot be waited for.
    pub fn remove(&mut self, name: &str) -> io::Result<()> {
        self.specs.remove(name);
        let child = self.children.remove(name);
        child.ok_or_else(|| unknown(name))?.kill()
    }

    /// Returns a process.
    ///
    /// # Errors
    ///
    /// Fails if the name is unknown.
    pub fn get(&self, name: &str) -> io::Result<&child_process::ChildProcess> {
        self.children.get(name).ok_or_else(|| unknown(name))
    }

    /// Returns a process mutably.
    ///
    /// # Errors
    ///
    /// Fails if the name is unknown.
    pub fn get_mut(&mut self, name: &str) -> io::Result<&mut child_process::ChildProcess> {
        self.children.get_mut(name).ok_or_else(|| unknown(name))
    }

    /// Returns an address of a process.
    ///
    /// # Errors
    ///
    /// Fails if the name is unknown or the process has no such listener.
    pub fn address(&self, name: &str, what: &str) -> io::Result<net::SocketAddr> {
        self.get(name)?
            .address(what)
            .ok_or_else(|| io::Error::other(format!("{name} has no listener {what}")))
    }

    /// Returns the names of all processes of a program.
    #[must_use]
    pub fn names(&self, program: &str) -> Vec<String> {
        self.specs
            .iter()
            .filter(|(_, spec)| spec.program == program)
            .map(|(name, _)| name.clone())
            .collect()
    }

    async fn launch(
        &self,
        name: &str,
        spec: &ProcessSpec,
    ) -> io::Result<child_process::ChildProcess> {
        let settings = self.directory.join(format!("{name}.toml"));
        let stderr = self.directory.join(format!("{name}.stderr"));
        let text = toml::to_string(&spec.settings).map_err(io::Error::other)?;
        fs::write(&settings, format!("{text}\n{}", spec.extra))?;
        let mut child =
            child_process::ChildProcess::start(name, &spec.program, &settings, &stderr, &self.log)?;
        child.wait_started().await?;
        Ok(child)
    }
}

fn unknown(name: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::NotFound,
        format!("no process is named {name}"),
    )
}
