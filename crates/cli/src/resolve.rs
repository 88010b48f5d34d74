//! `pondarch resolve`: asks a DNS front like a client, over UDP first.

use crate::failed;
use futures_util::{SinkExt, StreamExt};
use pondarch_dns_server::client::{self, Answer};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// How long an answer may take.
const LIMIT: Duration = Duration::from_secs(2);

pub(crate) async fn resolve(server: SocketAddr, name: &str, of: &str, tcp: bool) -> ExitCode {
    let asked = asked(server, name, of, tcp).await;
    let answer = match asked {
        Ok(answer) => answer,
        Err(wrong) => return failed(&wrong),
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

async fn asked(server: SocketAddr, name: &str, of: &str, tcp: bool) -> Result<Answer, String> {
    let id = std::process::id() as u16;
    let packet = client::encode_query(id, name, of).map_err(|wrong| wrong.to_string())?;
    let no_answer = |_| format!("{server} did not answer within {} s", LIMIT.as_secs());
    if !tcp {
        let bytes = timeout(LIMIT, by_udp(server, &packet))
            .await
            .map_err(no_answer)??;
        let answer = client::decode_answer(id, &bytes).map_err(|wrong| wrong.to_string())?;
        if !answer.truncated {
            return Ok(answer);
        }
    }
    let bytes = timeout(LIMIT, by_tcp(server, &packet))
        .await
        .map_err(no_answer)??;
    client::decode_answer(id, &bytes).map_err(|wrong| wrong.to_string())
}

async fn by_udp(server: SocketAddr, packet: &[u8]) -> Result<Vec<u8>, String> {
    let failed = |wrong: std::io::Error| format!("{server}: {wrong}");
    let own = if server.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(own).await.map_err(failed)?;
    socket.connect(server).await.map_err(failed)?;
    socket.send(packet).await.map_err(failed)?;
    let mut bytes = vec![0; 4_096];
    let len = socket.recv(&mut bytes).await.map_err(failed)?;
    bytes.truncate(len);
    Ok(bytes)
}

async fn by_tcp(server: SocketAddr, packet: &[u8]) -> Result<Vec<u8>, String> {
    let failed = |wrong: std::io::Error| format!("{server}: {wrong}");
    let stream = TcpStream::connect(server).await.map_err(failed)?;
    let codec = LengthDelimitedCodec::builder()
        .length_field_type::<u16>()
        .new_codec();
    let mut wire = Framed::new(stream, codec);
    SinkExt::<&[u8]>::send(&mut wire, packet)
        .await
        .map_err(failed)?;
    match wire.next().await {
        Some(Ok(bytes)) => Ok(bytes.to_vec()),
        Some(Err(wrong)) => Err(failed(wrong)),
        None => Err(format!("{server} closed without an answer")),
    }
}
