//! HTTP GET requests to a server on a loopback socket.

use pondarch_io_util::get;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Guards against treating a response with `connection: close` as a failure. Health checks of such hosts always failed,
/// so an ejected host returned only when its ejection time ran out.
#[tokio::test]
async fn response_that_closes_the_connection_is_successful() {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind to a loopback port");
    let addr = listener.local_addr().expect("listener address");
    let server = tokio::spawn(async move {
        for close in ["connection: close\r\n", "", ""] {
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            let mut request = [0; 1024];
            let length = stream.read(&mut request).await.expect("read the request");
            assert!(request[..length].starts_with(b"GET /health"));
            let response =
                format!("HTTP/1.1 200 OK\r\n{close}content-length: 4\r\nload: 5\r\n\r\nTEXT");
            stream
                .write_all(response.as_bytes())
                .await
                .expect("write the response");
        }
    });
    for _ in 0..2 {
        let response = get(addr, "/health", 1_000).await.expect("a response");
        assert_eq!(response.headers["load"], "5");
        assert_eq!(&response.body[..], b"TEXT");
    }
    assert!(
        get(addr, "/health", 3).await.is_none(),
        "a body above the size limit is refused"
    );
    server.await.expect("the server answered every request");
    assert!(
        get(addr, "/health", 1_000).await.is_none(),
        "the listener is closed"
    );
}
