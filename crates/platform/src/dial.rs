//! Dialling the relay and the registry, and reading the relay's lines.

use crate::error::ConnectionError;
use futures_util::StreamExt;
use pondarch_platform_protocol::relay::MAX_LINE_BYTES;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, LinesCodec};

/// A connection is established within this time or never: all upstreams are near.
const DIAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Between two attempts to dial.
pub(crate) const DIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Dials an upstream.
pub(crate) async fn dial(address: SocketAddr) -> Result<TcpStream, ConnectionError> {
    let stream = timeout(DIAL_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectionError::DialTimeout)??;
    disable_nagle(&stream);
    Ok(stream)
}

/// Sends small messages at once. Where the system can't, they are only late, so an error is dropped.
pub(crate) fn disable_nagle(stream: &TcpStream) {
    stream.set_nodelay(true).ok();
}

/// The lines that the relay writes on one connection.
pub(crate) struct RelayLines<R>(FramedRead<R, LinesCodec>);

impl<R: AsyncRead + Unpin> RelayLines<R> {
    pub(crate) fn new(reader: R) -> RelayLines<R> {
        RelayLines(FramedRead::new(
            reader,
            LinesCodec::new_with_max_length(MAX_LINE_BYTES),
        ))
    }

    /// The next line. Nothing is lost if this is dropped before it ends.
    pub(crate) async fn next(&mut self) -> Result<String, ConnectionError> {
        match self.0.next().await {
            Some(line) => Ok(line?),
            None => Err(ConnectionError::ClosedByRelay),
        }
    }
}
