//! Settlement of requests whose outcome is unknown, by an operator.

use base::name::Name;
use claim::{
    record::Answer,
    settle::{self, Settlement},
    ticket::ExecutionOutcome,
};
use ntex::{http::StatusCode, web::HttpResponse};
use serde::{Deserialize, Serialize};

use crate::{
    input::{self, Body},
    refusal::{Code, Outcome, Refusal},
    state::Entry,
};

/// Body of `POST /claims`, which is also the answer.
#[derive(Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct Settle {
    organisation: Name,
    key: String,
    outcome: Found,
}

/// What the operator found out about a request.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
enum Found {
    /// The backend service ran it.
    Ran,
    /// The backend service did not run it; the key can be used again.
    NotRun,
}

/// Settles one request and logs who did it.
pub async fn run(cx: &Entry, operator: &Name, body: &Body) -> Result<HttpResponse, Refusal> {
    let ask: Settle = input::json(&body.bytes)?;
    let settled = match ask.outcome {
        Found::NotRun => ExecutionOutcome::NotRun,
        // The answer of the backend server is lost, so a retry learns only that the request ran.
        Found::Ran => ExecutionOutcome::Completed(Answer {
            status: StatusCode::OK.as_u16(),
            content_type: "application/json".into(),
            body: Some(claim::record::Body::Text("{\"settled\":\"ran\"}".into())),
        }),
    };
    let result = settle::settle(&cx.table, &ask.organisation, &ask.key, settled).await;
    match result {
        Ok(Settlement::Done) => {
            let Settle {
                organisation,
                key,
                outcome,
            } = &ask;
            log::info!("claim: {operator} settled {organisation}/{key} as {outcome:?}");
            Ok(HttpResponse::Ok().json(&ask))
        }
        Ok(Settlement::NotFound) => Err(Refusal::not_run(Code::NotFound, "there is no such claim")),
        Ok(Settlement::NotUnknown(state)) => {
            let message = format!("only an unknown outcome can be settled; the claim is {state:?}");
            Err(Refusal::not_run(Code::KeyConflict, message))
        }
        Ok(Settlement::Changed) => {
            let message = "the claim changed meanwhile; look at it again";
            Err(Refusal::not_run(Code::KeyConflict, message))
        }
        Err(e) => {
            let refusal = Refusal::not_run(Code::StoreDown, e.to_string());
            Err(refusal.with_outcome(Outcome::Unknown))
        }
    }
}
