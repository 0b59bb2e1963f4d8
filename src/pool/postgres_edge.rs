//! [`PostgresEdge`]: connects to upstreams by the PostgreSQL protocol.

use std::net;
use std::str;
use std::time;

use bytes::Buf;
use futures::FutureExt;
use postgres_protocol::authentication::sasl;
use postgres_protocol::message::frontend;

use crate::dial;
use crate::model::{ids, log_position, sql_state, upstream_spec, upstream_state};
use crate::pool::pool_settings;
use crate::pool::{upstream_connection, upstream_edge, upstream_error};

/// Parameter by which an upstream reports the incarnation of its process at login.
const INCARNATION_PARAMETER: &[u8] = b"group.incarnation";
/// Parameter by which an upstream reports the log position of a commit.
const POSITION_PARAMETER: &[u8] = b"group.position";

/// Connects to upstreams by the PostgreSQL protocol, with the pool's own account.
#[derive(Clone, Debug)]
pub struct PostgresEdge {
    dialer: dial::TcpDialer,
    account: pool_settings::UpstreamAccount,
}

impl PostgresEdge {
    /// Creates an edge that logs in with `account`.
    #[must_use]
    pub const fn new(dialer: dial::TcpDialer, account: pool_settings::UpstreamAccount) -> Self {
        Self { dialer, account }
    }

    /// Opens a TCP connection and logs in.
    async fn open(
        &self,
        spec: &upstream_spec::UpstreamSpec,
        database: &str,
    ) -> Result<upstream_connection::UpstreamConnection, upstream_error::UpstreamError> {
        let connect = async {
            let socket = self.dialer.connect(spec.address).await?;
            dial::set_keepalive(&socket)?;
            Ok(socket)
        };
        let socket = connect.await.map_err(|error: std::io::Error| {
            upstream_error::UpstreamError::new(
                upstream_error::UpstreamStep::Connect,
                spec.address,
                error,
            )
        })?;
        let connection =
            upstream_connection::UpstreamConnection::new(socket, spec.address, database);
        tokio::time::timeout(self.dialer.timeout, self.login(connection, spec.address))
            .await
            .map_err(|elapsed| {
                upstream_error::UpstreamError::new(
                    upstream_error::UpstreamStep::Login,
                    spec.address,
                    elapsed,
                )
            })?
    }

    /// Logs in with a password or by SCRAM-SHA-256, as the upstream asks.
    async fn login(
        &self,
        mut connection: upstream_connection::UpstreamConnection,
        address: net::SocketAddr,
    ) -> Result<upstream_connection::UpstreamConnection, upstream_error::UpstreamError> {
        let fail = |cause: &dyn ToString| {
            upstream_error::UpstreamError::new(
                upstream_error::UpstreamStep::Login,
                address,
                cause.to_string(),
            )
        };
        let mut out = bytes::BytesMut::new();
        let parameters = [
            ("user", self.account.user.as_str()),
            ("database", connection.database.as_str()),
            ("application_name", "persimmontack"),
            ("client_encoding", "UTF8"),
        ];
        frontend::startup_message(parameters, &mut out).map_err(|error| fail(&error))?;
        connection.send(&out).await.map_err(|error| fail(&error))?;
        let mut scram = None;
        loop {
            let mut message = connection.receive().await.map_err(|error| fail(&error))?;
            out.clear();
            match message.tag {
                b'R' => {
                    let kind = message.body.try_get_i32().map_err(|error| fail(&error))?;
                    let password = self.account.password.as_bytes();
                    let encoded = match kind {
                        0 => Ok(()),
                        3 => frontend::password_message(password, &mut out),
                        10 => {
                            let binding = sasl::ChannelBinding::unsupported();
                            let exchange = scram.insert(sasl::ScramSha256::new(password, binding));
                            frontend::sasl_initial_response(
                                sasl::SCRAM_SHA_256,
                                exchange.message(),
                                &mut out,
                            )
                        }
                        11 => match &mut scram {
                            Some(exchange) => exchange.update(&message.body).and_then(|()| {
                                frontend::sasl_response(exchange.message(), &mut out)
                            }),
                            None => Err(std::io::Error::other("SASL answer without a start")),
                        },
                        12 => match &mut scram {
                            Some(exchange) => exchange.finish(&message.body),
                            None => Err(std::io::Error::other("SASL end without a start")),
                        },
                        other => Err(std::io::Error::other(format!(
                            "authentication method {other} is not supported"
                        ))),
                    };
                    encoded.map_err(|error| fail(&error))?;
                    if !out.is_empty() {
                        connection.send(&out).await.map_err(|error| fail(&error))?;
                    }
                }
                b'S' => {
                    if let Some((INCARNATION_PARAMETER, value)) = split_parameter(&message.body) {
                        connection.incarnation = parse_incarnation(value)
                            .ok_or_else(|| fail(&"group.incarnation is not a number"))?;
                    }
                }
                b'K' => {
                    connection.key.process_id =
                        message.body.try_get_i32().map_err(|error| fail(&error))?;
                    connection.key.secret =
                        message.body.try_get_i32().map_err(|error| fail(&error))?;
                }
                b'E' => {
                    let (state, text) = read_error(&message.body);
                    return Err(upstream_error::UpstreamError {
                        full: state == sql_state::TOO_MANY_CONNECTIONS,
                        ..fail(&format!("{state} {text}"))
                    });
                }
                b'Z' => return Ok(connection),
                _ => {}
            }
        }
    }

