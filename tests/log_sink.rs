//! Tests of the log output that never blocks the process.

use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use persimmontack::log_sink::LogSink;

/// An output whose reader continues only when the test lets it.
struct StoppedReader {
    gate: mpsc::Receiver<()>,
    seen: Arc<Mutex<Vec<u8>>>,
}

impl Write for StoppedReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.gate.recv().is_err() {
            // The test has ended.
            return Ok(bytes.len());
        }
        self.seen
            .lock()
            .expect("the bytes")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that wait because nobody reads the log. Lines are dropped instead, and
/// their number is logged once the reader continues.
#[test]
fn a_stopped_reader_drops_lines_and_blocks_nothing() {
    let (open, gate) = mpsc::channel();
    let seen = Arc::<Mutex<Vec<u8>>>::default();
    let reader = StoppedReader {
        gate,
        seen: Arc::clone(&seen),
    };
    let mut sink = LogSink::start(reader).expect("a sink");
    let line = format!("event=test text={}\n", "x".repeat(980));
    // More lines than the buffer holds. With a sink that waits for its reader, the loop would never
    // end.
    for _ in 0..2_000 {
        sink.write_all(line.as_bytes()).expect("taken");
    }
    for _ in 0..2_000 {
        if open.send(()).is_err() {
            break;
        }
    }
    let mut text = String::new();
    while !text.contains("event=lines_dropped reason=slow_reader count=") {
        sink.write_all(b"event=later\n").expect("taken");
        std::thread::sleep(Duration::from_millis(20));
        text = String::from_utf8_lossy(&seen.lock().expect("the bytes")).into_owned();
    }
    assert!(text.starts_with("event=test "));
}

/// Guards against losing the last log lines when a process exits.
#[test]
fn closing_writes_the_buffered_lines() {
    let (open, gate) = mpsc::channel();
    let seen = Arc::<Mutex<Vec<u8>>>::default();
    let reader = StoppedReader {
        gate,
        seen: Arc::clone(&seen),
    };
    for _ in 0..10 {
        open.send(()).expect("a reader");
    }
    let mut sink = LogSink::start(reader).expect("a sink");
    sink.write_all(b"event=stopped\n").expect("taken");
    sink.close(Duration::from_secs(60));
    let text = String::from_utf8_lossy(&seen.lock().expect("the bytes")).into_owned();
    assert_eq!(text, "event=stopped\n");
}
