//! Logger set-up.

use std::io::{self, Write};

use base::clock;
use log::kv::{self, Key, Value};
use serde_json::{Map, json};

use crate::log_writer::LogWriter;

/// Default log levels: `info` for this project, `warn` for libraries.
const DEFAULT_FILTER: &str = "warn,buckthorncove=info,batch=info,claim=info,entry=info,lease=info,node=info,platform=info,route=info,sched=info,serve=info,standin=info,store=info";

/// Output format of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// Lines of text on standard error, for commands.
    Text,
    /// One JSON object per line on standard output, for long-running processes.
    Json,
}

/// Initialises the logger; `RUST_LOG` overrides the default levels.
pub fn init(format: Format) {
    let env = env_logger::Env::default().default_filter_or(DEFAULT_FILTER);
    let mut builder = env_logger::Builder::from_env(env);
    match format {
        Format::Text => builder.format(|buf, record| {
            let mut line = format!("{} {} {}", clock::wall().0, record.level(), record.args());
            for (key, value) in fields(record) {
                line += &format!(" {key}={value}");
            }
            writeln!(buf, "{line}")
        }),
        Format::Json => builder
            .target(env_logger::Target::Pipe(Box::new(LogWriter::new())))
            .format(|buf, record| {
                let mut line = Map::new();
                line.insert("t".into(), json!(clock::wall().0));
                line.insert("level".into(), json!(record.level().as_str()));
                line.insert("msg".into(), json!(record.args().to_string()));
                line.extend(fields(record));
                serde_json::to_writer(&mut *buf, &line).map_err(io::Error::other)?;
                buf.write_all(b"\n")
            }),
    };
    builder.init();
}

/// Returns the key-value pairs of a record, without those that have no value.
fn fields(record: &log::Record<'_>) -> Map<String, serde_json::Value> {
    struct Fields(Map<String, serde_json::Value>);
    impl<'a> kv::VisitSource<'a> for Fields {
        fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), kv::Error> {
            if is_null(&value) {
                return Ok(());
            }
            let number = value.to_u64().map(serde_json::Value::from);
            let flag = value.to_bool().map(serde_json::Value::from);
            let json = number.or(flag).unwrap_or_else(|| json!(value.to_string()));
            self.0.insert(key.to_string(), json);
            Ok(())
        }
    }
    let mut fields = Fields(Map::new());
    // A field that can't be formatted is left out, and the line is written without it.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

/// Returns whether a value is that of an empty option, whose text is the name of its variant.
fn is_null(value: &Value<'_>) -> bool {
    struct IsNull(bool);
    impl kv::VisitValue<'_> for IsNull {
        fn visit_any(&mut self, _: Value<'_>) -> Result<(), kv::Error> {
            Ok(())
        }

        fn visit_null(&mut self) -> Result<(), kv::Error> {
            self.0 = true;
            Ok(())
        }
    }
    let mut visitor = IsNull(false);
    value.visit(&mut visitor).is_ok() && visitor.0
}
