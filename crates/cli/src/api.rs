//! HTTP client of the operators' interface of an entry.

use std::{fs, future::Future};

use eyre::WrapErr;
use ntex::{client, http, rt};
use schema::config::Config;
use serde::{Deserialize, de::DeserializeOwned};

use crate::exit::Failure;

/// Longest wait for an answer, in milliseconds; a change waits until it is in force everywhere.
const ANSWER_TIMEOUT_MS: u32 = 15_000;
/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// Runs a future on a runtime of its own.
pub fn block_on<F: Future<Output = T> + 'static, T: 'static>(future: F) -> T {
    rt::System::new("command", rt::DefaultRuntime).block_on(future)
}

/// An entry and the token to use with it.
#[derive(Clone, Debug)]
pub struct Api {
    base: String,
    token: Option<String>,
    /// Whether output is JSON for scripts.
    pub json: bool,
}

/// Body of every refusal.
#[derive(Debug, Deserialize)]
struct Refusal {
    code: String,
    outcome: Option<String>,
    message: String,
}

/// Answer to `GET /config`.
#[derive(Debug, Deserialize)]
struct InForce {
    config: Config,
}

impl Api {
    /// Returns the configuration in force.
    pub async fn config(&self) -> eyre::Result<Config> {
        let in_force: InForce = self.send_json(http::Method::GET, "/config", None).await?;
        Ok(in_force.config)
    }

    /// Reads the token file and returns the client.
    pub fn new(entry: &str, token_file: Option<&str>, json: bool) -> eyre::Result<Self> {
        let token = match token_file {
            None => None,
            Some(path) => {
                let text =
                    fs::read_to_string(path).wrap_err_with(|| format!("token file {path}"))?;
                Some(text.trim().to_owned())
            }
        };
        Ok(Self {
            base: format!("http://{entry}"),
            token,
            json,
        })
    }

    /// Returns a client that uses `token`.
    pub fn with_token(entry: &str, token: &str) -> Self {
        Self {
            base: format!("http://{entry}"),
            token: Some(token.into()),
            json: false,
        }
    }

    /// Returns a client of the same entry that uses another token.
    pub fn as_token(&self, token: &str) -> Self {
        Self {
            token: Some(token.into()),
            ..self.clone()
        }
    }

    /// Sends a request, with an idempotency key if there is one, and returns the whole answer.
    pub async fn send(
        &self,
        method: http::Method,
        path: &str,
        body: Option<String>,
        key: Option<&str>,
    ) -> eyre::Result<String> {
        let client = client::Client::builder()
            .response_timeout(ntex::time::Millis(ANSWER_TIMEOUT_MS))
            .response_payload_limit(ANSWER_BYTES)
            .build(ntex::SharedCfg::new("command"))
            .await
            .map_err(|e| Failure::refused(e.to_string()))?;
        let mut req = client.request(method.clone(), format!("{}{path}", self.base));
        if let Some(token) = &self.token {
            req = req.bearer_auth(token);
        }
        if let Some(key) = key {
            req = req.header("idempotency-key", key);
        }
        let sent = match body {
            Some(body) => req.content_type("application/json").send_body(body).await,
            None => req.send().await,
        };
        let lost = |e: &dyn std::fmt::Display| {
            let message = format!("{} gave no whole answer: {e}", self.base);
            if method == http::Method::GET {
                Failure::refused(message)
            } else {
                Failure::unknown(message)
            }
        };
        let answer = sent.map_err(|e| lost(&e))?;
        let status = answer.status();
        let body = answer.body().await.map_err(|e| lost(&e))?;
        let text = String::from_utf8_lossy(&body).into_owned();
        if status.is_success() {
            return Ok(text);
        }
        Err(refusal(status, &text))
    }

    /// Sends a request and reads the answer as JSON.
    pub async fn send_json<T: DeserializeOwned>(
        &self,
        method: http::Method,
        path: &str,
        body: Option<String>,
    ) -> eyre::Result<T> {
        let text = self.send(method, path, body, None).await?;
        serde_json::from_str(&text).wrap_err("the entry's answer can't be read")
    }
}

fn refusal(status: http::StatusCode, text: &str) -> eyre::Report {
    let Ok(refusal) = serde_json::from_str::<Refusal>(text) else {
        return Failure::unknown(format!("status {status}: {text}"));
    };
    let message = format!("{} ({})", refusal.message, refusal.code);
    match refusal.outcome.as_deref() {
        Some("unknown") => Failure::unknown(message),
        _ if status == http::StatusCode::BAD_REQUEST => Failure::bad_input(message),
        _ => Failure::refused(message),
    }
}
