//! The answers to the commands of one line, with a limit on their size: a short line may ask for the same long answer many
//! times.

use crate::command::{Command, CommandError, parse_line};

/// Size of the answers to one line, in bytes, after which its other commands are not carried out.
const MAX_ANSWERS_BYTES: usize = 1024 * 1024;
/// The answer to a command that is not carried out.
const NOT_CARRIED_OUT: &str =
    "Not carried out: the answers to this line are too long, use several lines.\n";

/// Returns one answer for each command of a line, where `answer` carries out a command; an empty one for an empty line.
pub fn answer_line(
    line: &str,
    mut answer: impl FnMut(Result<Command, CommandError>) -> String,
) -> Vec<String> {
    let commands = parse_line(line);
    if commands.is_empty() {
        return vec![String::new()];
    }
    let mut bytes = 0;
    let mut answers = Vec::with_capacity(commands.len());
    for command in commands {
        if bytes > MAX_ANSWERS_BYTES {
            answers.push(NOT_CARRIED_OUT.to_string());
            continue;
        }
        let text = answer(command);
        bytes += text.len();
        answers.push(text);
    }
    answers
}
