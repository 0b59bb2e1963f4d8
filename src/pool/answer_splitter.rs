//! [`AnswerSplitter`]: splits an upstream's answer into what the entry gets and what the pool needs.

use crate::link::work_reply;
use crate::model::{log_position, sql_state};
use crate::pool::{postgres_edge, upstream_connection, upstream_edge};

/// Longest frame of rows in bytes.
pub const ROWS_FRAME_BYTES: usize = 32 * 1024;
/// Longest completion that is held back.
pub const MAX_HELD_BYTES: usize = 1024 * 1024;

/// Splits an upstream's answer by message type and length, without decoding rows. Messages that
/// pass through may be longer than the buffer; those that are looked into are read whole.
#[derive(Debug)]
pub struct AnswerSplitter {
    hidden_parses: Vec<u16>,
    hold_completion: bool,
    parses: u16,
    passing: usize,
    out: bytes::BytesMut,
    /// Length of the part of `out` that may be sent before the answer is whole.
    held_from: Option<usize>,
    /// State of the connection, once the answer is whole.
    pub status: Option<work_reply::TransactionStatus>,
    /// Position that a commit reached.
    pub position: Option<log_position::LogPosition>,
    /// SQLSTATE of the last error.
    pub sql_state: Option<String>,
    /// True once the answer changed session state.
    pub tainted: bool,
}

impl AnswerSplitter {
    /// Creates a splitter for one answer.
    #[must_use]
    pub fn new(hidden_parses: Vec<u16>, hold_completion: bool) -> Self {
        Self {
            hidden_parses,
            hold_completion,
            parses: 0,
            passing: 0,
            out: bytes::BytesMut::new(),
            held_from: None,
            status: None,
            position: None,
            sql_state: None,
            tainted: false,
        }
    }

    /// Takes what it can from `buffer`: until the answer is whole, a frame is full, or a message
    /// is cut off.
    ///
    /// # Errors
    ///
    /// Returns why the answer is not one that the pool can pass on.
    pub fn take(
        &mut self,
        buffer: &mut bytes::BytesMut,
        edge: &dyn upstream_edge::UpstreamEdge,
    ) -> Result<(), String> {
        while self.status.is_none() && !self.has_full_frame() {
            if self.passing > 0 {
                let part = self.passing.min(buffer.len()).min(ROWS_FRAME_BYTES);
                if part == 0 {
                    return Ok(());
                }
                self.out.extend_from_slice(&buffer.split_to(part));
                self.passing -= part;
                self.check_held()?;
                continue;
            }
            let Some(head) = buffer.first_chunk::<5>() else {
                return Ok(());
            };
            let [tag, length @ ..] = *head;
            let length = u32::from_be_bytes(length) as usize;
            if length < 4 {
                return Err(format!("message {:?} of length {length}", char::from(tag)));
            }
            let whole = 1 + length;
            if matches!(
                tag,
                b'T' | b'D' | b'd' | b'c' | b'H' | b'2' | b'3' | b'n' | b't' | b's' | b'N' | b'A'
            ) {
                self.passing = whole;
                continue;
            }
            if whole > upstream_connection::MAX_WHOLE_MESSAGE_BYTES {
                return Err(format!("message {:?} of {length} bytes", char::from(tag)));
            }
            if buffer.len() < whole {
                return Ok(());
            }
            let message = buffer.split_to(whole);
            self.look_into(tag, &message, edge)?;
            self.check_held()?;
        }
        Ok(())
    }

    fn look_into(
        &mut self,
        tag: u8,
        message: &[u8],
        edge: &dyn upstream_edge::UpstreamEdge,
    ) -> Result<(), String> {
        let body = message.get(5..).unwrap_or_default();
        match tag {
            b'1' => {
                let number = self.parses;
                self.parses = self.parses.saturating_add(1);
                if self.hidden_parses.contains(&number) {
                    return Ok(());
                }
            }
            b'C' | b'I' => {
                if self.hold_completion && self.held_from.is_none() {
                    self.held_from = Some(self.out.len());
                }
            }
            b'S' => {
                let (name, value) = postgres_edge::split_parameter(body)
                    .ok_or_else(|| "malformed ParameterStatus".to_owned())?;
                match edge.interpret(name, value) {
                    upstream_edge::ParameterMeaning::Position(position) => {
                        self.position = Some(position);
                        return Ok(());
                    }
                    upstream_edge::ParameterMeaning::Session => self.tainted = true,
                }
            }
            b'E' => {
                let (state, _) = postgres_edge::read_error(body);
                self.sql_state = Some(if state.is_empty() {
                    sql_state::PROTOCOL_VIOLATION.to_owned()
                } else {
                    state
                });
            }
            b'Z' => {
                self.status = Some(match body {
                    b"I" => work_reply::TransactionStatus::Idle,
                    b"T" => work_reply::TransactionStatus::Open,
                    b"E" => work_reply::TransactionStatus::Failed,
                    _ => return Err("unknown transaction status".to_owned()),
                });
            }
            _ => return Err(format!("unexpected message {:?}", char::from(tag))),
        }
        self.out.extend_from_slice(message);
        Ok(())
    }

    fn check_held(&self) -> Result<(), String> {
        match self.held_from {
            Some(from) if self.out.len() - from > MAX_HELD_BYTES => Err(format!(
                "answer after the first completion exceeds {MAX_HELD_BYTES} bytes"
            )),
            _ => Ok(()),
        }
    }

    /// Tells whether a whole frame of rows waits to be sent.
    #[must_use]
    pub fn has_full_frame(&self) -> bool {
        self.sendable() >= ROWS_FRAME_BYTES
    }

    /// Returns the number of bytes that may be sent before the answer is whole.
    #[must_use]
    pub fn sendable(&self) -> usize {
        self.held_from.unwrap_or(self.out.len())
    }

    /// Takes a frame of rows, if there is anything to send.
    pub fn take_rows(&mut self) -> Option<bytes::Bytes> {
        let length = self.sendable().min(ROWS_FRAME_BYTES);
        if length == 0 {
            return None;
        }
        if let Some(from) = &mut self.held_from {
            *from -= length;
        }
        Some(self.out.split_to(length).freeze())
    }

    /// Takes all that has not been sent.
    pub fn take_tail(&mut self) -> bytes::Bytes {
        self.out.split().freeze()
    }
}
