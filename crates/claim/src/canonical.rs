//! Canonical form of JSON texts.
//!
//! Numbers keep their digits and repeated keys are kept, so that two texts that a backend server
//! may interpret differently never have the same canonical form.

use serde::de::IgnoredAny;

/// Returns the canonical form (members sorted by key, no white space); `None` if `text` is not
/// valid JSON.
///
/// ```
/// use claim::canonical::canonical;
/// assert_eq!(canonical(br#"{ "b": 1, "a": "x" }"#).unwrap(), r#"{"a":"x","b":1}"#);
/// assert_eq!(canonical(b"{"), None);
/// ```
pub fn canonical(text: &[u8]) -> Option<String> {
    // The validation also limits the nesting depth, and so the recursion of the parser.
    serde_json::from_slice::<IgnoredAny>(text).ok()?;
    let mut parser = Parser {
        rest: std::str::from_utf8(text).ok()?,
    };
    parser.value()
}

/// Parser for a text that is known to be valid JSON.
struct Parser<'a> {
    rest: &'a str,
}

impl Parser<'_> {
    fn value(&mut self) -> Option<String> {
        match self.peek()? {
            '{' => self.object(),
            '[' => self.array(),
            '"' => self.string(),
            _ => Some(self.literal()),
        }
    }

    /// Skips white space and returns the next character without consuming it.
    fn peek(&mut self) -> Option<char> {
        self.rest = self.rest.trim_start_matches([' ', '\t', '\n', '\r']);
        self.rest.chars().next()
    }

    /// Consumes the next character if it is the punctuation mark `expected`, and returns whether it
    /// was.
    fn consume(&mut self, expected: char) -> bool {
        let found = self.peek() == Some(expected);
        if found {
            self.rest = &self.rest[1..];
        }
        found
    }

    fn object(&mut self) -> Option<String> {
        self.consume('{');
        let mut members = Vec::new();
        while !self.consume('}') {
            self.consume(',');
            self.peek()?;
            let key = self.string()?;
            self.consume(':');
            let value = self.value()?;
            members.push((key, value));
        }
        // The sort is stable, because the order of repeated keys decides which value a reader uses.
        members.sort_by(|a, b| a.0.cmp(&b.0));
        let members: Vec<String> = members.iter().map(|(k, v)| format!("{k}:{v}")).collect();
        Some(format!("{{{}}}", members.join(",")))
    }

    fn array(&mut self) -> Option<String> {
        self.consume('[');
        let mut items = Vec::new();
        while !self.consume(']') {
            self.consume(',');
            items.push(self.value()?);
        }
        Some(format!("[{}]", items.join(",")))
    }

    fn string(&mut self) -> Option<String> {
        let mut escaped = false;
        let end = self.rest.char_indices().skip(1).find(|(_, c)| {
            let ends = *c == '"' && !escaped;
            escaped = *c == '\\' && !escaped;
            ends
        })?;
        let (text, rest) = self.rest.split_at(end.0 + 1);
        self.rest = rest;
        // Different escapes of the same characters have one canonical form.
        let content: String = serde_json::from_str(text).ok()?;
        serde_json::to_string(&content).ok()
    }

    /// Returns a number, `true`, `false` or `null` as it is written.
    fn literal(&mut self) -> String {
        let ends = |c: char| c.is_ascii_whitespace() || [',', ']', '}'].contains(&c);
        let end = self.rest.find(ends).unwrap_or(self.rest.len());
        let (text, rest) = self.rest.split_at(end);
        self.rest = rest;
        text.to_owned()
    }
}
