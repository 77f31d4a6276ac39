//! Reads the platform's backend list, page by page.

use bytes::Bytes;
use fennelscale_dataplane::back::connection::HttpConnection;
use fennelscale_messages::session::Backend;
use fennelscale_node_settings::Settings;
use http_body_util::Full;
use hyper::{Request, StatusCode};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};
use std::collections::BTreeMap;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a complete page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum size of a page in bytes.
const MAX_PAGE_SIZE: usize = 4 << 20;
/// Maximum of pages; a list that does not end is rejected.
const MAX_PAGES: usize = 200;

/// Reads the complete list; `None` if any part of it could not be read.
pub async fn read(settings: &Settings) -> Option<Vec<Backend>> {
    match read_pages(settings).await {
        Ok(backends) => Some(backends),
        Err(why) => {
            tracing::debug!(event = "list-unread", why);
            None
        }
    }
}

async fn read_pages(settings: &Settings) -> Result<Vec<Backend>, &'static str> {
    let address = settings.cloud_api.address;
    let mut link =
        HttpConnection::connect(address, CONNECT_TIMEOUT, false).await.map_err(|_| "no connection")?;
    // The list may change between pages; if a backend is on two pages, the later entry counts.
    let mut all: BTreeMap<String, Backend> = BTreeMap::new();
    let mut token = String::new();
    for _ in 0..MAX_PAGES {
        let path =
            if token.is_empty() { "/instances".to_owned() } else { format!("/instances?pageToken={token}") };
        let request = Request::get(path).header("Host", address.to_string()).body(Full::new(Bytes::new()));
        let request = request.map_err(|_| "invalid page path")?;
        let page =
            tokio::time::timeout(PAGE_TIMEOUT, link.exchange(request, MAX_PAGE_SIZE, PAGE_TIMEOUT, None))
                .await;
        let Ok(Ok((head, body))) = page else { return Err("no answer") };
        if head.status != StatusCode::OK {
            return Err("refused");
        }
        let page: Value = sonic_rs::from_slice(&body).map_err(|_| "no JSON")?;
        let instances = page.get("instances").and_then(|i| i.as_array()).ok_or("no instances")?;
        for instance in instances {
            let backend = parse_backend(instance).ok_or("unreadable entry")?;
            all.insert(backend.id.clone(), backend);
        }
        match page.get("nextPageToken").and_then(|t| t.as_str()).filter(|t| !t.is_empty()) {
            None => return Ok(all.into_values().collect()),
            Some(next) => token = next.to_owned(),
        }
        if !link.is_free().await {
            link = HttpConnection::connect(address, CONNECT_TIMEOUT, false)
                .await
                .map_err(|_| "no connection")?;
        }
    }
    Err("too many pages")
}

fn parse_backend(instance: &Value) -> Option<Backend> {
    let text = |name: &str| instance.get(name).and_then(|v| v.as_str()).map(str::to_owned);
    let cold = text("coldRemaining").unwrap_or_default();
    let (number, unit) = match cold.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (cold.strip_suffix('s').unwrap_or("0"), 1000.0),
    };
    let slots = instance.get("capacitySlots").and_then(|v| v.as_u64()).unwrap_or(1);
    Some(Backend {
        id: text("id")?,
        service: text("service")?,
        address: text("address")?,
        zone: text("zone")?,
        slots: u32::try_from(slots).unwrap_or(u32::MAX),
        draining: text("state")? != "ready",
        cold_ms: (number.parse::<f64>().ok()? * unit).clamp(0.0, 600_000.0) as u32,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(slots: &str, cold: &str) -> Option<Backend> {
        let text = format!(
            r#"{{"id":"i","service":"s","address":"10.0.0.1:80","zone":"a","state":"ready","capacitySlots":{slots},"coldRemaining":"{cold}"}}"#
        );
        parse_backend(&sonic_rs::from_str(&text).expect("an entry"))
    }

    /// Guards against a number that wraps: 4294967296 slots became none.
    #[test]
    fn numbers_of_the_platform_that_are_too_large_are_held_as_the_largest() {
        for slots in ["4294967296", "18446744073709551615"] {
            assert_eq!(parse(slots, "0ms").map(|backend| backend.slots), Some(u32::MAX), "{slots}");
        }
        for cold in ["1e300s", "1e309s", "9223372036854775807s"] {
            assert_eq!(parse("2", cold).map(|backend| backend.cold_ms), Some(600_000), "{cold}");
        }
    }
}
