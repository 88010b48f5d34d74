//! Splits a line into commands and a command into words (management guide, 9.3: "commands are delimited by `;`", "a
//! backslash keeps the next character from being special").

/// Splits a line at each `;` that is not escaped by a backslash. Empty commands are skipped.
pub(crate) fn split_commands(line: &str) -> Vec<String> {
    let mut commands = vec![String::new()];
    let mut chars = line.chars();
    while let Some(c) = chars.next() {
        let last = commands.len() - 1;
        match c {
            ';' => commands.push(String::new()),
            '\\' => {
                commands[last].push(c);
                commands[last].extend(chars.next());
            }
            c => commands[last].push(c),
        }
    }
    commands.retain(|command| !command.trim().is_empty());
    commands
}

/// Splits a command at whitespace. A backslash takes the next character literally.
pub(crate) fn split_words(command: &str) -> Vec<String> {
    let mut words = Vec::new();
    let mut word: Option<String> = None;
    let mut chars = command.chars();
    while let Some(c) = chars.next() {
        match c {
            c if c.is_whitespace() => words.extend(word.take()),
            '\\' => word.get_or_insert_default().extend(chars.next()),
            c => word.get_or_insert_default().push(c),
        }
    }
    words.extend(word);
    words
}

/// Escapes each character that would end the word early, and each backslash.
pub(crate) fn escape(word: &str) -> String {
    let mut out = String::with_capacity(word.len());
    for c in word.chars() {
        if c.is_whitespace() || c == ';' || c == '\\' {
            out.push('\\');
        }
        out.push(c);
    }
    out
}
