//! Reads of whole tables, page by page.

use store::table::{Row, StoreError};

use crate::cx::Cx;

/// A table that is read from its first row on.
#[derive(Debug)]
pub(crate) struct TableRead {
    table: String,
    rows: Vec<Row>,
    /// Version of the first page; `None` before it.
    version: Option<u64>,
    /// Key from which to read on.
    from: String,
    complete: bool,
}

impl TableRead {
    pub(crate) fn new(table: impl Into<String>) -> Self {
        Self {
            table: table.into(),
            rows: Vec::new(),
            version: None,
            from: String::new(),
            complete: false,
        }
    }

    /// Reads the remaining rows. After a failure, the next call continues behind the last page.
    pub(crate) async fn run(&mut self, cx: &Cx) -> Result<(), StoreError> {
        while !self.complete {
            let page = cx.table.read_page(&self.table, &self.from).await?;
            self.version.get_or_insert(page.version);
            let last = page.rows.last().map(|r| r.key.clone());
            self.rows.extend(page.rows);
            match last.filter(|_| page.has_more) {
                Some(last) => {
                    let (_, key) = last.split_once('/').unwrap_or_default();
                    self.from = format!("{key} ");
                }
                None => self.complete = true,
            }
        }
        Ok(())
    }

    /// Returns the rows with the version of the first page.
    pub(crate) fn into_rows(self) -> (Vec<Row>, u64) {
        (self.rows, self.version.unwrap_or_default())
    }
}

/// Returns the rows of all tables with the lowest version.
pub(crate) fn join(reads: Vec<TableRead>) -> (Vec<Row>, u64) {
    let mut all = Vec::new();
    let mut from = u64::MAX;
    for read in reads {
        let (rows, version) = read.into_rows();
        all.extend(rows);
        from = from.min(version);
    }
    (all, from)
}
