//! [`LogSink`]: log output that never blocks the process.
//!
//! Lines go into a bounded buffer, and a thread writes them out in batches. If the reader of the
//! output is slow or has stopped and the buffer is full, lines are dropped and counted. The count
//! is written once the output accepts data again.

use std::io;
use std::sync;
use std::time;

/// Size of the buffer for lines that wait to be written.
const BUFFER_BYTES: usize = 128 * 1024;
/// Time between two batches.
const BATCH_INTERVAL: time::Duration = time::Duration::from_millis(250);

#[derive(Debug, Default)]
struct SinkBuffer {
    bytes: Vec<u8>,
    dropped: u64,
    closed: bool,
}

/// Passes log lines to a writer thread. Cheap to clone.
#[derive(Clone, Debug)]
pub struct LogSink {
    buffer: sync::Arc<(sync::Mutex<SinkBuffer>, sync::Condvar)>,
}

impl LogSink {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start(output: impl io::Write + Send + 'static) -> io::Result<Self> {
        let buffer = sync::Arc::new((
            sync::Mutex::new(SinkBuffer::default()),
            sync::Condvar::new(),
        ));
        let shared = sync::Arc::clone(&buffer);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || write_batches(&shared, output))?;
        Ok(Self { buffer })
    }

    /// Waits until all buffered lines are written, for at most `timeout`.
    pub fn close(&self, timeout: time::Duration) {
        let (mutex, condition) = &*self.buffer;
        let mut buffer = mutex.lock().unwrap_or_else(sync::PoisonError::into_inner);
        buffer.closed = true;
        condition.notify_all();
        let waited = condition.wait_timeout_while(buffer, timeout, |buffer| buffer.closed);
        drop(waited);
    }
}

fn write_batches(shared: &(sync::Mutex<SinkBuffer>, sync::Condvar), mut output: impl io::Write) {
    let (mutex, condition) = shared;
    loop {
        let mut buffer = mutex.lock().unwrap_or_else(sync::PoisonError::into_inner);
        while buffer.bytes.is_empty() && !buffer.closed {
            buffer = condition
                .wait(buffer)
                .unwrap_or_else(sync::PoisonError::into_inner);
        }
        let mut batch = std::mem::take(&mut buffer.bytes);
        let dropped = std::mem::take(&mut buffer.dropped);
        let closed = buffer.closed;
        drop(buffer);
        if dropped > 0 {
            let line = format!("event=lines_dropped reason=slow_reader count={dropped}\n");
            batch.extend_from_slice(line.as_bytes());
        }
        let written = output.write_all(&batch).and_then(|()| output.flush());
        if closed || written.is_err() {
            // Either the sink is being closed, or the output has failed.
            let mut buffer = mutex.lock().unwrap_or_else(sync::PoisonError::into_inner);
            buffer.closed = false;
            condition.notify_all();
            if written.is_err() {
                return;
            }
        }
        std::thread::sleep(BATCH_INTERVAL);
    }
}

impl io::Write for LogSink {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let (mutex, condition) = &*self.buffer;
        let mut buffer = mutex.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if buffer.bytes.len() + line.len() > BUFFER_BYTES {
            buffer.dropped += 1;
        } else {
            let was_empty = buffer.bytes.is_empty();
            buffer.bytes.extend_from_slice(line);
            if was_empty {
                condition.notify_all();
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
