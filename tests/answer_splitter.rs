//! Splits upstreams' answers that arrive in pieces of any length.

use std::sync;
use std::time;

use arbtest::arbitrary;
use persimmontack::dial;
use persimmontack::link::work_reply;
use persimmontack::model::log_position;
use persimmontack::pool::{answer_splitter, pool_settings, postgres_edge};

fn edge() -> sync::Arc<postgres_edge::PostgresEdge> {
    let dialer = dial::TcpDialer {
        source: None,
        timeout: time::Duration::from_secs(1),
    };
    let account = pool_settings::UpstreamAccount {
        user: "pool".to_owned(),
        password: "secret".to_owned(),
    };
    sync::Arc::new(postgres_edge::PostgresEdge::new(dialer, account))
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).expect("length");
    let mut bytes = vec![tag];
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Feeds an answer in random pieces and returns the frames of rows and the splitter.
fn split(
    source: &mut arbitrary::Unstructured<'_>,
    answer: &[u8],
    mut splitter: answer_splitter::AnswerSplitter,
) -> arbitrary::Result<(Vec<bytes::Bytes>, answer_splitter::AnswerSplitter)> {
    let edge = edge();
    let mut buffer = bytes::BytesMut::new();
    let mut rows = Vec::new();
    let mut rest = answer;
    while splitter.status.is_none() {
        if splitter.has_full_frame() {
            rows.extend(splitter.take_rows());
        } else {
            assert!(!rest.is_empty(), "the answer ended without a ReadyForQuery");
            let length = source.int_in_range(1..=rest.len())?;
            let (part, left) = rest.split_at(length);
            buffer.extend_from_slice(part);
            rest = left;
        }
        splitter
            .consume(&mut buffer, edge.as_ref())
            .expect("valid answer");
    }
    Ok((rows, splitter))
}

/// Guards against bytes that are lost, duplicated or reordered when a message arrives in several
/// pieces, and against frames above the size limit.
#[test]
fn rows_pass_through_unchanged() {
    arbtest::arbtest(|source| {
        let mut answer = message(b'T', b"description");
        for _ in 0..source.int_in_range(0..=5)? {
            let length = source.int_in_range(0..=100_000)?;
            answer.extend(message(b'D', &vec![b'x'; length]));
        }
        answer.extend(message(b'C', b"SELECT 5\0"));
        answer.extend(message(b'Z', b"I"));
        let splitter = answer_splitter::AnswerSplitter::new(Vec::new(), false);
        let (rows, mut splitter) = split(source, &answer, splitter)?;
        let limit = answer_splitter::ROWS_FRAME_BYTES;
        assert!(rows.iter().all(|frame| frame.len() <= limit));
        let mut passed = rows.concat();
        passed.extend_from_slice(&splitter.take_tail());
        assert!(passed == answer, "the answer was changed");
        assert_eq!(splitter.status, Some(work_reply::TransactionStatus::Idle));
        assert!(!splitter.tainted);
        Ok(())
    });
}

/// Guards against a commit whose completion is sent to the client before a second upstream holds
/// it, and against a position report or a hidden ParseComplete that is passed on to the client.
#[test]
fn a_held_completion_stays_in_the_tail() {
    arbtest::arbtest(|source| {
        let rows_before = message(b'D', &vec![b'x'; source.int_in_range(0..=100_000)?]);
        let completion = [
            message(b'C', b"INSERT 0 1\0"),
            message(b'E', b"SERROR\0C23505\0Mduplicate\0\0"),
            message(b'Z', b"T"),
        ]
        .concat();
        let answer = [
            message(b'1', b""),
            message(b'1', b""),
            message(b'2', b""),
            rows_before.clone(),
            message(b'S', b"group.position\x003/17\0"),
            completion.clone(),
        ]
        .concat();
        let splitter = answer_splitter::AnswerSplitter::new(vec![0], true);
        let (rows, mut splitter) = split(source, &answer, splitter)?;
        let tail = splitter.take_tail();
        assert!(tail.ends_with(&completion), "completion was sent early");
        let mut passed = rows.concat();
        passed.extend_from_slice(&tail);
        let expected = [
            message(b'1', b""),
            message(b'2', b""),
            rows_before,
            completion,
        ]
        .concat();
        assert!(passed == expected, "the answer was changed");
        let position = log_position::LogPosition::new(3, 17);
        assert_eq!(splitter.position, Some(position));
        assert_eq!(splitter.sql_state.as_deref(), Some("23505"));
        assert_eq!(splitter.status, Some(work_reply::TransactionStatus::Open));
        assert!(!splitter.tainted);
        Ok(())
    });
}

/// Guards against session state that another client's unit would see, because the connection is
/// reused.
#[test]
fn a_changed_session_parameter_taints_the_connection() {
    let answer = [
        message(b'S', b"search_path\0other\0"),
        message(b'C', b"SET\0"),
        message(b'Z', b"I"),
    ]
    .concat();
    let mut splitter = answer_splitter::AnswerSplitter::new(Vec::new(), false);
    let mut buffer = bytes::BytesMut::from(answer.as_slice());
    splitter
        .consume(&mut buffer, edge().as_ref())
        .expect("valid answer");
    assert!(splitter.tainted);
}

/// Guards against unbounded memory use by an answer that is held back.
#[test]
fn a_held_completion_above_the_limit_breaks_the_batch() {
    let row = message(b'D', &vec![b'x'; answer_splitter::MAX_HELD_BYTES]);
    let answer = [message(b'C', b"INSERT 0 1\0"), row].concat();
    let mut splitter = answer_splitter::AnswerSplitter::new(Vec::new(), true);
    let mut buffer = bytes::BytesMut::from(answer.as_slice());
    let error = splitter
        .consume(&mut buffer, edge().as_ref())
        .expect_err("too long");
    assert!(error.contains("exceeds"), "{error}");
}
