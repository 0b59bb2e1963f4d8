//! [`AnswerSplitter`]: splits an upstream's answer into the bytes for the entry and the facts that
//! the pool needs.

use crate::link::work_reply;
use crate::model::{log_position, sql_state};
use crate::pool::{postgres_edge, upstream_connection, upstream_edge};

/// Size limit of a frame of rows in bytes.
pub const ROWS_FRAME_BYTES: usize = 32 * 1024;
/// Size limit in bytes of the part of an answer that is held back from its first completion on.
pub const MAX_HELD_BYTES: usize = 1024 * 1024;

/// Splits an upstream's answer by message type and length, without decoding rows. Messages that are
/// passed through may be longer than the buffer; those that are decoded are buffered whole.
#[derive(Debug)]
pub struct AnswerSplitter {
    hidden_parses: Vec<u16>,
    hold_completion: bool,
    /// Number of ParseComplete messages so far.
    parses: u16,
    /// Bytes left of the message that is being passed through.
    passthrough_left: usize,
    /// Bytes for the entry that have not been sent.
    out: bytes::BytesMut,
    /// Length of the part of `out` that may be sent before the answer is complete, once a
    /// completion is held back.
    held_from: Option<usize>,
    /// Transaction state of the connection, once the answer is complete.
    pub status: Option<work_reply::TransactionStatus>,
    /// Log position of a commit in this answer.
    pub position: Option<log_position::LogPosition>,
    /// SQLSTATE of the last error.
    pub sql_state: Option<String>,
    /// True if the answer reported a change of session state.
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
            passthrough_left: 0,
            out: bytes::BytesMut::new(),
            held_from: None,
            status: None,
            position: None,
            sql_state: None,
            tainted: false,
        }
    }

    /// Consumes bytes from `buffer` until the answer is complete, a frame is full, or `buffer` ends
    /// within a message that has to be decoded.
    ///
    /// # Errors
    ///
    /// Fails if the answer is malformed, has an unexpected message, or exceeds a size limit.
    pub fn consume(
        &mut self,
        buffer: &mut bytes::BytesMut,
        edge: &dyn upstream_edge::UpstreamEdge,
    ) -> Result<(), String> {
        while self.status.is_none() && !self.has_full_frame() {
            if self.passthrough_left > 0 {
                let part = self
                    .passthrough_left
                    .min(buffer.len())
                    .min(ROWS_FRAME_BYTES);
                if part == 0 {
                    return Ok(());
                }
                self.out.extend_from_slice(&buffer.split_to(part));
                self.passthrough_left -= part;
                self.check_held_size()?;
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
                self.passthrough_left = whole;
                continue;
            }
            if whole > upstream_connection::MAX_WHOLE_MESSAGE_BYTES {
                return Err(format!("message {:?} of {length} bytes", char::from(tag)));
            }
            if buffer.len() < whole {
                return Ok(());
            }
            let message = buffer.split_to(whole);
            self.process_message(tag, &message, edge)?;
            self.check_held_size()?;
        }
        Ok(())
    }

    /// Decodes one message and appends it to the output, unless it is meant for the pool only.
    fn process_message(
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

    /// Checks the size of the part that is held back.
    fn check_held_size(&self) -> Result<(), String> {
        match self.held_from {
            Some(from) if self.out.len() - from > MAX_HELD_BYTES => Err(format!(
                "answer after the first completion exceeds {MAX_HELD_BYTES} bytes"
            )),
            _ => Ok(()),
        }
    }

    /// Returns whether a full frame of rows can be sent.
    #[must_use]
    pub fn has_full_frame(&self) -> bool {
        self.sendable() >= ROWS_FRAME_BYTES
    }

    /// Returns the number of bytes that may be sent before the answer is complete.
    #[must_use]
    pub fn sendable(&self) -> usize {
        self.held_from.unwrap_or(self.out.len())
    }

    /// Takes a frame of rows, if there are bytes that may be sent.
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

    /// Takes all bytes that have not been sent, including the part that is held back.
    pub fn take_tail(&mut self) -> bytes::Bytes {
        self.out.split().freeze()
    }
}
