//! `pondarch ctl`: runtime commands to any socket that speaks the API, a steward's or a proxy's.

use crate::failed;
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

/// How long an answer is awaited.
const ANSWER_LIMIT: Duration = Duration::from_secs(10);

pub(crate) async fn ctl(socket: &Endpoint, command: &[String]) -> ExitCode {
    let stream = match Stream::connect(socket).await {
        Ok(stream) => stream,
        Err(wrong) => return failed(&format!("cannot reach {socket}: {wrong}")),
    };
    let mut wire = Framed::new(stream, ClientCodec::default());
    if let Err(wrong) = ask(
        &mut wire,
        &Command::Prompt(PromptMode::Interactive).to_string(),
    )
    .await
    {
        return failed(&format!("{socket}: {wrong}"));
    }
    let mut refused = false;
    if !command.is_empty() {
        return match ask(&mut wire, &command.join(" ")).await {
            Ok(answers) => ended(!print(&answers)),
            Err(wrong) => failed(&format!("{socket}: {wrong}")),
        };
    }
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let person = std::io::IsTerminal::is_terminal(&std::io::stdin());
    loop {
        if person {
            print!("> ");
            std::io::stdout().flush().ok();
        }
        let line = match lines.next_line().await {
            Ok(Some(line)) => line,
            Ok(None) => return ended(refused),
            Err(wrong) => return failed(&format!("standard input: {wrong}")),
        };
        if line.trim() == "quit" {
            return ended(refused);
        }
        match ask(&mut wire, &line).await {
            Ok(answers) => refused |= !print(&answers),
            Err(wrong) => return failed(&format!("{socket}: {wrong}")),
        }
    }
}

fn ended(refused: bool) -> ExitCode {
    if refused {
        ExitCode::from(1)
    } else {
        ExitCode::SUCCESS
    }
}

/// Sends a line; gives an answer for each command in it.
async fn ask(
    wire: &mut Framed<Stream, ClientCodec>,
    line: &str,
) -> Result<Vec<String>, CodecError> {
    let due = parse_line(line).len().max(1);
    wire.send(line.to_string()).await?;
    let mut answers = Vec::new();
    for _ in 0..due {
        let late = |_| CodecError::Io(std::io::ErrorKind::TimedOut.into());
        match timeout(ANSWER_LIMIT, wire.next()).await.map_err(late)? {
            Some(answer) => answers.push(answer?),
            None => return Err(CodecError::Io(std::io::ErrorKind::UnexpectedEof.into())),
        }
    }
    Ok(answers)
}

/// Prints the answers; gives whether none of them is a refusal. The protocol has no codes: what is known as one
/// by its words.
fn print(answers: &[String]) -> bool {
    const REFUSALS: [&str; 12] = [
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
    for answer in answers.iter().filter(|answer| !answer.is_empty()) {
        println!("{answer}");
    }
    !answers
        .iter()
        .any(|answer| REFUSALS.iter().any(|start| answer.starts_with(start)))
}
