//! [`TamperingLink`]: a TCP proxy to an instance that replaces the answers to marked statements.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Length of a row of [`TamperedAnswer::Huge`].
const ROW_BYTES: usize = 8 * 1024;

/// The answer to a marked statement. The mark is `tamper=<name>` anywhere in its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TamperedAnswer {
    /// A truncated row, then the connection is closed.
    ShortRow,
    /// A truncated row, then nothing; the connection stays open.
    SilentRow,
    /// Complete rows without the final messages, then the connection is closed.
    NoEnd,
    /// Bytes that are not protocol messages.
    Garbage,
    /// A message with a length field below the minimum.
    BadLength,
    /// A message type that only clients may send.
    WrongType,
    /// A complete answer followed by a second, unrequested one.
    TwoAnswers,
    /// As many rows as fit in the number of bytes given to [`TamperingLink::start`].
    Huge,
}

impl TamperedAnswer {
    /// All kinds, each with the name in its mark.
    pub const ALL: [(&'static str, Self); 8] = [
        ("short-row", Self::ShortRow),
        ("silent-row", Self::SilentRow),
        ("no-end", Self::NoEnd),
        ("garbage", Self::Garbage),
        ("bad-length", Self::BadLength),
        ("wrong-type", Self::WrongType),
        ("two-answers", Self::TwoAnswers),
        ("huge", Self::Huge),
    ];
}

/// A TCP proxy to an instance that replaces the answers to marked statements.
#[derive(Debug)]
pub struct TamperingLink {
    address: net::SocketAddr,
    written: sync::Arc<atomic::AtomicU64>,
    task: tokio::task::JoinHandle<()>,
}

impl TamperingLink {
    /// Starts forwarding to `target`. `huge_bytes` is the length of [`TamperedAnswer::Huge`].
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be bound.
    pub async fn start(target: net::SocketAddr, huge_bytes: u64) -> io::Result<Self> {
        let listener = tokio::net::TcpListener::bind((target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let written = sync::Arc::new(atomic::AtomicU64::new(0));
        let counter = sync::Arc::clone(&written);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((socket, _peer)) = listener.accept().await {
                let counter = sync::Arc::clone(&counter);
                // If one side's connection breaks, both are closed, as without this proxy.
                connections
                    .spawn(async move { forward(socket, target, huge_bytes, &counter).await.ok() });
            }
        });
        Ok(Self {
            address,
            written,
            task,
        })
    }

    /// Returns the address to connect to.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Returns the number of bytes of huge answers that were written to sockets.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written.load(atomic::Ordering::Acquire)
    }
}

impl Drop for TamperingLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(
    mut socket: tokio::net::TcpStream,
    target: net::SocketAddr,
    huge_bytes: u64,
    counter: &atomic::AtomicU64,
) -> io::Result<()> {
    let mut upstream = tokio::net::TcpStream::connect(target).await?;
    socket.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (mut sent, mut answer) = (vec![0; 64 * 1024], vec![0; 64 * 1024]);
    loop {
        tokio::select! {
            count = socket.read(&mut sent) => {
                let bytes = sent.get(..count?).unwrap_or_default();
                if bytes.is_empty() {
                    return Ok(());
                }
                let Some(tampered) = find_mark(bytes) else {
                    upstream.write_all(bytes).await?;
                    continue;
                };
                if tampered == TamperedAnswer::Huge {
                    send_huge(&mut socket, huge_bytes, counter).await?;
                    continue;
                }
                socket.write_all(&answer_bytes(tampered)).await?;
                match tampered {
                    TamperedAnswer::TwoAnswers => {}
                    TamperedAnswer::ShortRow | TamperedAnswer::NoEnd => return Ok(()),
                    // The other connections stay open, so that only the bytes reveal the fault.
                    _ => while socket.read(&mut sent).await? > 0 {},
                }
            }
            count = upstream.read(&mut answer) => {
                let bytes = answer.get(..count?).unwrap_or_default();
                if bytes.is_empty() {
                    return Ok(());
                }
                socket.write_all(bytes).await?;
            }
        }
    }
}

fn find_mark(bytes: &[u8]) -> Option<TamperedAnswer> {
    let text = String::from_utf8_lossy(bytes);
    let (_, mark) = text.split_once("tamper=")?;
    let found = TamperedAnswer::ALL
        .iter()
        .find(|(name, _)| mark.starts_with(name));
    found.map(|(_, tampered)| *tampered)
}

/// Returns a protocol message with this type and body.
fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).unwrap_or(u32::MAX);
    [&[tag][..], &length.to_be_bytes(), body].concat()
}

fn row(text: &[u8]) -> Vec<u8> {
    let length = u32::try_from(text.len()).unwrap_or(u32::MAX);
    message(b'D', &[&[0, 1][..], &length.to_be_bytes(), text].concat())
}

fn description() -> Vec<u8> {
    message(
        b'T',
        b"\0\x01v\0\0\0\0\0\0\0\0\0\0\x19\xff\xff\xff\xff\xff\xff\0\0",
    )
}

fn end(rows: u64) -> Vec<u8> {
    let tag = format!("SELECT {rows}\0");
    [message(b'C', tag.as_bytes()), message(b'Z', b"I")].concat()
}

fn answer_bytes(tampered: TamperedAnswer) -> Vec<u8> {
    let mut bytes = description();
    // Longer than the buffers of the pool and the entry, so that a part of it is already sent.
    let long_row = row(&vec![b'x'; 256 * 1024]);
    match tampered {
        TamperedAnswer::ShortRow | TamperedAnswer::SilentRow => {
            bytes.extend_from_slice(long_row.get(..200 * 1024).unwrap_or_default());
        }
        TamperedAnswer::NoEnd => bytes.extend((0..100).flat_map(|_| row(&[b'x'; 1000]))),
        TamperedAnswer::Garbage => bytes.extend_from_slice(&[0xff; 64]),
        TamperedAnswer::BadLength => bytes.extend_from_slice(b"D\0\0\0\x01\0\0\0\0"),
        TamperedAnswer::WrongType => bytes.extend(message(b'Q', b"SELECT 1\0")),
        TamperedAnswer::TwoAnswers => {
            bytes.extend(row(b"first"));
            bytes.extend(end(1));
            bytes.extend(description());
            bytes.extend(row(b"second"));
            bytes.extend(end(1));
        }
        TamperedAnswer::Huge => {}
    }
    bytes
}

async fn send_huge(
    socket: &mut tokio::net::TcpStream,
    huge_bytes: u64,
    counter: &atomic::AtomicU64,
) -> io::Result<()> {
    let row = row(&vec![b'x'; ROW_BYTES]);
    let rows = huge_bytes / ROW_BYTES as u64;
    socket.write_all(&description()).await?;
    for _ in 0..rows {
        socket.write_all(&row).await?;
        counter.fetch_add(ROW_BYTES as u64, atomic::Ordering::AcqRel);
    }
    socket.write_all(&end(rows)).await
}
