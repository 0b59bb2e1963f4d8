//! [`TcpDialer`]: opens outgoing TCP connections.

use std::io;
use std::net;
use std::time;

/// Time for which sent bytes may stay unacknowledged by TCP before the system closes the
/// connection.
const UNACKNOWLEDGED_LIMIT: time::Duration = time::Duration::from_secs(3);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 3;

/// Makes the system close a connection whose other end does not answer, also while nothing is sent.
///
/// # Errors
///
/// Fails if the system refuses the socket options.
pub fn set_keepalive(socket: &tokio::net::TcpStream) -> io::Result<()> {
    let socket = socket2::SockRef::from(socket);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}

/// Opens outgoing TCP connections from a fixed local address and with a timeout.
#[derive(Clone, Copy, Debug)]
pub struct TcpDialer {
    /// Local address to connect from; with `None`, the operating system chooses it.
    pub source: Option<net::IpAddr>,
    /// Time within which a connection has to be established.
    pub timeout: time::Duration,
}

impl TcpDialer {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Fails like a plain connect, and with [`io::ErrorKind::TimedOut`] after the timeout.
    pub async fn connect(&self, address: net::SocketAddr) -> io::Result<tokio::net::TcpStream> {
        let connect = async {
            let socket = match address {
                net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
                net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
            };
            if let Some(source) = self.source {
                socket.bind(net::SocketAddr::new(source, 0))?;
            }
            let stream = socket.connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(stream)
        };
        tokio::time::timeout(self.timeout, connect)
            .await
            .unwrap_or_else(|_elapsed| Err(io::Error::from(io::ErrorKind::TimedOut)))
    }
}
