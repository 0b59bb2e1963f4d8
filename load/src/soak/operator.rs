//! [`OperatorRunner`]: runs `persimmonctl` commands of operators while faults are active.

use std::fs;
use std::path;
use std::process;
use std::sync;

use testenv::{child_process, env_plan};

use crate::soak::{history, topology};

/// A command of an operator and its result.
#[derive(Clone, Debug)]
pub struct OperatorChange {
    /// Author of the change; each command has its own.
    pub author: String,
    /// Whether the command adds a revision to the rules log.
    pub changes_rules: bool,
    /// Exit code of persimmonctl, if it ran and was not killed by a signal.
    pub code: Option<i32>,
    /// Standard output and error of persimmonctl, or why it could not run.
    pub text: String,
}

/// Runs commands of operators in the background and keeps their results.
#[derive(Debug)]
pub struct OperatorRunner {
    history: sync::Arc<history::RunHistory>,
    directory: path::PathBuf,
    platform: String,
    authors: usize,
    running: Vec<tokio::task::JoinHandle<OperatorChange>>,
    /// Finished commands that change rules.
    pub changes: Vec<OperatorChange>,
}

impl OperatorRunner {
    /// Creates a runner that passes the address of the platform to its commands.
    pub fn new(
        history: &sync::Arc<history::RunHistory>,
        directory: &path::Path,
        platform: String,
    ) -> Self {
        Self {
            history: sync::Arc::clone(history),
            directory: directory.to_owned(),
            platform,
            authors: 0,
            running: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Starts two commands that apply different rules concurrently.
    ///
    /// # Errors
    ///
    /// Fails if a rules file cannot be written.
    pub fn apply_conflicting_rules(&mut self) -> std::io::Result<()> {
        for _operator in 0..2 {
            let author = self.next_author();
            let file = self.directory.join(format!("{author}.rules"));
            let rule = format!("long \"{author} %\" # asked for by: {author}\n");
            fs::write(&file, format!("{}{rule}", base_rules()))?;
            let file = file.display().to_string();
            self.spawn(&author, &["apply", "--author", &author, &file]);
        }
        Ok(())
    }

    /// Starts a drain, or an undrain if `begins` is false.
    pub fn drain(&mut self, target: &str, begins: bool) {
        let author = self.next_author();
        if begins {
            self.spawn(
                &author,
                &["drain", target, "--requester", "soak", "--author", &author],
            );
        } else {
            self.spawn(&author, &["undrain", target, "--author", &author]);
        }
    }

    /// Starts a planned promotion of an upstream to primary.
    pub fn promote(&mut self, group: &str, upstream: &str) {
        let author = self.next_author();
        self.spawn(&author, &["promote", group, upstream]);
    }

    /// Waits until all started commands have finished.
    pub async fn wait_all(&mut self) {
        for task in std::mem::take(&mut self.running) {
            if let Ok(change) = task.await
                && change.changes_rules
            {
                self.changes.push(change);
            }
        }
    }

    /// Applies the base rules, waits until they are in force everywhere, and returns the result.
    ///
    /// # Errors
    ///
    /// Fails if the rules file cannot be written.
    pub async fn restore_rules(&mut self) -> std::io::Result<OperatorChange> {
        let author = self.next_author();
        let file = self.directory.join(format!("{author}.rules"));
        fs::write(&file, base_rules())?;
        let file = file.display().to_string();
        self.spawn(&author, &["apply", "--wait", "--author", &author, &file]);
        self.wait_all().await;
        self.changes
            .last()
            .cloned()
            .ok_or_else(|| std::io::Error::other("persimmonctl did not run"))
    }

    fn next_author(&mut self) -> String {
        self.authors += 1;
        format!("op-{}", self.authors)
    }

    fn spawn(&mut self, author: &str, arguments: &[&str]) {
        let arguments: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
        let platform = self.platform.clone();
        let author = author.to_owned();
        let history = sync::Arc::clone(&self.history);
        self.running.push(tokio::spawn(async move {
            let output = run_ctl(&platform, &arguments).await;
            let (code, text) = match output {
                Ok(output) => (
                    output.status.code(),
                    format!(
                        "{}{}",
                        String::from_utf8_lossy(&output.stdout),
                        String::from_utf8_lossy(&output.stderr)
                    ),
                ),
                Err(error) => (None, error.to_string()),
            };
            let command = arguments.join(" ");
            let line = text.lines().next().unwrap_or_default();
            history.log_progress(&format!("{author}: {command}: exit {code:?} {line}"));
            OperatorChange {
                author,
                changes_rules: arguments.first().is_none_or(|command| command != "promote"),
                code,
                text,
            }
        }));
    }
}

/// Returns the rules that every revision contains: the logins of the clients.
pub fn base_rules() -> String {
    topology::USERS
        .iter()
        .map(|user| env_plan::login_rules(user, topology::PASSWORD))
        .collect()
}

async fn run_ctl(platform: &str, arguments: &[String]) -> std::io::Result<process::Output> {
    tokio::process::Command::new(child_process::program_path("persimmonctl")?)
        .env("PERSIMMON_PLATFORM", platform)
        .args(arguments)
        .kill_on_drop(true)
        .output()
        .await
}
