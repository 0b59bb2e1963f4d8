//! Serves a client's connection: protocol negotiation, login, start-up parameters, then the
//! session.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use bytes::{Buf, BufMut};
use pgwire::api::auth::sasl::scram;

use crate::entry::{
    cancel_forward, cancel_registry, context, session, session_parameters, session_start, wire,
};
use crate::model::{refusal_reason, sql_state};
use crate::rules::scram_verifier;
use crate::sql::parameters;
use crate::{counters, event};

/// Request codes of packets without a tag.
const SSL_REQUEST: i32 = 80_877_103;
const GSS_REQUEST: i32 = 80_877_104;
const CANCEL_REQUEST: i32 = 80_877_102;
/// Major version of the protocol.
const PROTOCOL_MAJOR: i32 = 3;
/// Maximum length of a packet before the login; drivers send far shorter ones.
const MAX_STARTUP_BYTES: usize = 64 * 1024;

/// The reason why a connection ends before its session starts.
enum StartFailure {
    ClientGone,
    Refused(refusal_reason::RefusalReason, String),
}

impl From<std::io::Error> for StartFailure {
    fn from(_gone: std::io::Error) -> Self {
        Self::ClientGone
    }
}

impl From<wire::ReadFailure> for StartFailure {
    fn from(failure: wire::ReadFailure) -> Self {
        match failure {
            wire::ReadFailure::Closed => Self::ClientGone,
            wire::ReadFailure::TooLong(length) => Self::Refused(
                refusal_reason::RefusalReason::MessageTooLong,
                format!("a start-up packet of {length} bytes exceeds {MAX_STARTUP_BYTES}"),
            ),
            wire::ReadFailure::Malformed(problem) => {
                Self::Refused(refusal_reason::RefusalReason::Protocol, problem.to_owned())
            }
        }
    }
}

/// Serves one client's connection from start to end.
pub async fn serve(
    context: sync::Arc<context::EntryContext>,
    socket: tokio::net::TcpStream,
    address: net::SocketAddr,
) {
    if socket.set_nodelay(true).is_err() {
        return;
    }
    let (read_half, write_half) = socket.into_split();
    let mut reader = wire::ClientReader::new(read_half, MAX_STARTUP_BYTES);
    let mut writer = wire::ClientWriter::new(write_half);
    let login = tokio::time::timeout(
        context.settings.limits.login,
        start(&context, &mut reader, &mut writer),
    )
    .await;
    let start = match login {
        Ok(Ok(Some(start))) => start,
        Ok(Ok(None) | Err(StartFailure::ClientGone)) | Err(_) => return,
        Ok(Err(StartFailure::Refused(reason, text))) => {
            counters::count_refusal(reason);
            event::info(
                "login_refused",
                &[("caller", &address), ("reason", &reason), ("cause", &text)],
            );
            writer.error("FATAL", reason.sql_state(), &text, "step=login");
            if writer.flush().await.is_ok() {
                writer.close().await;
            }
            return;
        }
    };
    reader.set_limit(context.settings.limits.message_bytes);
    context.sessions.fetch_add(1, atomic::Ordering::AcqRel);
    let (key, cancel) = context.cancels.register(&context.settings.vm);
    let mut session = session::ClientSession::new(&context, reader, writer, start, cancel);
    session.run(key).await;
    context.cancels.remove(key);
    context.sessions.fetch_sub(1, atomic::Ordering::AcqRel);
}

async fn start(
    context: &sync::Arc<context::EntryContext>,
    reader: &mut wire::ClientReader,
    writer: &mut wire::ClientWriter,
) -> Result<Option<session_start::SessionStart>, StartFailure> {
    let mut body = loop {
        let mut body = reader.next_startup().await?;
        let code = take_i32(&mut body)?;
        match code {
            SSL_REQUEST | GSS_REQUEST => writer.write_raw(b'N').await?,
            CANCEL_REQUEST => {
                let process = take_i32(&mut body)?;
                let secret = take_i32(&mut body)?;
                let key = cancel_registry::CancelKey { process, secret };
                cancel_forward::cancel(context, key).await;
                return Ok(None);
            }
            _ if code >> 16 == PROTOCOL_MAJOR => break body,
            _ => {
                return Err(StartFailure::Refused(
                    refusal_reason::RefusalReason::Protocol,
                    format!(
                        "protocol {}.{} is not supported, expected 3.0",
                        code >> 16,
                        code & 0xffff
                    ),
                ));
            }
        }
    };
    let mut given = collections::BTreeMap::new();
    while body.first().is_some_and(|byte| *byte != 0) {
        let (Some(name), Some(value)) = (wire::take_text(&mut body), wire::take_text(&mut body))
        else {
            return Err(StartFailure::Refused(
                refusal_reason::RefusalReason::Protocol,
                "the start-up packet is cut off or not valid UTF-8".to_owned(),
            ));
        };
        given.insert(name, value);
    }
    let user = given.remove("user").unwrap_or_default();
    let database = given.remove("database").unwrap_or_else(|| user.clone());
    if !context.is_loaded() {
        return Err(StartFailure::Refused(
            refusal_reason::RefusalReason::NotReady,
            "not run: the control tables have not arrived yet".to_owned(),
        ));
    }
    let tables = context.tables();
    let rule = tables.rules.login(&user);
    authenticate(reader, writer, rule.map(|rule| &rule.verifier), &user).await?;
    let customer = rule.map(|rule| rule.customer.clone()).unwrap_or_default();
    let Some(tracker) = tables.databases.get(&database).cloned() else {
        return Err(StartFailure::Refused(
            refusal_reason::RefusalReason::UnknownCustomer,
            format!("database \"{database}\" is not known"),
        ));
    };
    let parameters = read_parameters(given)?;
    // Starts to connect to the pools while the answer to the login is still on its way.
    context.use_group(&tracker);
    Ok(Some(session_start::SessionStart {
        user,
        customer,
        database,
        tracker,
        parameters,
    }))
}

