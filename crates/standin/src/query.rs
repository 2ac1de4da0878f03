//! Query strings and percent-encoded path segments.

/// Returns the decoded value of the parameter `name`; `None` if it is absent or badly encoded.
pub(crate) fn parameter(query: &str, name: &str) -> Option<String> {
    let pair = query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    });
    pair.and_then(decode)
}

/// Decodes percent-encoding; `None` if an escape is invalid or the result is not UTF-8.
pub(crate) fn decode(s: &str) -> Option<String> {
    let mut out = Vec::with_capacity(s.len());
    let mut bytes = s.bytes();
    while let Some(b) = bytes.next() {
        if b != b'%' {
            out.push(b);
            continue;
        }
        let high = char::from(bytes.next()?).to_digit(16)?;
        let low = char::from(bytes.next()?).to_digit(16)?;
        out.push((high * 16 + low) as u8);
    }
    String::from_utf8(out).ok()
}
