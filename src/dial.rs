//! [`TcpDialer`]: opens outgoing TCP connections.

use std::io;
use std::net;
use std::time;

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