fn take_i32(body: &mut bytes::Bytes) -> Result<i32, StartFailure> {
    body.try_get_i32().map_err(|_short| {
        StartFailure::Refused(
            refusal_reason::RefusalReason::Protocol,
            "the start-up packet is cut off".to_owned(),
        )
    })
}

/// Authenticates a user by SCRAM-SHA-256. An unknown user goes through the same exchange with
/// random keys, so that clients cannot find out which users exist.
async fn authenticate(
    reader: &mut wire::ClientReader,
    writer: &mut wire::ClientWriter,
    verifier: Option<&scram_verifier::ScramVerifier>,
    user: &str,
) -> Result<(), StartFailure> {
    let failed = |cause: &dyn std::fmt::Display| {
        event::debug(
            "authentication_failed",
            &[("user", &user), ("cause", cause)],
        );
        StartFailure::Refused(
            refusal_reason::RefusalReason::Login,
            format!("password authentication failed for user \"{user}\""),
        )
    };
    let secret = match verifier {
        Some(verifier) => scram::ScramSecret::Verifier {
            salt: verifier.salt.clone(),
            iterations: verifier.iterations as usize,
            stored_key: verifier.stored_key.clone(),
            server_key: verifier.server_key.clone(),
        },
        None => scram::ScramSecret::Verifier {
            salt: rand::random::<[u8; 16]>().to_vec(),
            iterations: scram::SCRAM_ITERATIONS,
            stored_key: rand::random::<[u8; 32]>().to_vec(),
            server_key: rand::random::<[u8; 32]>().to_vec(),
        },
    };
    writer.message(b'R', |body| {
        body.put_i32(10);
        wire::put_text(body, "SCRAM-SHA-256");
        body.put_u8(0);
    });
    writer.flush().await?;
    let mut first = expect_password(reader).await?;
    let mechanism = wire::take_text(&mut first).unwrap_or_default();
    if mechanism != "SCRAM-SHA-256" || first.len() < 4 {
        return Err(failed(&"the mechanism is not SCRAM-SHA-256"));
    }
    first.advance(4);
    let (challenge, waiting) = scram::ScramServerAuth::new()
        .on_client_first_message_with_secret(&first, secret)
        .map_err(|error| failed(&error))?;
    writer.message(b'R', |body| {
        body.put_i32(11);
        body.put_slice(challenge.as_bytes());
    });
    writer.flush().await?;
    let last = expect_password(reader).await?;
    let proof = waiting
        .on_client_final_message(&last)
        .map_err(|error| failed(&error))?;
    if verifier.is_none() || proof.starts_with("e=") {
        return Err(failed(&"unknown user or wrong password"));
    }
    writer.message(b'R', |body| {
        body.put_i32(12);
        body.put_slice(proof.as_bytes());
    });
    writer.message(b'R', |body| body.put_i32(0));
    Ok(())
}

async fn expect_password(reader: &mut wire::ClientReader) -> Result<bytes::Bytes, StartFailure> {
    let message = reader.next().await?;
    if message.tag != b'p' {
        return Err(StartFailure::Refused(
            refusal_reason::RefusalReason::Protocol,
            format!(
                "expected a password message, found {:?}",
                char::from(message.tag)
            ),
        ));
    }
    Ok(message.body)
}

fn read_parameters(
    given: collections::BTreeMap<String, String>,
) -> Result<session_parameters::SessionParameters, StartFailure> {
    let mut session = session_parameters::SessionParameters::default();
    let mut set = |name: &str, value: &str| {
        session
            .set(name, Some(value))
            .map_err(|text| StartFailure::Refused(refusal_reason::RefusalReason::Parameter, text))
    };
    for (name, value) in given {
        let name = name.to_ascii_lowercase();
        if name == "options" {
            for (name, value) in split_options(&value) {
                set(&name, &value)?;
            }
        } else if parameters::is_handled(&name) {
            set(&name, &value)?;
        } else if !name.starts_with("_pq_.") {
            return Err(StartFailure::Refused(
                refusal_reason::RefusalReason::Unsupported,
                format!(
                    "parameter \"{name}\" is not supported ({})",
                    sql_state::FEATURE_NOT_SUPPORTED
                ),
            ));
        }
    }
    Ok(session)
}

/// Splits the `options` parameter into its `-c name=value` and `--name=value` settings; a backslash
/// escapes a space.
fn split_options(options: &str) -> Vec<(String, String)> {
    let mut words = vec![String::new()];
    let mut escaped = false;
    for c in options.chars() {
        let word = words.last_mut();
        match (c, word) {
            ('\\', _) if !escaped => escaped = true,
            (' ', _) if !escaped => words.push(String::new()),
            (c, Some(word)) => {
                word.push(c);
                escaped = false;
            }
            (_, None) => {}
        }
    }
    words
        .iter()
        .filter(|word| !word.is_empty() && *word != "-c")
        .map(|word| {
            let word = word
                .strip_prefix("--")
                .or_else(|| word.strip_prefix("-c"))
                .unwrap_or(word);
            let (name, value) = word.split_once('=').unwrap_or((word, ""));
            (name.to_ascii_lowercase(), value.to_owned())
        })
        .collect()
}
