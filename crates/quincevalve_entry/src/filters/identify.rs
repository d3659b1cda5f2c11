//! Identify: determines the account, the class and the work of a request.

use std::sync::Arc;

use http::{HeaderMap, header, request::Parts};
use quincevalve_inventory::{Class, Execution};
use quincevalve_names::{ClassName, ClientAccountName, IdempotencyKey, ModelName, ServiceName};
use quincevalve_recovery::{Call, Work};

use crate::{
    openai::{CompletionBody, StreamShape},
    pipe::Filter,
    refusal::{Refusal, RefusalKind},
    request::{Identified, Received, Shape},
    shared::Shared,
    view::View,
};

const CLASS_HEADER: &str = "quincevalve-class";
const EXECUTION_HEADER: &str = "quincevalve-execution";
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key in bytes.
const MAX_KEY_LEN: usize = 255;
const SERVICE_PREFIX: &str = "/s/";

/// Request headers that are not forwarded to a service because they concern only this hop or are secret.
const NOT_FORWARDED_HEADERS: [&str; 9] = [
    "authorization",
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
    "expect",
];

pub(crate) struct Identify {
    pub(crate) shared: Arc<Shared>,
}

impl Filter<Received> for Identify {
    type Out = Identified;
    type Error = Refusal;

    async fn apply(&self, received: Received) -> Result<Identified, Refusal> {
        let view = self.shared.view();
        let account = identify_account(&view, &received.head.headers)?.clone();
        let key = read_key(&received.head.headers)?;
        let (work, shape, work_execution) = read_work(&view, &received)?;
        let (class_name, class) = read_class(&view, &account, &received.head.headers)?;
        let execution =
            strictest_execution(&received.head.headers, [work_execution, class.execution])?;
        Ok(Identified {
            id: self.shared.new_request_id(),
            account,
            class: class_name,
            promise: class.promise,
            execution,
            key,
            work,
            shape,
            arrived: received.arrived,
            view,
        })
    }
}

/// Returns the account of the caller's API key.
pub(crate) fn identify_account<'a>(
    view: &'a View,
    headers: &HeaderMap,
) -> Result<&'a ClientAccountName, RefusalKind> {
    let value = headers.get(header::AUTHORIZATION).and_then(|it| it.to_str().ok());
    let key = value.and_then(|it| it.strip_prefix("Bearer ")).ok_or(RefusalKind::Unauthorized)?;
    view.account_of(key.trim()).ok_or(RefusalKind::Unauthorized)
}

fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, RefusalKind> {
    let Some(value) = headers.get(KEY_HEADER) else { return Ok(None) };
    let text = value.to_str().ok().filter(|it| (1..=MAX_KEY_LEN).contains(&it.len()));
    let text = text.ok_or_else(|| RefusalKind::BadRequest {
        param: "Idempotency-Key",
        message: format!("`Idempotency-Key` has 1 to {MAX_KEY_LEN} visible ASCII characters"),
    })?;
    Ok(Some(text.into()))
}

fn read_work(view: &View, received: &Received) -> Result<(Work, Shape, Execution), RefusalKind> {
    match received.head.uri.path() {
        "/v1/chat/completions" => read_completion(view, received, StreamShape::Chat),
        "/v1/completions" => read_completion(view, received, StreamShape::Text),
        path if path.starts_with(SERVICE_PREFIX) => read_call(view, received),
        _ => Err(RefusalKind::NoSuchPath),
    }
}

fn read_completion(
    view: &View,
    received: &Received,
    shape: StreamShape,
) -> Result<(Work, Shape, Execution), RefusalKind> {
    let body = CompletionBody::parse(&received.body)?;
    let model = body.model.as_deref().ok_or_else(|| RefusalKind::BadRequest {
        param: "model",
        message: "`model` is missing".to_owned(),
    })?;
    let model_entry = view.inventory.model.get(&ModelName::from(model));
    let model_entry = model_entry.ok_or(RefusalKind::NoSuchModel)?;
    let answer_shape = if body.stream { Shape::Stream(shape) } else { Shape::Whole(shape) };
    let generation = body.into_generation(shape, model_entry.max_output_tokens)?;
    Ok((Work::Generate(generation), answer_shape, Execution::Idempotent))
}

fn read_call(view: &View, received: &Received) -> Result<(Work, Shape, Execution), RefusalKind> {
    let head = &received.head;
    let rest = head.uri.path().strip_prefix(SERVICE_PREFIX).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = ServiceName::from(name);
    let service_entry = view.inventory.service.get(&service).ok_or(RefusalKind::NoSuchService)?;
    let query = head.uri.query().map(|it| format!("?{it}")).unwrap_or_default();
    let call = Call {
        service,
        method: head.method.as_str().to_owned(),
        path: format!("/{path}{query}"),
        headers: forwarded_headers(head),
        body: received.body.clone(),
    };
    Ok((Work::Call(call), Shape::Bytes, service_entry.execution))
}

fn forwarded_headers(head: &Parts) -> Vec<(String, Vec<u8>)> {
    let all = head.headers.iter();
    all.filter(|it| !NOT_FORWARDED_HEADERS.contains(&it.0.as_str()))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect()
}

fn read_class<'a>(
    view: &'a View,
    account: &ClientAccountName,
    headers: &HeaderMap,
) -> Result<(ClassName, &'a Class), RefusalKind> {
    let account_entry = view.inventory.account.get(account).ok_or(RefusalKind::Unauthorized)?;
    let name = match headers.get(CLASS_HEADER) {
        Some(value) => ClassName::from(value.to_str().unwrap_or_default()),
        None => account_entry.default_class.clone(),
    };
    let class = view.inventory.class.get(&name).ok_or_else(|| {
        let known: Vec<_> = view.inventory.class.keys().map(ClassName::as_str).collect();
        RefusalKind::BadRequest {
            param: CLASS_HEADER,
            message: format!("`{CLASS_HEADER}: {name}` is none of {}", known.join(", ")),
        }
    })?;
    Ok((name, class))
}

/// Returns the strictest of the declared execution rules and the one in the caller's header. A caller can tighten the
/// rule but not loosen it: `idempotent` in the header has no effect on a service that the inventory marks as
/// non-idempotent.
fn strictest_execution(
    headers: &HeaderMap,
    declared: [Execution; 2],
) -> Result<Execution, RefusalKind> {
    let requested = match headers.get(EXECUTION_HEADER).map(http::HeaderValue::as_bytes) {
        None | Some(b"idempotent") => Execution::Idempotent,
        Some(b"non-idempotent") => Execution::NonIdempotent,
        Some(_) => {
            return Err(RefusalKind::BadRequest {
                param: EXECUTION_HEADER,
                message: format!("`{EXECUTION_HEADER}` is `idempotent` or `non-idempotent`"),
            });
        }
    };
    Ok(declared.into_iter().fold(requested, Execution::max))
}
