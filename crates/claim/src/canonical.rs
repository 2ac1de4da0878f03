//! Canonical form of JSON texts.
//!
//! Numbers keep their digits and repeated keys stay, so that two texts that a backend server might
//! read differently never get the same form.

use serde::de::IgnoredAny;

/// Returns the canonical form (members sorted by key, no white space); `None` if `text` is no JSON.
///
/// ```
/// use claim::canonical::canonical;
/// assert_eq!(canonical(br#"{ "b": 1, "a": "x" }"#).unwrap(), r#"{"a":"x","b":1}"#);
/// assert_eq!(canonical(b"{"), None);
/// ```
pub fn canonical(text: &[u8]) -> Option<String> {
    // The check also bounds the depth, and with it the recursion below.
    serde_json::from_slice::<IgnoredAny>(text).ok()?;
    let mut scan = Scan {
        rest: std::str::from_utf8(text).ok()?,
    };
    scan.value()
}

/// Reads a text that is known to be valid JSON.
struct Scan<'a> {
    rest: &'a str,
}

impl Scan<'_> {
    fn value(&mut self) -> Option<String> {
        match self.peek()? {
            '{' => self.object(),
            '[' => self.array(),
            '"' => self.string(),
            _ => Some(self.plain()),
        }
    }

    fn peek(&mut self) -> Option<char> {
        self.rest = self.rest.trim_start_matches([' ', '\t', '\n', '\r']);
        self.rest.chars().next()
    }

    /// Skips one character of punctuation, and returns whether it was `expected`.
    fn skip(&mut self, expected: char) -> bool {
        let found = self.peek() == Some(expected);
        if found {
            self.rest = &self.rest[1..];
        }
        found
    }

    fn object(&mut self) -> Option<String> {
        self.skip('{');
        let mut members = Vec::new();
        while !self.skip('}') {
            self.skip(',');
            self.peek()?;
            let key = self.string()?;
            self.skip(':');
            let value = self.value()?;
            members.push((key, value));
        }
        // The sort is stable: the order of repeated keys decides what a reader takes.
        members.sort_by(|a, b| a.0.cmp(&b.0));
        let members: Vec<String> = members.iter().map(|(k, v)| format!("{k}:{v}")).collect();
        Some(format!("{{{}}}", members.join(",")))
    }

    fn array(&mut self) -> Option<String> {
        self.skip('[');
        let mut items = Vec::new();
        while !self.skip(']') {
            self.skip(',');
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
        // Two spellings of the same characters get one form.
        let content: String = serde_json::from_str(text).ok()?;
        serde_json::to_string(&content).ok()
    }

    /// A number, `true`, `false` or `null`, as it is written.
    fn plain(&mut self) -> String {
        let ends = |c: char| c.is_ascii_whitespace() || [',', ']', '}'].contains(&c);
        let end = self.rest.find(ends).unwrap_or(self.rest.len());
        let (text, rest) = self.rest.split_at(end);
        self.rest = rest;
        text.to_owned()
    }
}
