//! Capture of log lines.

use std::{cell::RefCell, collections::BTreeMap, sync::Once};

use log::kv;

/// Fields of a line by name, with its text as `msg`.
pub type Line = BTreeMap<String, String>;

thread_local! {
    static LINES: RefCell<Vec<Line>> = const { RefCell::new(Vec::new()) };
}

/// Keeps the lines of the thread that writes them.
struct Capture;

struct Fields<'a>(&'a mut Line);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl log::Log for Capture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut line = Line::new();
        let visited = record.key_values().visit(&mut Fields(&mut line));
        visited.expect("fields that can be read");
        line.insert("msg".into(), record.args().to_string());
        LINES.with_borrow_mut(|lines| lines.push(line));
    }

    fn flush(&self) {}
}

/// Returns the lines with this text since the last call.
pub fn take_lines(msg: &str) -> Vec<Line> {
    let lines = LINES.take();
    lines.into_iter().filter(|l| l["msg"] == msg).collect()
}

pub fn start_capture() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        log::set_logger(&Capture).expect("the only logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}
