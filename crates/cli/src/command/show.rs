//! `get` and `dump`: print the configuration and the state of a process.

use ntex::http::Method;
use schema::{config::Config, record::Record, v2};

use crate::api::{self, Api};

/// Prints the configuration in force.
pub fn get(api: Api) -> eyre::Result<()> {
    api::block_on(async move {
        let config = api.config().await?;
        if api.json {
            println!("{}", serde_json::to_string(&config)?);
            return Ok(());
        }
        println!("// revision {}", config.revision);
        let texts: Vec<String> = config_records(config).iter().map(v2::write).collect();
        println!("{}", texts.join("\n---\n"));
        Ok(())
    })
}

fn config_records(config: Config) -> Vec<Record> {
    let mut records: Vec<Record> = vec![config.placement.into()];
    records.extend(config.organisations.values().cloned().map(Record::from));
    records.extend(config.teams.values().cloned().map(Record::from));
    records.extend(config.services.values().cloned().map(Record::from));
    records
}

/// Prints the state of a process.
pub fn dump(api: Api) -> eyre::Result<()> {
    api::block_on(async move {
        let state: serde_json::Value = api.send_json(Method::GET, "/dump", None).await?;
        if api.json {
            println!("{state}");
        } else {
            println!("{}", serde_json::to_string_pretty(&state)?);
        }
        Ok(())
    })
}
