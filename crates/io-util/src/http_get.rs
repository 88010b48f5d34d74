//! A GET over HTTP/1.1.

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

#[derive(Debug, Error)]
pub enum AskError {
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("status {0}")]
    Status(u16),
}

/// A good answer.
#[derive(Debug)]
pub struct Answer {
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Asks on a connection of its own; none unless the answer is a good one of at most `most` bytes. The caller sets the
/// time limit: dropping this closes the connection.
pub async fn get(addr: SocketAddr, path: &str, most: usize) -> Option<Answer> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (answer, _connection) = ask(stream, addr, path, "close").await.ok()?;
    let (head, body) = answer.into_parts();
    let body = Limited::new(body, most).collect().await.ok()?.to_bytes();
    Some(Answer {
        headers: head.headers,
        body,
    })
}

/// Asks there, and gives the head of a good answer, its body still to come, with the task that drives the connection:
/// it lives as long as that is held.
///
/// Errors: no HTTP, or another status.
pub async fn ask(
    stream: TcpStream,
    addr: SocketAddr,
    path: &str,
    connection: &str,
) -> Result<(Response<Incoming>, AbortOnDropHandle<()>), AskError> {
    let (mut to_host, driven) = http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await?;
    // How the connection ends shows in the answer. One that ends in the same moment that the answer is there is no failure.
    let driven = AbortOnDropHandle::new(tokio::spawn(async move { drop(driven.await) }));
    let req = Request::get(path)
        .header("host", addr.to_string())
        .header("connection", connection);
    let answer = to_host.send_request(req.body(Empty::new())?).await?;
    if !answer.status().is_success() {
        return Err(AskError::Status(answer.status().as_u16()));
    }
    Ok((answer, driven))
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    /// Such a probe failed each time, and a host that was kept away came back by the passing of time alone.
    #[tokio::test]
    async fn an_answer_that_closes_the_connection_counts() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address");
        let host = tokio::spawn(async move {
            for close in ["connection: close\r\n", "", ""] {
                let (mut stream, _) = listener.accept().await.expect("a probe");
                let mut asked = [0; 1024];
                let len = stream.read(&mut asked).await.expect("a request");
                assert!(asked[..len].starts_with(b"GET /health"));
                let answer =
                    format!("HTTP/1.1 200 OK\r\n{close}content-length: 4\r\nload: 5\r\n\r\nTEXT");
                stream.write_all(answer.as_bytes()).await.expect("written");
            }
        });
        for _ in 0..2 {
            let answer = get(addr, "/health", 1_000).await.expect("an answer");
            assert_eq!(
                (&answer.headers["load"], &answer.body[..]),
                (&"5".parse().expect("a value"), &b"TEXT"[..])
            );
        }
        assert!(
            get(addr, "/health", 3).await.is_none(),
            "longer than it may be"
        );
        host.await.expect("all answered");
        assert!(
            get(addr, "/health", 1_000).await.is_none(),
            "nobody is there any more"
        );
    }
}
