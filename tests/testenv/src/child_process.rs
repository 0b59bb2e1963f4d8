//! [`ChildProcess`]: a daemon or stand-in process that a test started.

use std::collections;
use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

use crate::waiting;

/// Number of stderr lines, from the end, that a failing test prints for each process.
const PRINTED_LINES: usize = 25;

/// A process that a test started. It is killed, by its id, when this value is dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: process::Child,
    stderr: path::PathBuf,
    stderr_start: u64,
    addresses: collections::HashMap<String, net::SocketAddr>,
}

impl ChildProcess {
    /// Starts `program --config settings` and appends its stderr to the file `stderr`.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started or the file cannot be opened.
    pub fn start(
        name: &str,
        program: &str,
        settings: &path::Path,
        stderr: &path::Path,
        log: &str,
    ) -> io::Result<Self> {
        let file = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(stderr)?;
        let stderr_start = file.metadata()?.len();
        let child = process::Command::new(program_path(program)?)
            .arg("--config")
            .arg(settings)
            .env("RUST_LOG", log)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::null())
            .stderr(file)
            .spawn()
            .map_err(|error| io::Error::new(error.kind(), format!("{program}: {error}")))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            stderr: stderr.to_owned(),
            stderr_start,
            addresses: collections::HashMap::new(),
        })
    }

    /// Waits until the process has logged `event=started`, and reads its addresses.
    ///
    /// # Errors
    ///
    /// Fails if the process ends before that or does not start in time.
    pub async fn wait_started(&mut self) -> io::Result<()> {
        let deadline = time::Instant::now() + waiting::WAIT_LIMIT;
        loop {
            let text = self.stderr_text()?;
            if text.lines().any(|line| has_event(line, "started")) {
                self.addresses = text.lines().filter_map(listening_address).collect();
                return Ok(());
            }
            let ended = self.child.try_wait()?;
            if ended.is_some() || time::Instant::now() > deadline {
                return Err(io::Error::other(format!(
                    "{} did not start (status {ended:?}):\n{text}",
                    self.name
                )));
            }
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the address of a listener: `listen`, `link` or `health`.
    #[must_use]
    pub fn address(&self, what: &str) -> Option<net::SocketAddr> {
        self.addresses.get(what).copied()
    }

    /// Sends a signal, e.g. `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Fails if the process is gone.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let status = process::Command::new("/bin/kill")
            .arg(format!("-{signal}"))
            .arg(self.child.id().to_string())
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(format!("kill -{signal}: {status}")))
        }
    }

    /// Kills the process with SIGKILL and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Returns the exit status if the process has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be waited for.
    pub fn try_wait(&mut self) -> io::Result<Option<process::ExitStatus>> {
        self.child.try_wait()
    }

    /// Returns the stderr of this process, without that of earlier processes of the same name.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read.
    pub fn stderr_text(&self) -> io::Result<String> {
        let bytes = fs::read(&self.stderr)?;
        let start = usize::try_from(self.stderr_start).unwrap_or(usize::MAX);
        Ok(String::from_utf8_lossy(bytes.get(start..).unwrap_or_default()).into_owned())
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Killing a process that has already ended may fail; the error does not matter.
        let _result = self.kill();
        if thread::panicking() {
            let text = self.stderr_text().unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            let skip = lines.len().saturating_sub(PRINTED_LINES);
            eprintln!("--- end of the stderr of {} ---", self.name);
            for line in lines.iter().skip(skip) {
                eprintln!("{line}");
            }
        }
    }
}

/// Returns the path of a program of the workspace, next to the running test or program.
///
/// # Errors
///
/// Fails if it has not been built.
pub fn program_path(program: &str) -> io::Result<path::PathBuf> {
    let own = std::env::current_exe()?;
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|directory| directory.join(program))
        .find(|path| path.is_file())
        .ok_or_else(|| {
            io::Error::new(
                io::ErrorKind::NotFound,
                format!("{program} is not built; run cargo build --workspace"),
            )
        })
}

fn has_event(line: &str, event: &str) -> bool {
    line.split(' ')
        .any(|pair| pair.strip_prefix("event=") == Some(event))
}

fn listening_address(line: &str) -> Option<(String, net::SocketAddr)> {
    let value = |key: &str| {
        line.split(' ')
            .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
    };
    let address = value("address").and_then(|text| text.parse().ok());
    (value("event") == Some("listening"))
        .then(|| Some((value("what")?.to_owned(), address?)))
        .flatten()
}
