//! Tests of the message boundaries in a stream that arrives in parts.

use persimmontack::decide::message_bounds;

/// Guards against an error that is written into the middle of a row. For any messages, split at any
/// place, the unfinished part is what follows the last complete message.
#[test]
fn the_unfinished_part_begins_at_the_last_whole_message() {
    arbtest::arbtest(|u| {
        let (mut stream, mut ends) = (Vec::new(), vec![0]);
        for _ in 0..u.int_in_range(0..=6)? {
            let body = vec![b'x'; u.int_in_range(0..=40)?];
            stream.push(b'D');
            stream.extend_from_slice(&u32::try_from(body.len() + 4).expect("short").to_be_bytes());
            stream.extend_from_slice(&body);
            ends.push(stream.len());
        }
        let mut bounds = message_bounds::MessageBounds::default();
        let mut taken = 0;
        while taken < stream.len() {
            let count = u.int_in_range(1..=stream.len() - taken)?;
            bounds.feed(&stream[taken..taken + count]);
            taken += count;
            let whole = ends
                .iter()
                .rfind(|end| **end <= taken)
                .expect("starts at 0");
            assert_eq!(bounds.unfinished(), taken - whole);
        }
        Ok(())
    });
}
