//! Framing of the senders' messages with limits on memory: a sender that has not identified itself may send a small
//! message only, and large messages that are incomplete share one budget.

use bytes::BytesMut;
use pondarch_load_report_protocol::{Codec, CodecError, ToController, ToSender};
use std::sync::Arc;
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::codec::{Decoder, Encoder};

/// Maximum size of a message from a sender that has not identified itself, in bytes.
const MAX_UNIDENTIFIED_BYTES: usize = 4 * 1024;
/// Size up to which a message needs no part of the budget, in bytes.
const MAX_SMALL_BYTES: usize = 16 * 1024;
/// Budget of all incomplete large messages together, in units.
const BUDGET_UNITS: usize = 2 * 1024;
const BYTES_PER_UNIT: usize = 16 * 1024;
/// Size of the length before each message, in bytes.
const LENGTH_BYTES: usize = 4;

/// Why a sender's messages can be read no further.
#[derive(Debug, Error)]
pub(crate) enum SenderError {
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error("a message of {0} bytes from a sender that has not identified itself")]
    NotIdentified(usize),
    /// The sender may connect again and send a later report, as its counters are totals.
    #[error("no memory for a message of {0} bytes: too many others are incomplete")]
    NoMemory(usize),
}

impl From<std::io::Error> for SenderError {
    fn from(error: std::io::Error) -> SenderError {
        SenderError::Codec(error.into())
    }
}

/// The budget that the codecs of all senders share.
pub(crate) fn message_budget() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(BUDGET_UNITS))
}

/// Reads the messages of one sender and writes those to it.
pub(crate) struct SenderCodec {
    inner: Codec<ToController, ToSender>,
    budget: Arc<Semaphore>,
    identified: bool,
    /// Whether the length of a message has been read, but not the whole message.
    incomplete: bool,
    /// The part of the budget that the incomplete message has.
    reserved: Option<OwnedSemaphorePermit>,
}

impl SenderCodec {
    pub(crate) fn new(budget: Arc<Semaphore>) -> SenderCodec {
        SenderCodec {
            inner: Codec::default(),
            budget,
            identified: false,
            incomplete: false,
            reserved: None,
        }
    }

    /// Allows large messages.
    pub(crate) fn set_identified(&mut self) {
        self.identified = true;
    }

    /// Returns whether a part of a message has been read.
    pub(crate) fn is_incomplete(&self) -> bool {
        self.incomplete
    }

    /// Checks the limits for a message of which the first bytes have been read, and reserves its part of the budget.
    fn begin_message(&mut self, bytes: &[u8]) -> Result<(), SenderError> {
        let Some(length) = bytes.first_chunk::<LENGTH_BYTES>() else {
            return Ok(());
        };
        let length = u32::from_be_bytes(*length) as usize;
        if !self.identified && length > MAX_UNIDENTIFIED_BYTES {
            return Err(SenderError::NotIdentified(length));
        }
        self.incomplete = true;
        if length > MAX_SMALL_BYTES {
            let units = u32::try_from(length.div_ceil(BYTES_PER_UNIT)).unwrap_or(u32::MAX);
            let reserved = self.budget.clone().try_acquire_many_owned(units);
            self.reserved = Some(reserved.map_err(|_| SenderError::NoMemory(length))?);
        }
        Ok(())
    }
}

impl Decoder for SenderCodec {
    type Item = ToController;
    type Error = SenderError;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<ToController>, SenderError> {
        if !self.incomplete {
            self.begin_message(bytes)?;
        }
        let message = self.inner.decode(bytes)?;
        if message.is_some() {
            self.incomplete = false;
            self.reserved = None;
        }
        Ok(message)
    }
}

impl Encoder<&ToSender> for SenderCodec {
    type Error = SenderError;

    fn encode(&mut self, message: &ToSender, bytes: &mut BytesMut) -> Result<(), SenderError> {
        Ok(self.inner.encode(message, bytes)?)
    }
}
