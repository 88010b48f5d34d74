//! GET requests to a host on a loopback socket.

use pondarch_io_util::get;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Such a health check once failed each time, and an ejected host came back by the passing of time alone.
#[tokio::test]
async fn a_response_that_closes_the_connection_counts() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let host = tokio::spawn(async move {
        for close in ["connection: close\r\n", "", ""] {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut request = [0; 1024];
            let length = stream.read(&mut request).await.expect("a request");
            assert!(request[..length].starts_with(b"GET /health"));
            let response =
                format!("HTTP/1.1 200 OK\r\n{close}content-length: 4\r\nload: 5\r\n\r\nTEXT");
            stream
                .write_all(response.as_bytes())
                .await
                .expect("written");
        }
    });
    for _ in 0..2 {
        let response = get(addr, "/health", 1_000).await.expect("a response");
        assert_eq!(response.headers["load"], "5");
        assert_eq!(&response.body[..], b"TEXT");
    }
    assert!(
        get(addr, "/health", 3).await.is_none(),
        "longer than it may be"
    );
    host.await.expect("all answered");
    assert!(
        get(addr, "/health", 1_000).await.is_none(),
        "nobody listens any more"
    );
}
