//! `apply`: changes the configuration.

use ntex::http::Method;
use schema::{change, record::VersionedRecord};
use serde::{Deserialize, Serialize};

use super::files;
use crate::{
    api::{self, Api},
    args,
    exit::Failure,
};

/// Body of `POST /config`.
#[derive(Debug, Serialize)]
struct Change {
    change: u64,
    records: Vec<String>,
    expected_revision: Option<u64>,
}

/// Answer to `POST /config`.
#[derive(Debug, Deserialize, Serialize)]
struct Applied {
    revision: u64,
}

/// Runs the command.
pub fn run(api: Api, args: args::Apply) -> eyre::Result<()> {
    let located = files::read(&args.paths)?;
    api::block_on(async move {
        let current = api.config().await?;
        let records: Vec<VersionedRecord> = located.iter().map(|r| r.versioned.clone()).collect();
        let (_, differences) =
            change::apply(&current, &records).map_err(|e| Failure::bad_input(e.to_string()))?;
        if !api.json {
            for difference in differences.iter().filter(|d| d.is_change()) {
                println!("{difference}");
            }
        }
        if args.dry_run {
            return Ok(());
        }
        let change = args.change.unwrap_or_else(|| fastrand::u64(1..));
        let body = Change {
            change,
            records: located.into_iter().map(|r| r.text).collect(),
            // A repeated change is based on an earlier revision than the current one.
            expected_revision: args.change.is_none().then_some(current.revision),
        };
        let body = serde_json::to_string(&body)?;
        let applied: Applied = api
            .send_json(Method::POST, "/config", Some(body))
            .await
            .map_err(|e| {
                e.wrap_err(format!(
                    "change {change} is not confirmed; repeat it with --change {change}"
                ))
            })?;
        if api.json {
            println!("{}", serde_json::to_string(&applied)?);
        } else {
            println!("revision {} is in force everywhere", applied.revision);
        }
        Ok(())
    })
}
