//! Reads bodies from the HTTP library into memory that is charged.

use crate::buffer::BodyBuffer;
use crate::ledger::{FREE_SIZE, MemoryLedger, NoMemory, SMALL_SIZE};
use bytes::Bytes;
use fennelscale_time::Later;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// Why a body was not read.
#[derive(Debug, Error)]
pub enum ReadError {
    /// It is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// There is no memory for it.
    #[error(transparent)]
    NoMemory(#[from] NoMemory),
    /// It ended early or is not well-formed.
    #[error("the body ended early")]
    Broken(#[source] hyper::Error),
}

/// Reads a body of at most `max_length` bytes; refuses it as soon as there is no memory for it.
///
/// # Errors
/// If the body cannot be read whole, or there is no memory for it.
pub async fn read_or_refuse(
    body: Incoming, max_length: usize, ledger: &Arc<MemoryLedger>,
) -> Result<Bytes, ReadError> {
    let stated = check_stated_length(&body, max_length)?;
    ledger.check(stated.unwrap_or_default())?;
    let buffer = BodyBuffer::new(ledger, stated.unwrap_or(max_length));
    Ok(fill(buffer, body, max_length).await?.into_bytes())
}

/// Reads a body of at most `max_length` bytes; waits for memory where there is none, `max_wait` in all, and tells by
/// `has_waited` that it does. The sender is not read from meanwhile. Memory for the whole body is reserved before more
/// than a little of it is read: bodies that each hold a part could wait for each other.
///
/// # Errors
/// If the body cannot be read whole, or there is no memory for it in time.
pub async fn read_when_free(
    mut body: Incoming, max_length: usize, ledger: &Arc<MemoryLedger>, max_wait: Duration,
    has_waited: &Cell<bool>,
) -> Result<Bytes, ReadError> {
    let stated = check_stated_length(&body, max_length)?;
    let longest = stated.unwrap_or_else(|| max_length.min(ledger.largest_reservation()));
    let mut buffer = BodyBuffer::new(ledger, longest);
    // A body without a stated length may be a short one, which shall not wait behind long ones.
    let mut reserved = stated.unwrap_or(FREE_SIZE);
    let mut deadline = None;
    let mut reserve = async |buffer: &mut BodyBuffer, length: usize| match buffer.reserve(length) {
        Err(NoMemory::InUse) => {
            has_waited.set(true);
            let deadline = *deadline.get_or_insert_with(|| Instant::now().later_by(max_wait));
            timeout_at(deadline, buffer.reserve_when_free(length)).await.unwrap_or(Err(NoMemory::InUse))
        }
        other => other,
    };
    reserve(&mut buffer, reserved).await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(ReadError::Broken)?;
        let Some(piece) = frame.data_ref() else { continue };
        let length = buffer.len() + piece.len();
        if length > max_length {
            return Err(ReadError::TooLong);
        }
        if length > reserved {
            reserved = if length <= SMALL_SIZE { SMALL_SIZE } else { longest };
            reserve(&mut buffer, reserved).await?;
        }
        buffer.append(piece)?;
    }
    Ok(buffer.into_bytes())
}

/// The length that a body states; an error if it is too long.
fn check_stated_length(body: &Incoming, max_length: usize) -> Result<Option<usize>, ReadError> {
    let hint = body.size_hint();
    if hint.lower() > max_length as u64 {
        return Err(ReadError::TooLong);
    }
    Ok(hint.exact().and_then(|length| usize::try_from(length).ok()))
}

async fn fill(
    mut buffer: BodyBuffer, mut body: Incoming, max_length: usize,
) -> Result<BodyBuffer, ReadError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(ReadError::Broken)?;
        let Some(piece) = frame.data_ref() else { continue };
        if buffer.len() + piece.len() > max_length {
            return Err(ReadError::TooLong);
        }
        buffer.append(piece)?;
    }
    Ok(buffer)
}
