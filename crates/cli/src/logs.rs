//! Set-up of the log.

use std::io::Write;

use base::clock;

/// Default levels: `info` for this project, `warn` for libraries.
const DEFAULT: &str =
    "warn,buckthorncove=info,claim=info,entry=info,route=info,sched=info,standin=info,store=info";

/// Sends log lines to standard error; `RUST_LOG` sets the levels.
pub fn init() {
    let env = env_logger::Env::default().default_filter_or(DEFAULT);
    env_logger::Builder::from_env(env)
        .format(|buf, record| {
            writeln!(
                buf,
                "{} {} {}",
                clock::wall().0,
                record.level(),
                record.args()
            )
        })
        .init();
}
