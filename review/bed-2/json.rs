//! A small reader and writer of JSON, and Base64, for the stand-ins.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Reads a text.
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = value(bytes, &mut at)?;
        space(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    space(bytes, at);
    match *bytes.get(*at)? {
        b'n' => word(bytes, at, "null", Json::Null),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'"' => string(bytes, at).map(Json::Text),
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
        }
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(bytes, at)?;
                        space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.insert(name, value(bytes, at)?);
                    }
                }
            }
        }
        _ => {
            let from = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[from..*at]).ok()?;
            text.parse().ok().map(Json::Number)
        }
    }
}

fn string(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut text = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(text).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => text.push(b'\n'),
                    b't' => text.push(b'\t'),
                    b'r' => text.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        *at += 4;
                        let c = char::from_u32(code).unwrap_or('?');
                        text.extend(c.to_string().bytes());
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}

/// Writes a text as JSON.
pub fn quoted(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in Base64.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                let digit = (bits >> (18 - 6 * place)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
