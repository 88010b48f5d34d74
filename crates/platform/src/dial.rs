//! Dialling the relay and discovery, and reading the relay's lines.

use futures_util::StreamExt;
use pondarch_platform_protocol::relay::LINE_MOST;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, LinesCodec};

/// Within this a connection comes up, or it never does: all parties are near.
const DIAL_LIMIT: Duration = Duration::from_millis(400);
/// Between two tries to dial.
pub(crate) const DIAL_PAUSE: Duration = Duration::from_millis(100);

/// A connection, or why there is none.
pub(crate) async fn dial(to: SocketAddr) -> Result<TcpStream, String> {
    let dialled = timeout(DIAL_LIMIT, TcpStream::connect(to)).await;
    let stream = dialled
        .map_err(|_| "never came up".to_string())?
        .map_err(|wrong| wrong.to_string())?;
    stream.set_nodelay(true).ok();
    Ok(stream)
}

pub(crate) struct RelayLines<R>(FramedRead<R, LinesCodec>);

impl<R: AsyncRead + Unpin> RelayLines<R> {
    pub(crate) fn of(reading: R) -> RelayLines<R> {
        RelayLines(FramedRead::new(
            reading,
            LinesCodec::new_with_max_length(LINE_MOST),
        ))
    }

    /// The next line, or why there is none. Nothing is lost if this is dropped before it ends.
    pub(crate) async fn next(&mut self) -> Result<String, String> {
        match self.0.next().await {
            Some(line) => line.map_err(|wrong| wrong.to_string()),
            None => Err("closed by the relay".into()),
        }
    }
}
