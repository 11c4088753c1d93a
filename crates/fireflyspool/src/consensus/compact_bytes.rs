//! Bytes as a JSON string.
//!
//! Payloads are almost always JSON text, which is shorter as a string than as
//! an array of numbers or base64. Text is prefixed with `t`; other bytes are
//! written in hexadecimal and prefixed with `x`.

use std::fmt::Write as _;

use serde::Deserialize as _;
use serde::de::Error as _;

/// Writes bytes as a string.
pub(super) fn serialize<S: serde::Serializer>(
    bytes: &[u8],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let encoded = match std::str::from_utf8(bytes) {
        Ok(text) => format!("t{text}"),
        Err(_) => bytes.iter().fold("x".to_owned(), |mut hex, byte| {
            // Writing to a string cannot fail.
            let _ = write!(hex, "{byte:02x}");
            hex
        }),
    };
    serializer.serialize_str(&encoded)
}

/// Reads bytes from a string.
pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<u8>, D::Error> {
    let mut encoded = String::deserialize(deserializer)?;
    if encoded.starts_with('t') {
        encoded.remove(0);
        return Ok(encoded.into_bytes());
    }
    let hex = encoded.strip_prefix('x').unwrap_or_default();
    if hex.len() % 2 == 1 || !encoded.starts_with('x') {
        return Err(D::Error::custom("expected text or hexadecimal bytes"));
    }
    let digit = |digit: u8| char::from(digit).to_digit(16);
    let byte = |pair: &[u8]| u8::try_from(digit(pair[0])? * 16 + digit(pair[1])?).ok();
    let bytes: Option<Vec<u8>> = hex.as_bytes().chunks(2).map(byte).collect();
    bytes.ok_or_else(|| D::Error::custom("expected hexadecimal digits"))
}
