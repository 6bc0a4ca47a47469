//! Bodies that share the memory of the frame in which they came.

use std::cell::RefCell;
use std::fmt;

use bytes::Bytes;
use serde::de::{Deserializer, Error, Visitor};

use crate::policy::body_limit::SMALL_BODY_BYTES;

thread_local! {
    /// The frame that is being decoded.
    static FRAME: RefCell<Option<Bytes>> = const { RefCell::new(None) };
}

/// Runs `decode`, whose long bodies then share the memory of `frame`.
pub(crate) fn with_frame<T>(frame: &Bytes, decode: impl FnOnce() -> T) -> T {
    FRAME.set(Some(frame.clone()));
    let decoded = decode();
    FRAME.set(None);
    decoded
}

/// Decodes a body. Short ones are copied, as each would keep the memory of many messages.
pub(super) fn shared_body<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    deserializer.deserialize_bytes(BodyVisitor)
}

struct BodyVisitor;

impl<'de> Visitor<'de> for BodyVisitor {
    type Value = Bytes;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, body: &[u8]) -> Result<Bytes, E> {
        if body.len() <= SMALL_BODY_BYTES {
            return Ok(Bytes::copy_from_slice(body));
        }
        let shared = FRAME.with_borrow(|frame| {
            let frame = frame.as_ref()?;
            let frame_range = frame.as_ptr_range();
            let body_range = body.as_ptr_range();
            let is_inside =
                frame_range.start <= body_range.start && body_range.end <= frame_range.end;
            is_inside.then(|| frame.slice_ref(body))
        });
        Ok(shared.unwrap_or_else(|| Bytes::copy_from_slice(body)))
    }
}
