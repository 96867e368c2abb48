//! What the gateway needs of a client's request.

use std::time::Duration;

use crankpick_dispatch::PromptPart;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, AUTHORIZATION, CONNECTION, HOST};
use hyper::Version;

use crate::refusal::Refusal;

/// The id of a try, which its answer bears as well.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How many milliseconds the client, or a backend, has.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// The name of the tenant that holds the key.
pub(crate) const TENANT: HeaderName = HeaderName::from_static("x-tenant");
/// The backend that a request is for.
pub(crate) const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// The rank of a request at an engine.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// What a stream goes on behind.
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const TOKEN_USAGE: HeaderName = HeaderName::from_static("x-token-usage");
const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
const KEY_SCHEME: &str = "bearer ";
/// More parts of a prompt tell nothing more.
const MOST_PARTS: usize = 64;

/// What a request says of its size.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PromptSize {
    /// Tokens of the prompt and the most of the answer, where it tells them.
    pub usage: Option<TokenUsage>,
    /// The parts of the prompt in their order.
    pub parts: Vec<PromptPart>,
}

/// `X-Token-Usage`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// The most tokens of the answer.
    pub answer: u32,
}

impl TokenUsage {
    /// What quotas count.
    pub fn sum(&self) -> u32 {
        self.prompt.saturating_add(self.answer)
    }

    fn read(text: &str) -> Option<Self> {
        let (prompt, answer) = text.split_once(',')?;
        Some(TokenUsage { prompt: prompt.trim().parse().ok()?, answer: answer.trim().parse().ok()? })
    }
}

impl PromptSize {
    pub fn read(headers: &HeaderMap) -> Self {
        let usage = text(headers, &TOKEN_USAGE).and_then(TokenUsage::read);
        let parts = text(headers, &PROMPT_PREFIX).map(prompt_parts).unwrap_or_default();
        PromptSize { usage, parts }
    }
}

/// `ID:TOKENS` by commas, the id in hex. What can't be read ends the list: a part counts only behind all before it.
fn prompt_parts(text: &str) -> Vec<PromptPart> {
    let parts = text.split(',').map_while(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    });
    parts.take(MOST_PARTS).collect()
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A field that must stand there once.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|value| values.next().is_none() && !value.is_empty())
}

/// The request's id.
pub(crate) fn request_id(headers: &HeaderMap) -> Result<HeaderValue, Refusal> {
    single(headers, &REQUEST_ID).cloned().ok_or(Refusal::NoRequestId)
}

/// The host it is for.
pub(crate) fn host(headers: &HeaderMap) -> Result<&str, Refusal> {
    single(headers, &HOST).and_then(|host| host.to_str().ok()).ok_or(Refusal::NoHost)
}

/// How long the client waits, where it tells.
pub(crate) fn patience(headers: &HeaderMap) -> Option<Duration> {
    let milliseconds: f64 = text(headers, &DEADLINE)?.trim().parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1e3).ok()
}

/// Whether its client wants the connection to be kept behind the answer.
pub(crate) fn keeps_connection(version: Version, headers: &HeaderMap) -> bool {
    let kept_by_version = version >= Version::HTTP_11;
    !has_connection_option(headers, "close")
        && (kept_by_version || has_connection_option(headers, "keep-alive"))
}

/// Whether `Connection` names this option.
pub(crate) fn has_connection_option(headers: &HeaderMap, option: &str) -> bool {
    let mut values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.any(|value| value.split(',').any(|named| named.trim().eq_ignore_ascii_case(option)))
}

/// The key that it bears.
pub(crate) fn key(headers: &HeaderMap) -> Option<&str> {
    let value = single(headers, &AUTHORIZATION)?.to_str().ok()?;
    let scheme = value.get(..KEY_SCHEME.len())?;
    scheme.eq_ignore_ascii_case(KEY_SCHEME).then(|| value[KEY_SCHEME.len()..].trim())
}

#[cfg(test)]
#[path = "../tests/unit/request.rs"]
mod tests;
