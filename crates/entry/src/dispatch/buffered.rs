//! Reading of answers that are buffered whole, within a bound that all requests share.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::SemaphorePermit;

use crate::state::{EntryState, now};

/// Answers are buffered before they are forwarded, so that the request can be retried if its answer is
/// interrupted. A longer answer counts as interrupted.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1 << 20;
/// Size of the blocks for which large answers take permits. Any number of answers of up to one block is read at a time.
const ANSWER_BLOCK_BYTES: usize = 16 << 10;
/// Blocks of large answers that are buffered at a time, 16 MiB: about a sixteenth of the memory of a small VM.
pub const MAX_LARGE_ANSWER_BLOCKS: usize = 1_024;
/// Time in which a large answer completes a block while others wait; a link of 1 Mbit/s takes an eighth of a second.
const BLOCK_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for permits of a large answer; by then answers that are stalled have been dropped.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(3);

/// Reads a whole answer. Each block beyond the first takes a permit of a pool that all requests share, so that servers
/// that send bytes without end do not take all memory. While the pool is used up, an answer fails whose block is not
/// complete in time, because it keeps the permits that other answers wait for.
///
/// An answer that announces its length takes all its permits at once. One that took them block by block waited each time
/// behind answers that had been dropped and sent again.
pub(super) async fn read_buffered(state: &EntryState, mut body: Incoming) -> Result<Bytes, String> {
    let announced = body.size_hint().exact().unwrap_or_default() as usize;
    let mut buf = BytesMut::new();
    let mut permits: Option<SemaphorePermit<'_>> = None;
    let mut block_began = now();
    loop {
        let held = permits.as_ref().map_or(0, SemaphorePermit::num_permits);
        let frame = match tokio::time::timeout(BLOCK_TIMEOUT, body.frame()).await {
            Ok(None) => return Ok(buf.freeze()),
            Ok(Some(frame)) => Some(frame.map_err(|e| e.to_string())?),
            Err(_) => None,
        };
        let block_ms = now().since(block_began);
        if held > 0 && block_ms >= BLOCK_TIMEOUT.as_millis() as u64 && state.large_answers.available_permits() == 0 {
            return Err(format!("{block_ms} ms for a block of a large answer while others wait"));
        }
        let Some(bytes) = frame.and_then(|it| it.into_data().ok()) else {
            continue;
        };
        let size = buf.len() + bytes.len();
        if size > MAX_BUFFERED_ANSWER_BYTES {
            return Err(format!("answer larger than {MAX_BUFFERED_ANSWER_BYTES} bytes"));
        }
        let blocks = |bytes: usize| bytes.saturating_sub(1) / ANSWER_BLOCK_BYTES;
        if blocks(size) > held {
            let missing = blocks(size.max(announced.min(MAX_BUFFERED_ANSWER_BYTES))) - held;
            let acquiring = state.large_answers.acquire_many(missing as u32);
            let Ok(Ok(acquired)) = tokio::time::timeout(MAX_PERMIT_WAIT, acquiring).await else {
                return Err("too many large answers are being read".to_owned());
            };
            match &mut permits {
                Some(permits) => permits.merge(acquired),
                None => permits = Some(acquired),
            }
            block_began = now();
        }
        buf.extend_from_slice(&bytes);
    }
}
