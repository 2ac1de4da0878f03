//! Set-up of the log.

use std::io::Write;

use base::clock;

/// Sends log lines to standard error; `RUST_LOG` sets the level, `info` is the default.
pub fn init() {
    let env = env_logger::Env::default().default_filter_or("info");
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
