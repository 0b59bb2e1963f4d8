//! [`OperatorDesk`]: operators that run `persimmonctl` while faults are in force.

use std::fs;
use std::path;
use std::process;
use std::sync;

use testenv::{child_process, env_plan};

use crate::soak::{history, place};

/// A change that an operator tried.
#[derive(Clone, Debug)]
pub struct OperatorChange {
    /// Unique author.
    pub author: String,
    /// Whether the command changes rules.
    pub changes_rules: bool,
    /// Exit code of persimmonctl.
    pub code: Option<i32>,
    /// What it printed.
    pub text: String,
}

/// Operators of a run.
#[derive(Debug)]
pub struct OperatorDesk {
    history: sync::Arc<history::RunHistory>,
    directory: path::PathBuf,
    platform: String,
    count: usize,
    running: Vec<tokio::task::JoinHandle<OperatorChange>>,
    /// Changes of the rules that have ended.
    pub changes: Vec<OperatorChange>,
}

impl OperatorDesk {
    /// Creates operators who reach the platform at an address.
    pub fn new(
        history: &sync::Arc<history::RunHistory>,
        directory: &path::Path,
        platform: String,
    ) -> Self {
        Self {
            history: sync::Arc::clone(history),
            directory: directory.to_owned(),
            platform,
            count: 0,
            running: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Starts two operators who apply different rules.
    ///
    /// # Errors
    ///
    /// Fails if a rules file cannot be written.
    pub fn race(&mut self) -> std::io::Result<()> {
        for _operator in 0..2 {
            let author = self.next_author();
            let file = self.directory.join(format!("{author}.rules"));
            let mark = format!("long \"{author} %\" # asked for by: {author}\n");
            fs::write(&file, format!("{}{mark}", base_rules()))?;
            let file = file.display().to_string();
            self.spawn(&author, &["apply", "--author", &author, &file]);
        }
        Ok(())
    }

    /// Starts a drain or its end.
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

    /// Starts a planned promotion.
    pub fn promote(&mut self, group: &str, upstream: &str) {
        let author = self.next_author();
        self.spawn(&author, &["promote", group, upstream]);
    }

    /// Waits for all operators.
    pub async fn settle(&mut self) {
        for task in std::mem::take(&mut self.running) {
            if let Ok(change) = task.await
                && change.changes_rules
            {
                self.changes.push(change);
            }
        }
    }

    /// Puts the first rules into force everywhere and returns whether that worked.
    ///
    /// # Errors
    ///
    /// Fails if the rules file cannot be written.
    pub async fn restore(&mut self) -> std::io::Result<OperatorChange> {
        let author = self.next_author();
        let file = self.directory.join(format!("{author}.rules"));
        fs::write(&file, base_rules())?;
        let file = file.display().to_string();
        self.spawn(&author, &["apply", "--wait", "--author", &author, &file]);
        self.settle().await;
        self.changes
            .last()
            .cloned()
            .ok_or_else(|| std::io::Error::other("persimmonctl did not run"))
    }

    fn next_author(&mut self) -> String {
        self.count += 1;
        format!("op-{}", self.count)
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
            history.say(&format!("{author}: {command}: exit {code:?} {line}"));
            OperatorChange {
                author,
                changes_rules: arguments.first().is_none_or(|command| command != "promote"),
                code,
                text,
            }
        }));
    }
}

/// Returns the rules that every revision contains.
pub fn base_rules() -> String {
    place::USERS
        .iter()
        .map(|user| env_plan::login_rules(user, place::PASSWORD))
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
