//! Reads the parts of a JSON text that the store has to know, and leaves the rest as text.

/// Names and raw values of the fields of an object. Returns `None` if the text is not an object.
pub fn fields(text: &str) -> Option<Vec<(String, &str)>> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    let mut found = Vec::new();
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let name_end = value_end(bytes, at)?;
        let name = text[at + 1..name_end - 1].to_owned();
        at = skip_space(bytes, name_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        at = skip_space(bytes, at + 1);
        let end = value_end(bytes, at)?;
        found.push((name, &text[at..end]));
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    (bytes.get(at) == Some(&b'}')).then_some(found)
}

/// Raw value of a field of an object.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    fields(text)?.into_iter().find(|(known, _)| known == name).map(|(_, value)| value)
}

/// Text of a string without escapes.
pub fn string(raw: &str) -> Option<&str> {
    raw.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Position after the value that begins at `at`.
fn value_end(bytes: &[u8], at: usize) -> Option<usize> {
    match bytes.get(at)? {
        b'"' => string_end(bytes, at),
        b'{' | b'[' => {
            let (mut depth, mut at) = (0, at);
            loop {
                match bytes.get(at)? {
                    b'"' => {
                        at = string_end(bytes, at)?;
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => depth -= 1,
                    _ => {}
                }
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
        }
        _ => {
            let is_end =
                |byte: &u8| matches!(byte, b',' | b'}' | b']') || byte.is_ascii_whitespace();
            Some(bytes[at..].iter().position(is_end).map_or(bytes.len(), |length| at + length))
        }
    }
}

fn string_end(bytes: &[u8], at: usize) -> Option<usize> {
    let mut at = at + 1;
    loop {
        match bytes.get(at)? {
            b'\\' => at += 2,
            b'"' => return Some(at + 1),
            _ => at += 1,
        }
    }
}