    /// Runs a query that returns the upstream's state as JSON in one column.
    async fn query_state(
        &self,
        connection: &mut upstream_connection::UpstreamConnection,
        query: &str,
    ) -> Result<upstream_state::UpstreamState, upstream_error::UpstreamError> {
        let address = connection.key.address;
        let fail = |cause: &dyn ToString| {
            upstream_error::UpstreamError::new(
                upstream_error::UpstreamStep::ReadState,
                address,
                cause.to_string(),
            )
        };
        let mut out = bytes::BytesMut::new();
        frontend::query(query, &mut out).map_err(|error| fail(&error))?;
        connection.send(&out).await.map_err(|error| fail(&error))?;
        let mut result = Err(fail(&"no row"));
        loop {
            let mut message = connection.receive().await.map_err(|error| fail(&error))?;
            match message.tag {
                b'D' => {
                    let columns = message.body.try_get_u16().unwrap_or_default();
                    let length = message.body.try_get_i32().unwrap_or(-1);
                    let whole = usize::try_from(length).is_ok_and(|n| n == message.body.len());
                    if columns != 1 || !whole {
                        return Err(fail(&"expected one text column"));
                    }
                    result = serde_json::from_slice(&message.body).map_err(|error| fail(&error));
                }
                b'E' => {
                    let (state, text) = read_error(&message.body);
                    result = Err(fail(&format!("{state} {text}")));
                }
                b'Z' => return result,
                _ => {}
            }
        }
    }
}

impl upstream_edge::UpstreamEdge for PostgresEdge {
    fn connect<'a>(
        &'a self,
        spec: &'a upstream_spec::UpstreamSpec,
        database: &'a str,
    ) -> upstream_edge::EdgeFuture<'a, upstream_connection::UpstreamConnection> {
        self.open(spec, database).boxed()
    }

    fn read_state<'a>(
        &'a self,
        connection: &'a mut upstream_connection::UpstreamConnection,
    ) -> upstream_edge::EdgeFuture<'a, upstream_state::UpstreamState> {
        self.query_state(connection, "SELECT group_state()").boxed()
    }

    fn wait_state<'a>(
        &'a self,
        connection: &'a mut upstream_connection::UpstreamConnection,
        version: u64,
        wait: time::Duration,
    ) -> upstream_edge::EdgeFuture<'a, upstream_state::UpstreamState> {
        async move {
            let query = format!("SELECT group_wait('{version}', {})", wait.as_millis());
            self.query_state(connection, &query).await
        }
        .boxed()
    }

    fn cancel(&self, key: upstream_connection::CancelKey) -> upstream_edge::EdgeFuture<'_, ()> {
        async move {
            let fail = |error: std::io::Error| {
                upstream_error::UpstreamError::new(
                    upstream_error::UpstreamStep::Send,
                    key.address,
                    error,
                )
            };
            let socket = self.dialer.connect(key.address).await.map_err(fail)?;
            let mut connection =
                upstream_connection::UpstreamConnection::new(socket, key.address, "");
            let mut out = bytes::BytesMut::new();
            frontend::cancel_request(key.process_id, key.secret, &mut out);
            connection.send(&out).await.map_err(fail)?;
            // The upstream closes the connection once it has processed the request.
            let closed = tokio::time::timeout(self.dialer.timeout, connection.receive()).await;
            drop(closed);
            Ok(())
        }
        .boxed()
    }

    fn interpret(&self, name: &[u8], value: &[u8]) -> upstream_edge::ParameterMeaning {
        let position = (name == POSITION_PARAMETER)
            .then(|| {
                str::from_utf8(value)
                    .ok()?
                    .parse::<log_position::LogPosition>()
                    .ok()
            })
            .flatten();
        position.map_or(
            upstream_edge::ParameterMeaning::Session,
            upstream_edge::ParameterMeaning::Position,
        )
    }
}

/// Splits the body of a ParameterStatus message into name and value.
#[must_use]
pub fn split_parameter(body: &[u8]) -> Option<(&[u8], &[u8])> {
    let mut parts = body.split(|byte| *byte == 0);
    Some((parts.next()?, parts.next()?))
}

/// Returns the SQLSTATE and the message of an ErrorResponse body.
#[must_use]
pub fn read_error(body: &[u8]) -> (String, String) {
    let mut state = String::new();
    let mut text = String::new();
    for field in body.split(|byte| *byte == 0) {
        match field.split_first() {
            Some((b'C', value)) => state = String::from_utf8_lossy(value).into_owned(),
            Some((b'M', value)) => text = String::from_utf8_lossy(value).into_owned(),
            _ => {}
        }
    }
    (state, text)
}

fn parse_incarnation(value: &[u8]) -> Option<ids::IncarnationId> {
    str::from_utf8(value).ok()?.parse().ok()
}
