//! HTTP/1.1 GET requests, each on its own connection.

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Why a request did not get a successful response.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum GetError {
    /// The path or the address does not form a valid request.
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The connection failed, or the response is not valid HTTP.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The response has a status code other than 2xx.
    #[error("status {0}")]
    Status(u16),
}

/// The `Connection` header of the request (RFC 9110, section 7.6.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOption {
    /// The server closes the connection after the response.
    Close,
    /// The connection stays open.
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
    /// The response headers.
    pub headers: HeaderMap,
    /// The complete response body.
    pub body: Bytes,
}

/// A successful response whose body has not been read yet.
#[derive(Debug)]
pub struct StreamedResponse {
    /// The response head and the unread body.
    pub response: Response<Incoming>,
    /// The task that drives the connection. Dropping it closes the connection.
    pub connection: AbortOnDropHandle<()>,
}

/// Requests a path; returns `None` unless the response is successful and its body has at most `max_body_bytes` bytes.
/// The error is not returned because callers only check whether a host answered. The caller applies a timeout by
/// dropping the future, which closes the connection.
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

/// Requests a path on the given connection and returns once the response head has arrived.
///
/// # Errors
///
/// The connection fails, the response is not valid HTTP, or its status code is not 2xx.
pub async fn start_get(
    stream: TcpStream,
    addr: SocketAddr,
    path: &str,
    option: ConnectionOption,
) -> Result<StreamedResponse, GetError> {
    let (mut sender, connection) =
        http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await?;
    // The connection's result is ignored: a failure also shows in the response, and a connection that closes right after
    // the response has not failed.
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
