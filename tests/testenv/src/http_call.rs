//! HTTP requests to the platform's admin interface and to health listeners.

use std::io;
use std::net;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Sends one HTTP request on a new connection, and returns the status and body of the answer.
///
/// # Errors
///
/// Fails if the peer cannot be reached or its answer is not HTTP.
pub async fn call(
    address: net::SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> io::Result<(u16, String)> {
    let mut stream = tokio::net::TcpStream::connect(address).await?;
    let request = format!(
        "{method} {path} HTTP/1.0\r\nhost: {address}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await?;
    let status = reply.split(' ').nth(1).and_then(|code| code.parse().ok());
    match (status, reply.split_once("\r\n\r\n")) {
        (Some(status), Some((_head, body))) => Ok((status, body.to_owned())),
        _ => Err(io::Error::other(format!("not an HTTP answer: {reply:?}"))),
    }
}
