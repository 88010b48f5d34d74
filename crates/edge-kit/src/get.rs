//! A GET over HTTP/1.1 on a connection of its own.

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// A good answer.
#[derive(Debug)]
pub struct Answer {
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Asks; none unless the answer is a good one of at most `most` bytes. The caller sets the time limit: dropping this
/// closes the connection.
pub async fn get(addr: SocketAddr, path: &str, most: usize) -> Option<Answer> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let (mut to_host, connection) =
        hyper::client::conn::http1::handshake::<_, Empty<Bytes>>(TokioIo::new(stream)).await.ok()?;
    let req = Request::get(path).header("host", addr.to_string()).header("connection", "close");
    let req = req.body(Empty::new()).ok()?;
    let asked = async {
        let (head, body) = to_host.send_request(req).await.ok()?.into_parts();
        let body = Limited::new(body, most).collect().await.ok()?.to_bytes();
        head.status.is_success().then_some(Answer { headers: head.headers, body })
    };
    // The connection lives as long as the answer is awaited, no longer. A host that closes with its answer ends the
    // connection in the same moment that the answer is there: that is no failure.
    tokio::pin!(asked);
    tokio::select! {
        answer = &mut asked => answer,
        _ = connection => asked.await,
    }
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
                let answer = format!("HTTP/1.1 200 OK\r\n{close}content-length: 4\r\nload: 5\r\n\r\nTEXT");
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
        assert!(get(addr, "/health", 3).await.is_none(), "longer than it may be");
        host.await.expect("all answered");
        assert!(get(addr, "/health", 1_000).await.is_none(), "nobody is there any more");
    }
}
