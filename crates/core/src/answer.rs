//! Checks of answers that backend servers send.

use http::{HeaderMap, HeaderValue, StatusCode, header};

/// Whether the head of a final answer is one: its status is within the classes that HTTP defines, and it does not announce
/// a body that its status rules out. A 304 may state the length of the body that it leaves out.
pub fn is_final(status: StatusCode, headers: &HeaderMap) -> bool {
    let length = headers.get(header::CONTENT_LENGTH).map(HeaderValue::as_bytes);
    let has_body = match status {
        StatusCode::NO_CONTENT => {
            headers.contains_key(header::TRANSFER_ENCODING) || length.is_some_and(|it| it.trim_ascii() != b"0")
        }
        StatusCode::NOT_MODIFIED => headers.contains_key(header::TRANSFER_ENCODING),
        _ => false,
    };
    (200..600).contains(&status.as_u16()) && !has_body
}
