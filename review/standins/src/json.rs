//! The little JSON that the stand-ins need: the text of a field, and strings.

/// Text of the value at a path of field names; `None` if it is missing.
pub fn get<'a>(text: &'a str, path: &[&str]) -> Option<&'a str> {
    let mut at = text.trim();
    for name in path {
        at = field(at, name)?;
    }
    Some(at)
}

/// Whole number at a path.
pub fn number(text: &str, path: &[&str]) -> Option<u64> {
    get(text, path)?.trim().parse().ok()
}

/// String at a path; escapes are left as they are.
pub fn string(text: &str, path: &[&str]) -> Option<String> {
    let value = get(text, path)?.trim();
    Some(value.strip_prefix('"')?.strip_suffix('"')?.to_owned())
}

fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = skip_spaces(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_spaces(bytes, at);
        if bytes.get(at) == Some(&b',') {
            at = skip_spaces(bytes, at + 1);
        }
        if bytes.get(at)? == &b'}' {
            return None;
        }
        let key_end = value_end(bytes, at)?;
        let key = &object[at + 1..key_end - 1];
        at = skip_spaces(bytes, key_end);
        if bytes.get(at)? != &b':' {
            return None;
        }
        at = skip_spaces(bytes, at + 1);
        let end = value_end(bytes, at)?;
        if key == name {
            return Some(&object[at..end]);
        }
        at = end;
    }
}

fn skip_spaces(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(|it| it.is_ascii_whitespace()) {
        at += 1;
    }
    at
}

fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut depth = 0;
    let mut at = start;
    loop {
        match *bytes.get(at)? {
            b'"' => {
                at += 1;
                while *bytes.get(at)? != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' => {
                if depth == 0 {
                    return Some(at);
                }
                depth -= 1;
                at += 1;
                if depth == 0 {
                    return Some(at);
                }
            }
            b',' | b':' if depth == 0 => return Some(at),
            byte if depth == 0 && byte.is_ascii_whitespace() => return Some(at),
            _ => at += 1,
        }
        if depth == 0 && at >= bytes.len() {
            return Some(at);
        }
    }
}
