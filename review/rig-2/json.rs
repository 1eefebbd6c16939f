//! Reads JSON, as far as the calls to the store need it.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is not JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser { rest: text.as_bytes() };
        let value = parser.value()?;
        parser.skip_blanks();
        parser.rest.is_empty().then_some(value)
    }

    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    /// Returns a field of an object as text; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns a field of an object as a whole number; 0 if there is none.
    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    /// Returns a field of an object as a list; empty if there is none.
    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    rest: &'a [u8],
}

impl Parser<'_> {
    fn skip_blanks(&mut self) {
        self.rest = self.rest.trim_ascii_start();
    }

    fn take(&mut self, token: &[u8]) -> Option<()> {
        self.rest = self.rest.strip_prefix(token)?;
        Some(())
    }

    fn next(&mut self) -> Option<u8> {
        let (first, rest) = self.rest.split_first()?;
        self.rest = rest;
        Some(*first)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_blanks();
        match self.rest.first()? {
            b'n' => self.take(b"null").map(|()| Json::Null),
            b't' => self.take(b"true").map(|()| Json::Bool(true)),
            b'f' => self.take(b"false").map(|()| Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.array(),
            b'{' => self.object(),
            _ => self.digits(),
        }
    }

    fn digits(&mut self) -> Option<Json> {
        let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
        let len = self.rest.iter().take_while(|b| is_part(b)).count();
        let (number, rest) = self.rest.split_at(len);
        self.rest = rest;
        std::str::from_utf8(number).ok()?.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b"\"")?;
        let mut bytes = Vec::new();
        loop {
            match self.next()? {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let c = match self.next()? {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let (hex, rest) = self.rest.split_at_checked(4)?;
                            self.rest = rest;
                            let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16);
                            char::from_u32(code.ok()?)?
                        }
                        other => char::from(other),
                    };
                    bytes.extend(c.encode_utf8(&mut [0; 4]).bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }

    fn array(&mut self) -> Option<Json> {
        self.take(b"[")?;
        let mut list = Vec::new();
        loop {
            self.skip_blanks();
            if self.take(b"]").is_some() {
                return Some(Json::List(list));
            }
            if !list.is_empty() {
                self.take(b",")?;
            }
            list.push(self.value()?);
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b"{")?;
        let mut fields = BTreeMap::new();
        loop {
            self.skip_blanks();
            if self.take(b"}").is_some() {
                return Some(Json::Object(fields));
            }
            if !fields.is_empty() {
                self.take(b",")?;
                self.skip_blanks();
            }
            let name = self.string()?;
            self.skip_blanks();
            self.take(b":")?;
            fields.insert(name, self.value()?);
        }
    }
}

/// Quotes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => quoted.extend(['\\', c]),
            c if c < ' ' => quoted.push_str(&format!("\\u{:04x}", u32::from(c))),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}
