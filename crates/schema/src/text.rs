//! Record files: JSON5 records, separated by lines of `---`.

/// Text of one record in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecordText {
    /// Line of the file on which the record starts, from 1.
    pub line: usize,
    /// Text of the record.
    pub text: String,
}

/// Splits a file into its records and drops blank ones.
///
/// ```
/// let parts = schema::text::split("{a: 1}\n---\n{b: 2}\n");
/// assert_eq!(parts.len(), 2);
/// assert_eq!(parts[1].line, 3);
/// ```
pub fn split(file: &str) -> Vec<RecordText> {
    let mut parts = vec![RecordText {
        line: 1,
        text: String::new(),
    }];
    for (i, line) in file.lines().enumerate() {
        if line.trim_end() == "---" {
            parts.push(RecordText {
                line: i + 2,
                text: String::new(),
            });
            continue;
        }
        if let Some(part) = parts.last_mut() {
            part.text.push_str(line);
            part.text.push('\n');
        }
    }
    parts.retain(|part| !part.text.trim().is_empty());
    parts
}

/// Returns the first line of `text`, from 1, that contains the last segment of a field path.
///
/// Returns 1 if the field does not appear.
///
/// ```
/// assert_eq!(schema::text::line_of("{\n  a: {\n    b: 1\n}}", "a.b"), 3);
/// assert_eq!(schema::text::line_of("{}", "a"), 1);
/// ```
pub fn line_of(text: &str, field: &str) -> usize {
    let name = field.rsplit('.').next().unwrap_or(field);
    let name = name.split('[').next().unwrap_or(name);
    let contains_name = |line: &str| {
        line.split(|c: char| !c.is_ascii_alphanumeric() && c != '_')
            .any(|word| word == name)
    };
    text.lines().position(contains_name).map_or(1, |i| i + 1)
}
