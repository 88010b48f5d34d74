//! Connects to the relay and the registry, and reads the relay's lines.

use crate::error::ConnectionError;
use futures_util::StreamExt;
use pondarch_platform_protocol::relay::MAX_LINE_BYTES;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, LinesCodec};

/// Maximum time to establish a connection. All upstreams are close by, so a connection that takes longer is not
/// established at all.
const DIAL_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay between two attempts to connect.
pub(crate) const DIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connects to an upstream.
pub(crate) async fn dial(address: SocketAddr) -> Result<TcpStream, ConnectionError> {
    let stream = timeout(DIAL_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| ConnectionError::DialTimeout)??;
    disable_nagle(&stream);
    Ok(stream)
}

/// Disables Nagle's algorithm, so that small messages are sent at once. An error is ignored, since without this the
/// messages are only delayed.
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

    /// Returns the next line. This is cancel-safe: no data is lost if the future is dropped.
    pub(crate) async fn next(&mut self) -> Result<String, ConnectionError> {
        match self.0.next().await {
            Some(line) => Ok(line?),
            None => Err(ConnectionError::ClosedByRelay),
        }
    }
}
