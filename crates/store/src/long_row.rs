//! Values that are longer than a row, stored in several rows with adjacent keys.
//!
//! The first part of a value has the key itself, the others the key with a suffix. All parts are
//! written in one transaction.

use std::ops;

use crate::table::{Key, Row, Txn};

/// Separates a key from the number of a part; it does not occur in keys.
const SEPARATOR: char = '+';

/// Returns the key of part `i` of a value.
///
/// ```
/// assert_eq!(&*store::long_row::part_key("progress/a", 0), "progress/a");
/// assert_eq!(&*store::long_row::part_key("progress/a", 2), "progress/a+0002");
/// ```
pub fn part_key(key: &str, i: usize) -> Key {
    match i {
        0 => key.into(),
        i => format!("{key}{SEPARATOR}{i:04}").into(),
    }
}

/// Splits a value into parts of at most `row_bytes` bytes.
///
/// ```
/// assert_eq!(store::long_row::split("abcde", 2), ["ab", "cd", "e"]);
/// ```
pub fn split(value: &str, row_bytes: usize) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = value;
    while rest.len() > row_bytes {
        let (part, after) = rest.split_at(rest.floor_char_boundary(row_bytes));
        parts.push(part);
        rest = after;
    }
    parts.push(rest);
    parts
}

/// Adds the write of a value that was stored in `stored` rows before. Returns the transaction and
/// the number of rows that the value now has.
///
/// ```
/// use store::{long_row, table::Txn};
/// let (txn, rows) = long_row::put(Txn::default(), "t/a", "abc", 2, 3);
/// assert_eq!((txn.writes.len(), rows), (3, 2));
/// ```
#[must_use]
pub fn put(mut txn: Txn, key: &str, value: &str, row_bytes: usize, stored: usize) -> (Txn, usize) {
    let parts = split(value, row_bytes);
    for (i, part) in parts.iter().enumerate() {
        txn = txn.put(part_key(key, i), (*part).to_owned());
    }
    (delete(txn, key, parts.len()..stored), parts.len())
}

/// Adds the deletion of some parts of a value.
///
/// ```
/// use store::{long_row, table::Txn};
/// assert_eq!(long_row::delete(Txn::default(), "t/a", 0..2).writes.len(), 2);
/// ```
#[must_use]
pub fn delete(mut txn: Txn, key: &str, parts: ops::Range<usize>) -> Txn {
    for i in parts {
        txn = txn.delete(part_key(key, i));
    }
    txn
}

/// Joins the parts of values in rows that are sorted by key. Each returned row has the key and the
/// version of the first part, and comes with the number of rows that it was read from. Parts
/// without a first one are left out, with a log line.
///
/// ```
/// use store::{long_row, table::Row};
/// let row = |key: &str, value: &str| Row { key: key.into(), version: 1, value: value.into() };
/// let rows = vec![row("t/a", "ab"), row("t/a+0001", "c"), row("t/b", "d")];
/// let joined = long_row::join(rows);
/// assert_eq!((&*joined[0].0.value, joined[0].1), ("abc", 2));
/// assert_eq!((&*joined[1].0.value, joined[1].1), ("d", 1));
/// ```
pub fn join(rows: Vec<Row>) -> Vec<(Row, usize)> {
    let mut joined: Vec<(Row, usize)> = Vec::new();
    for row in rows {
        let Some((key, _)) = row.key.rsplit_once(SEPARATOR) else {
            joined.push((row, 1));
            continue;
        };
        match joined.last_mut() {
            Some((first, parts)) if &*first.key == key => {
                first.value += &row.value;
                *parts += 1;
            }
            _ => log::error!(row:% = row.key; "store: a part of a value without its first part"),
        }
    }
    joined
}
