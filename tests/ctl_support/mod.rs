//! Runs `persimmonctl`, and `standin-platform` as a separate process.

use std::ffi;
use std::io;
use std::io::{BufRead, Read, Write};
use std::net;
use std::path;
use std::process;

/// Exit code and output of a run of `persimmonctl`.
#[derive(Debug)]
pub struct CtlRun {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CtlRun {
    /// Parses standard output as JSON.
    #[track_caller]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Checks the exit code, and that standard error contains all parts.
    #[track_caller]
    pub fn assert_failed(&self, code: i32, parts: &[&str]) {
        assert_eq!(self.code, code, "{self:?}");
        assert!(self.stderr.starts_with("persimmonctl: "), "{self:?}");
        for part in parts {
            assert!(self.stderr.contains(part), "{part:?} is missing: {self:?}");
        }
    }

    /// Checks that the run succeeded and printed nothing on standard error.
    #[track_caller]
    pub fn assert_ok(self) -> Self {
        assert_eq!(self.code, 0, "{self:?}");
        assert_eq!(self.stderr, "");
        self
    }
}

/// Returns a command for the real binary with an empty environment.
pub fn command<S: AsRef<ffi::OsStr>>(arguments: &[S]) -> tokio::process::Command {
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_persimmonctl"));
    command
        .env_clear()
        .args(arguments)
        .stdin(process::Stdio::null())
        .stdout(process::Stdio::piped())
        .stderr(process::Stdio::piped())
        .kill_on_drop(true);
    command
}

/// Runs a command to its end.
pub async fn run(command: &mut tokio::process::Command) -> CtlRun {
    let output = command.output().await.expect("persimmonctl runs");
    CtlRun {
        code: output.status.code().expect("persimmonctl is not killed"),
        stdout: String::from_utf8(output.stdout).expect("UTF-8"),
        stderr: String::from_utf8(output.stderr).expect("UTF-8"),
    }
}

/// A `standin-platform` process. It is killed when the value is dropped.
#[derive(Debug)]
pub struct PlatformProcess {
    pub address: net::SocketAddr,
    child: process::Child,
    _directory: tempfile::TempDir,
}

impl PlatformProcess {
    /// Starts the process and waits until it listens.
    pub fn start() -> Self {
        let directory = tempfile::tempdir().expect("directory");
        let settings = directory.path().join("platform.toml");
        std::fs::write(&settings, "listen = \"127.0.0.1:0\"\n").expect("settings");
        let program =
            path::Path::new(env!("CARGO_BIN_EXE_persimmonctl")).with_file_name("standin-platform");
        let mut child = process::Command::new(&program)
            .arg("--config")
            .arg(&settings)
            .env("RUST_LOG", "info")
            .stderr(process::Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| {
                panic!("{program:?}: {error}; run cargo build --workspace --bins first")
            });
        let mut log = io::BufReader::new(child.stderr.take().expect("log"));
        let mut line = String::new();
        let address = loop {
            line.clear();
            let length = log.read_line(&mut line).expect("log");
            assert_ne!(length, 0, "standin-platform ended before it listened");
            let address = line.split_whitespace().find_map(|pair| {
                let value = pair.strip_prefix("address=")?;
                line.contains("event=listening")
                    .then(|| value.parse())?
                    .ok()
            });
            if let Some(address) = address {
                break address;
            }
        };
        // If the pipe were full, the process would block on its next log line.
        std::thread::spawn(move || io::copy(&mut log, &mut io::sink()));
        Self {
            address,
            child,
            _directory: directory,
        }
    }

    /// Posts to one of the stand-in's test endpoints, such as `/admin/faults`.
    pub fn post(&self, path: &str, body: &serde_json::Value) {
        let body = body.to_string();
        let mut socket = net::TcpStream::connect(self.address).expect("connect");
        write!(
            socket,
            "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
        .expect("send");
        let mut reply = String::new();
        socket.read_to_string(&mut reply).expect("receive");
        assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    }

    /// Runs `persimmonctl` against this platform.
    pub async fn ctl(&self, arguments: &[&str]) -> CtlRun {
        run(command(arguments).env("PERSIMMON_PLATFORM", self.address.to_string())).await
    }
}

impl Drop for PlatformProcess {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }
}

/// A temporary directory for rules files.
#[derive(Debug)]
pub struct RulesDirectory {
    directory: tempfile::TempDir,
}

impl RulesDirectory {
    pub fn new() -> Self {
        Self {
            directory: tempfile::tempdir().expect("directory"),
        }
    }

    /// Writes a rules file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.directory.path().join(name);
        std::fs::write(&path, text).expect("rules");
        path.to_str().expect("UTF-8").to_owned()
    }
}
