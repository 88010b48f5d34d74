//! GET requests over HTTP/1.1, each on a connection of its own.

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Why there is no successful response.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum GetError {
    /// The path or the address make no valid request.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The connection failed, or what came is no HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The response has a status that is no success.
    #[error("status {0}")]
    Status(u16),
}

/// What the request says of its connection (RFC 9110, section 7.6.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOption {
    /// The host closes it after the response.
    Close,
    /// It stays open.
    KeepAlive,
}

impl ConnectionOption {
    fn header_value(self) -> &'static str {
        match self {
            ConnectionOption::Close => "close",
            ConnectionOption::KeepAlive => "keep-alive",
        }
    }
}

/// A successful response.
#[derive(Debug)]
pub struct GetResponse {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

/// A successful response whose body is still to be read.
#[derive(Debug)]
pub struct StreamedResponse {
    /// The response.
    pub response: Response<Incoming>,
    /// The task that drives the connection: dropping it closes the connection.
    pub connection: AbortOnDropHandle<()>,
}

/// Requests a path; none unless the response is successful and its body has at most `max_body_bytes`. Why there is none
/// is dropped on purpose: callers only count whether a host answered. The caller sets the time limit: dropping the
/// future closes the connection.
pub async fn get(addr: SocketAddr, path: &str, max_body_bytes: usize) -> Option<GetResponse> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let streamed = start_get(stream, addr, path, ConnectionOption::Close)
        .await
        .ok()?;
    let (head, body) = streamed.response.into_parts();
    let body = Limited::new(body, max_body_bytes).collect().await.ok()?;
    Some(GetResponse {
        headers: head.headers,
        body: body.to_bytes(),
    })
}

/// Requests a path on this connection, and gives the response once its head has arrived.
///
/// # Errors
///
/// The connection fails, what comes is no HTTP, or the status is no success.
pub async fn start_get(
    stream: TcpStream,
    addr: SocketAddr,
    path: &str,
    option: ConnectionOption,
) -> Result<StreamedResponse, GetError> {
    let (mut sender, connection) =
        http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await?;
    // How the connection ends shows in the response. One that ends as soon as the response is there has not failed.
    let connection = AbortOnDropHandle::new(tokio::spawn(async move { drop(connection.await) }));
    let request = Request::get(path)
        .header("host", addr.to_string())
        .header("connection", option.header_value())
        .body(Empty::new())?;
    let response = sender.send_request(request).await?;
    if !response.status().is_success() {
        return Err(GetError::Status(response.status().as_u16()));
    }
    Ok(StreamedResponse {
        response,
        connection,
    })
}
