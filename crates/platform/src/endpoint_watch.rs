//! The watch of the registry: fetches the complete endpoint list once from each address, then follows its changes.

use crate::dial::{DIAL_RETRY_DELAY, dial};
use crate::error::ConnectionError;
use crate::events::{UpstreamEvent, UpstreamEventSender};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use pondarch_io_util::{ConnectionOption, StreamedResponse, get, start_get};
use pondarch_platform_protocol::registry::{self, MAX_LIST_BYTES, RegistryList};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Maximum time without data. The registry sends an empty line every 2 s. A change counts as announced 6 s after it was
/// made, so a silent connection must be noticed well within that time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum time from a line's first byte to its end. Bytes that arrive one by one keep the connection from being
/// silent, and delayed the changes in an incomplete line for as long as they kept arriving. Together with the time to
/// reconnect, this limit is within the 6 s.
const LINE_TIMEOUT: Duration = Duration::from_millis(4_000);
const ENDPOINTS_PATH: &str = "/registry/instances";

/// The task that watches the endpoint list of one registry.
pub(crate) struct EndpointWatch {
    pub(crate) registry: SocketAddr,
    /// The generation of the known list from this address. If it is `None`, the complete list is fetched first, since a
    /// registry at a new address may number its lists differently.
    pub(crate) generation: Option<u64>,
    pub(crate) events: UpstreamEventSender,
}

impl EndpointWatch {
    /// Watches the registry, and reconnects when the connection ends.
    pub(crate) async fn run(mut self) {
        loop {
            let Err(error) = self.watch().await;
            self.events
                .send_unless_shutting_down(UpstreamEvent::EndpointWatchFailed(error))
                .await;
            sleep(DIAL_RETRY_DELAY).await;
        }
    }

    /// Watches the changes on one connection until it ends.
    async fn watch(&mut self) -> Result<Infallible, ConnectionError> {
        if self.generation.is_none() {
            self.fetch_complete_list().await?;
        }
        let path = format!(
            "{ENDPOINTS_PATH}?follow=1&since={}",
            self.generation.unwrap_or(0)
        );
        let request = async {
            let stream = dial(self.registry).await?;
            let response = start_get(stream, self.registry, &path, ConnectionOption::KeepAlive);
            Ok::<_, ConnectionError>(response.await?)
        };
        let StreamedResponse {
            response: answer,
            connection: _connection,
        } = timeout(ANSWER_TIMEOUT, request)
            .await
            .map_err(|_| ConnectionError::AnswerTimeout)??;
        let mut body = answer.into_body();
        let mut lines = LineBuffer::default();
        loop {
            while let Some(line) = lines.next_line() {
                self.apply_line(&line).await?;
            }
            lines.check_length()?;
            let frame = timeout_at(lines.deadline(), body.frame())
                .await
                .map_err(|_| ConnectionError::Silent)?
                .ok_or(ConnectionError::ClosedByRegistry)?
                .map_err(|error| ConnectionError::Body(error.into()))?;
            if let Ok(data) = frame.into_data() {
                lines.push(&data);
            }
        }
    }

    async fn fetch_complete_list(&mut self) -> Result<(), ConnectionError> {
        let answer = timeout(
            ANSWER_TIMEOUT,
            get(self.registry, ENDPOINTS_PATH, MAX_LIST_BYTES),
        )
        .await
        .ok()
        .flatten()
        .ok_or(ConnectionError::NoCompleteList)?;
        let mut list = registry::parse(&answer.body)?;
        list.complete = true;
        self.send_list(list).await;
        Ok(())
    }

    async fn apply_line(&mut self, line: &[u8]) -> Result<(), ConnectionError> {
        if line.iter().all(u8::is_ascii_whitespace) {
            return Ok(());
        }
        let list = registry::parse(line)?;
        let outdated = self.generation.is_some_and(|known| list.generation < known);
        if outdated && !list.complete {
            // The registry numbers its lists differently than before, or changes were missed. The complete list is
            // needed, since all further changes would be ignored as outdated.
            self.generation = None;
            return Err(ConnectionError::OutdatedChanges);
        }
        self.send_list(list).await;
        Ok(())
    }

    async fn send_list(&mut self, list: RegistryList) {
        self.generation = Some(list.generation);
        self.events
            .send_unless_shutting_down(UpstreamEvent::EndpointList(list))
            .await;
    }
}

/// Splits the bytes of a watch into lines.
#[derive(Default)]
struct LineBuffer {
    bytes: BytesMut,
    /// The number of bytes at the start of the buffer that are known to contain no line end.
    scanned: usize,
    /// When the first byte of an incomplete line arrived.
    line_started: Option<Instant>,
}

impl LineBuffer {
    fn push(&mut self, data: &Bytes) {
        self.bytes.extend_from_slice(data);
    }

    /// Takes the next complete line.
    fn next_line(&mut self) -> Option<BytesMut> {
        let line_end = self.bytes[self.scanned..]
            .iter()
            .position(|&byte| byte == b'\n');
        if let Some(offset) = line_end {
            let line = self.bytes.split_to(self.scanned + offset + 1);
            self.scanned = 0;
            self.line_started = None;
            return Some(line);
        }
        self.scanned = self.bytes.len();
        if self.bytes.is_empty() {
            self.line_started = None;
        } else {
            self.line_started.get_or_insert_with(Instant::now);
        }
        None
    }

    fn check_length(&self) -> Result<(), ConnectionError> {
        if self.bytes.len() > MAX_LIST_BYTES {
            return Err(ConnectionError::LineTooLong);
        }
        Ok(())
    }

    /// Returns the latest time at which the next bytes must arrive.
    fn deadline(&self) -> Instant {
        let silent = Instant::now() + SILENCE_TIMEOUT;
        self.line_started
            .map_or(silent, |started| silent.min(started + LINE_TIMEOUT))
    }
}
