//! The part of JSON that the platform's calls use.

use std::collections::BTreeMap;

/// A decoded value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    /// Returns a field of a table; `Null` if there is none.
    pub fn field(&self, name: &str) -> &Value {
        match self {
            Value::Table(table) => table.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    /// Returns the entries of a list.
    pub fn entries(&self) -> &[Value] {
        match self {
            Value::List(list) => list,
            _ => &[],
        }
    }

    /// Returns a text; empty if the value is none.
    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number; 0 if the value is none.
    pub fn number(&self) -> u64 {
        match self {
            Value::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

/// Decodes a document; `Null` if it is malformed.
pub fn parse(bytes: &[u8]) -> Value {
    Parser { bytes, at: 0 }.value().unwrap_or(Value::Null)
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut table = BTreeMap::new();
                loop {
                    match self.peek()? {
                        b'}' => break,
                        b',' => self.at += 1,
                        _ => {
                            let Value::Text(name) = self.value()? else { return None };
                            if self.peek()? != b':' {
                                return None;
                            }
                            self.at += 1;
                            let value = self.value()?;
                            table.insert(name, value);
                        }
                    }
                }
                self.at += 1;
                Some(Value::Table(table))
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                loop {
                    match self.peek()? {
                        b']' => break,
                        b',' => self.at += 1,
                        _ => list.push(self.value()?),
                    }
                }
                self.at += 1;
                Some(Value::List(list))
            }
            b'"' => {
                self.at += 1;
                let mut text = Vec::new();
                loop {
                    match *self.bytes.get(self.at)? {
                        b'"' => break,
                        b'\\' => {
                            self.at += 1;
                            text.push(*self.bytes.get(self.at)?);
                        }
                        byte => text.push(byte),
                    }
                    self.at += 1;
                }
                self.at += 1;
                Some(Value::Text(String::from_utf8(text).ok()?))
            }
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| !b",]} \r\n\t".contains(byte)) {
                    self.at += 1;
                }
                match std::str::from_utf8(&self.bytes[start..self.at]).ok()? {
                    "null" => Some(Value::Null),
                    "true" => Some(Value::Bool(true)),
                    "false" => Some(Value::Bool(false)),
                    number => number.parse().ok().map(Value::Number),
                }
            }
        }
    }
}

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group =
            (0..3).fold(0u32, |group, at| group << 8 | u32::from(*chunk.get(at).unwrap_or(&0)));
        for at in 0..4 {
            match at <= chunk.len() {
                true => text.push(DIGITS[(group >> (18 - 6 * at) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
