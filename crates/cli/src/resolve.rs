//! `pondarch resolve`: queries a DNS server over UDP, and over TCP if the response was truncated.

use crate::report_error;
use futures_util::{SinkExt, StreamExt};
use pondarch_dns_server::client::{self, Answer};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time limit for each response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the query and prints its records.
pub(crate) async fn resolve(
    server: SocketAddr,
    name: &str,
    record_type: &str,
    tcp: bool,
) -> ExitCode {
    let answer = match query(server, name, record_type, tcp).await {
        Ok(answer) => answer,
        Err(error) => return report_error(&error),
    };
    for line in &answer.answers {
        println!("{line}");
    }
    for line in &answer.other_records {
        println!("; {line}");
    }
    if answer.is_success {
        return ExitCode::SUCCESS;
    }
    eprintln!("pondarch: {name}: {}", answer.code);
    ExitCode::from(1)
}

async fn query(
    server: SocketAddr,
    name: &str,
    record_type: &str,
    tcp: bool,
) -> Result<Answer, String> {
    let id = std::process::id() as u16;
    let packet = client::encode_query(id, name, record_type).map_err(|error| error.to_string())?;
    let timed_out = |_| {
        format!(
            "{server} did not answer within {} s",
            RESPONSE_TIMEOUT.as_secs()
        )
    };
    if !tcp {
        let bytes = timeout(RESPONSE_TIMEOUT, query_udp(server, &packet))
            .await
            .map_err(timed_out)??;
        let answer = client::decode_answer(id, &bytes).map_err(|error| error.to_string())?;
        if !answer.truncated {
            return Ok(answer);
        }
    }
    let bytes = timeout(RESPONSE_TIMEOUT, query_tcp(server, &packet))
        .await
        .map_err(timed_out)??;
    client::decode_answer(id, &bytes).map_err(|error| error.to_string())
}

async fn query_udp(server: SocketAddr, packet: &[u8]) -> Result<Vec<u8>, String> {
    let io_error = |error: std::io::Error| format!("{server}: {error}");
    let local_address = if server.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local_address).await.map_err(io_error)?;
    socket.connect(server).await.map_err(io_error)?;
    socket.send(packet).await.map_err(io_error)?;
    let mut bytes = vec![0; 4_096];
    let len = socket.recv(&mut bytes).await.map_err(io_error)?;
    bytes.truncate(len);
    Ok(bytes)
}

async fn query_tcp(server: SocketAddr, packet: &[u8]) -> Result<Vec<u8>, String> {
    let io_error = |error: std::io::Error| format!("{server}: {error}");
    let stream = TcpStream::connect(server).await.map_err(io_error)?;
    let codec = LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .new_codec();
    let mut framed = Framed::new(stream, codec);
    SinkExt::<&[u8]>::send(&mut framed, packet)
        .await
        .map_err(io_error)?;
    match framed.next().await {
        Some(Ok(bytes)) => Ok(bytes.to_vec()),
        Some(Err(error)) => Err(io_error(error)),
        None => Err(format!("{server} closed the connection without a response")),
    }
}
