//! How a line falls into commands, and a command into words (management guide, 9.3: "commands are delimited by
//! `;`", "a backslash keeps the next character from being special").

/// Cuts a line at each `;` that no backslash guards. Empty parts are passed over.
pub(crate) fn commands(line: &str) -> Vec<String> {
    let mut parts = vec![String::new()];
    let mut chars = line.chars();
    while let Some(c) = chars.next() {
        let last = parts.len() - 1;
        match c {
            ';' => parts.push(String::new()),
            '\\' => {
                parts[last].push(c);
                parts[last].extend(chars.next());
            }
            c => parts[last].push(c),
        }
    }
    parts.retain(|part| !part.trim().is_empty());
    parts
}

/// Words between blanks; a backslash takes the next character as it is.
pub(crate) fn words(command: &str) -> Vec<String> {
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

/// The same word, with a backslash before whatever would end it early.
pub(crate) fn guarded(word: &str) -> String {
    let mut out = String::with_capacity(word.len());
    for c in word.chars() {
        if c.is_whitespace() || c == ';' || c == '\\' {
            out.push('\\');
        }
        out.push(c);
    }
    out
}
