//! Inspects the PostgreSQL messages of an answer.

/// Returns whether an answer contains exactly one ErrorResponse and no rows or completed commands.
pub fn is_error_only(parts: [&[u8]; 2]) -> bool {
    let bytes = parts.concat();
    let mut rest = bytes.as_slice();
    let mut errors = 0;
    while let Some((tag, after)) = rest.split_first() {
        match tag {
            b'E' => errors += 1,
            // ParseComplete, BindComplete, descriptions, notices, parameters, ReadyForQuery.
            b'1' | b'2' | b't' | b'T' | b'n' | b'N' | b'S' | b'Z' => {}
            _ => return false,
        }
        let Some(prefix) = after.first_chunk::<4>() else {
            return false;
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        let Some(next) = after.get(length..) else {
            return false;
        };
        rest = next;
    }
    errors == 1
}
