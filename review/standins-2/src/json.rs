//! Small JSON reader and writer.

use std::fmt::{Display, Formatter, Write};

/// JSON value; numbers are kept as they were written.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value(0)?;
        reader.space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(it, _)| it == name).map(|(_, it)| it),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }
}

impl Display for Json {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(it) => write!(f, "{it}"),
            Json::Number(it) => f.write_str(it),
            Json::Text(it) => write_text(f, it),
            Json::List(items) => {
                f.write_char('[')?;
                for (at, it) in items.iter().enumerate() {
                    if at > 0 {
                        f.write_char(',')?;
                    }
                    write!(f, "{it}")?;
                }
                f.write_char(']')
            }
            Json::Object(fields) => {
                f.write_char('{')?;
                for (at, (name, it)) in fields.iter().enumerate() {
                    if at > 0 {
                        f.write_char(',')?;
                    }
                    write_text(f, name)?;
                    write!(f, ":{it}")?;
                }
                f.write_char('}')
            }
        }
    }
}

fn write_text(f: &mut Formatter<'_>, text: &str) -> std::fmt::Result {
    f.write_char('"')?;
    for it in text.chars() {
        match it {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            it if (it as u32) < 0x20 => write!(f, "\\u{:04x}", it as u32)?,
            it => f.write_char(it)?,
        }
    }
    f.write_char('"')
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self, depth: u32) -> Option<Json> {
        if depth > 64 {
            return None;
        }
        self.space();
        match *self.bytes.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(items));
                }
                loop {
                    items.push(self.value(depth + 1)?);
                    if self.take(b']').is_some() {
                        return Some(Json::List(items));
                    }
                    self.take(b',')?;
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Object(fields));
                }
                loop {
                    self.space();
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value(depth + 1)?));
                    if self.take(b'}').is_some() {
                        return Some(Json::Object(fields));
                    }
                    self.take(b',')?;
                }
            }
            _ => {
                let from = self.at;
                let is_part = |it: &u8| matches!(it, b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E');
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[from..self.at]).ok()?;
                text.parse::<f64>().ok()?;
                Some(Json::Number(text.to_owned()))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'b' => text.push(8),
                        b'f' => text.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let it = char::from_u32(u32::from_str_radix(digits, 16).ok()?).unwrap_or('?');
                            text.extend(it.to_string().into_bytes());
                        }
                        it => text.push(it),
                    }
                }
                it => text.push(it),
            }
        }
    }
}
