//! `pondarch ctl`: sends commands to the runtime API of a daemon or a proxy.

use crate::report_error;
use futures_util::{SinkExt, StreamExt};
use pondarch_config::Endpoint;
use pondarch_runtime_api::command::{PromptMode, parse_line};
use pondarch_runtime_api::{ClientCodec, CodecError, Command};
use pondarch_transport::Stream;
use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Time limit for each response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends one command, or the lines of standard input, and prints the responses.
pub(crate) async fn ctl(socket: &Endpoint, command: &[String]) -> ExitCode {
    let stream = match Stream::connect(socket).await {
        Ok(stream) => stream,
        Err(error) => return report_error(&format!("cannot reach {socket}: {error}")),
    };
    let mut framed = Framed::new(stream, ClientCodec::default());
    if let Err(error) = send_line(
        &mut framed,
        &Command::Prompt(PromptMode::Interactive).to_string(),
    )
    .await
    {
        return report_error(&format!("{socket}: {error}"));
    }
    let mut rejected = false;
    if !command.is_empty() {
        return match send_line(&mut framed, &command.join(" ")).await {
            Ok(responses) => exit_code(!print_responses(&responses)),
            Err(error) => report_error(&format!("{socket}: {error}")),
        };
    }
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let is_terminal = std::io::IsTerminal::is_terminal(&std::io::stdin());
    loop {
        if is_terminal {
            print!("> ");
            std::io::stdout().flush().ok();
        }
        let line = match lines.next_line().await {
            Ok(Some(line)) => line,
            Ok(None) => return exit_code(rejected),
            Err(error) => return report_error(&format!("standard input: {error}")),
        };
        if line.trim() == "quit" {
            return exit_code(rejected);
        }
        match send_line(&mut framed, &line).await {
            Ok(responses) => rejected |= !print_responses(&responses),
            Err(error) => return report_error(&format!("{socket}: {error}")),
        }
    }
}

fn exit_code(rejected: bool) -> ExitCode {
    if rejected {
        ExitCode::from(1)
    } else {
        ExitCode::SUCCESS
    }
}

/// Sends a line; returns a response for each command in it.
async fn send_line(
    framed: &mut Framed<Stream, ClientCodec>,
    line: &str,
) -> Result<Vec<String>, CodecError> {
    let expected = parse_line(line).len().max(1);
    framed.send(line.to_string()).await?;
    let mut responses = Vec::new();
    for _ in 0..expected {
        let timed_out = |_| CodecError::Io(std::io::ErrorKind::TimedOut.into());
        match timeout(RESPONSE_TIMEOUT, framed.next())
            .await
            .map_err(timed_out)?
        {
            Some(response) => responses.push(response?),
            None => return Err(CodecError::Io(std::io::ErrorKind::UnexpectedEof.into())),
        }
    }
    Ok(responses)
}

/// Prints the responses; returns whether none of them rejects its command. The protocol has no status codes, so that a
/// rejection is recognized by the start of its text.
fn print_responses(responses: &[String]) -> bool {
    const REJECTIONS: [&str; 12] = [
        "Unknown ",
        "Permission denied",
        "No such",
        "Malformed",
        "Require ",
        "Can't find",
        "Already exists",
        "Only servers",
        "entry not found",
        "A listed weight",
        "Tables are",
        "'",
    ];
    for response in responses.iter().filter(|response| !response.is_empty()) {
        println!("{response}");
    }
    !responses
        .iter()
        .any(|response| REJECTIONS.iter().any(|start| response.starts_with(start)))
}
