//! Set-up of the log.

use std::io::{self, Write};

use base::clock;
use log::kv::{self, Key, Value};
use serde_json::{Map, json};

use crate::log_out::LogOut;

/// Default levels: `info` for this project, `warn` for libraries.
const DEFAULT: &str = "warn,buckthorncove=info,batch=info,claim=info,entry=info,lease=info,node=info,platform=info,route=info,sched=info,serve=info,standin=info,store=info";

/// Form of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// Lines of text on standard error, for commands.
    Text,
    /// One JSON object a line on standard output, for processes that run until they are stopped.
    Json,
}

/// Begins the log; `RUST_LOG` sets the levels.
pub fn init(form: Form) {
    let env = env_logger::Env::default().default_filter_or(DEFAULT);
    let mut builder = env_logger::Builder::from_env(env);
    match form {
        Form::Text => builder.format(|buf, record| {
            let mut line = format!("{} {} {}", clock::wall().0, record.level(), record.args());
            for (key, value) in fields(record) {
                line += &format!(" {key}={value}");
            }
            writeln!(buf, "{line}")
        }),
        Form::Json => builder
            .target(env_logger::Target::Pipe(Box::new(LogOut::new())))
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

/// Returns the key-value pairs of a record.
fn fields(record: &log::Record<'_>) -> Map<String, serde_json::Value> {
    struct Fields(Map<String, serde_json::Value>);
    impl<'a> kv::VisitSource<'a> for Fields {
        fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), kv::Error> {
            let number = value.to_u64().map(serde_json::Value::from);
            let flag = value.to_bool().map(serde_json::Value::from);
            let json = number.or(flag).unwrap_or_else(|| json!(value.to_string()));
            self.0.insert(key.to_string(), json);
            Ok(())
        }
    }
    let mut fields = Fields(Map::new());
    // A field that can't be formatted is left out; the line still says what happened.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}
