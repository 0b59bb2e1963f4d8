//! Encodes and decodes values, rows and column descriptions in the wire format.

use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages::data;

use crate::instance::db_error;
use crate::instance::statement;

/// Decodes a parameter value into text.
///
/// # Errors
///
/// Fails with 22P03 if the bytes are not valid for the type.
pub fn decode_value(bytes: &[u8], format: i16, oid: u32) -> Result<String, db_error::DbError> {
    let invalid =
        || db_error::DbError::new("22P03", format!("parameter of type {oid} is not valid"));
    if format == data::FORMAT_CODE_BINARY {
        let number = match (oid, bytes.len()) {
            (wire_type::INT8, 8) => bytes
                .try_into()
                .ok()
                .map(|raw| i64::from_be_bytes(raw).to_string()),
            (wire_type::INT4, 4) => bytes
                .try_into()
                .ok()
                .map(|raw| i32::from_be_bytes(raw).to_string()),
            (wire_type::FLOAT8, 8) => bytes
                .try_into()
                .ok()
                .map(|raw| f64::from_be_bytes(raw).to_string()),
            (wire_type::INT8 | wire_type::INT4 | wire_type::FLOAT8, _) => return Err(invalid()),
            _ => None,
        };
        if let Some(number) = number {
            return Ok(number);
        }
    }
    String::from_utf8(bytes.to_vec()).map_err(|_not_text| invalid())
}

/// Returns the format code of one column or parameter. A single code applies to all of them.
#[must_use]
pub fn format_at(formats: &[i16], index: usize) -> i16 {
    match formats {
        [] => data::FORMAT_CODE_TEXT,
        [all] => *all,
        each => each.get(index).copied().unwrap_or_default(),
    }
}

/// Returns the row description of columns.
#[must_use]
pub fn row_description(columns: &[statement::RowColumn], formats: &[i16]) -> data::RowDescription {
    let fields = columns.iter().enumerate().map(|(index, column)| {
        let (oid, size) = match column.kind {
            statement::ColumnKind::Text => (wire_type::TEXT, -1),
            statement::ColumnKind::Int4 => (wire_type::INT4, 4),
            statement::ColumnKind::Int8 => (wire_type::INT8, 8),
            statement::ColumnKind::Void => (wire_type::VOID, 4),
        };
        let format = format_at(formats, index);
        data::FieldDescription::new(column.name.clone(), 0, 0, oid, size, -1, format)
    });
    data::RowDescription::new(fields.collect())
}

/// Encodes one row.
#[must_use]
pub fn data_row(
    columns: &[statement::RowColumn],
    formats: &[i16],
    row: &[String],
) -> data::DataRow {
    let mut body = BytesMut::new();
    for (index, (column, value)) in columns.iter().zip(row).enumerate() {
        let binary = format_at(formats, index) == data::FORMAT_CODE_BINARY;
        match column.kind {
            statement::ColumnKind::Int4 if binary => {
                body.put_i32(4);
                body.put_i32(value.parse().unwrap_or_default());
            }
            statement::ColumnKind::Int8 if binary => {
                body.put_i32(8);
                body.put_i64(value.parse().unwrap_or_default());
            }
            _ => {
                body.put_i32(i32::try_from(value.len()).unwrap_or(i32::MAX));
                body.put_slice(value.as_bytes());
            }
        }
    }
    data::DataRow::new(body, i16::try_from(columns.len()).unwrap_or(i16::MAX))
}

/// Encodes one row in the text format of COPY.
#[must_use]
pub fn copy_line(row: &[String]) -> Bytes {
    let escaped: Vec<String> = row
        .iter()
        .map(|value| {
            value
                .replace('\\', "\\\\")
                .replace('\t', "\\t")
                .replace('\n', "\\n")
        })
        .collect();
    Bytes::from(escaped.join("\t") + "\n")
}

/// Object ids of the types on the wire.
pub mod wire_type {
    /// `int8`
    pub const INT8: u32 = 20;
    /// `int4`
    pub const INT4: u32 = 23;
    /// `text`
    pub const TEXT: u32 = 25;
    /// `float8`
    pub const FLOAT8: u32 = 701;
    /// `void`
    pub const VOID: u32 = 2278;
}
