//! Operators' orders: configuration items with a field for their desired state.

use crate::print_result;
use crate::registry_client::{CallResult, RegistryClient};
use fennelscale_log_writer::print_message;
use sonic_rs::{JsonContainerTrait, JsonValueMutTrait, JsonValueTrait, Value};
use std::process::ExitCode;

/// A string field of an object; empty if absent.
pub fn text(value: &Value, name: &str) -> String {
    value.get(name).and_then(|v| v.as_str()).unwrap_or_default().to_owned()
}

/// An array field of an object; empty if absent.
pub fn items(value: &Value, name: &str) -> Vec<Value> {
    value.get(name).and_then(|v| v.as_array()).map(|list| list.to_vec()).unwrap_or_default()
}

/// Builds the call that sets an order's state with the next version; `None` if the order does not exist.
fn with_state(config: &str, list: &str, name: &str, state: &str, by: Option<&str>) -> Option<String> {
    let config: Value = sonic_rs::from_str(config).ok()?;
    let mut order = items(&config, list).into_iter().find(|order| text(order, "name") == name)?;
    let revision = u64::from_str_radix(&text(&order, "revision"), 16).ok()? + 1;
    let object = order.as_object_mut()?;
    object.insert("state", state);
    object.insert("revision", format!("{revision:08x}").as_str());
    if let Some(by) = by {
        object.insert("approvedBy", by);
    }
    let order = sonic_rs::to_string(&order).ok()?;
    Some(format!("{{\"upsert\":{{\"{list}\":[{order}]}}}}"))
}

/// Sets the desired state of an order. A concurrent change leads to a 409, and nothing is changed.
pub async fn set_state(
    registries: &RegistryClient, list: &str, name: &str, state: &str, by: Option<&str>,
) -> ExitCode {
    let config = match registries.call("GET", "/fennelscale/config", "").await {
        CallResult::Response(200, body) => body,
        other => return print_result(other),
    };
    let Some(body) = with_state(&config, list, name, state, by) else {
        print_message!("fennelctl: there is no order {name}");
        return ExitCode::FAILURE;
    };
    print_result(registries.call("PATCH", "/fennelscale/config", &body).await)
}

#[cfg(test)]
mod tests {
    use super::with_state;

    const CONFIG: &str = r#"{"workOrders":[{"name":"a","revision":"0000000f","state":"planned","length":"9s"},{"name":"b","revision":"00000001"}]}"#;

    #[test]
    fn an_order_gets_its_next_version_and_keeps_its_other_fields() {
        let body = with_state(CONFIG, "workOrders", "a", "approved", Some("Ana")).unwrap();
        for part in
            [r#""revision":"00000010""#, r#""state":"approved""#, r#""approvedBy":"Ana""#, r#""length":"9s""#]
        {
            assert!(body.contains(part), "{body}");
        }
        assert!(!body.contains(r#""name":"b""#));
        assert_eq!(with_state(CONFIG, "workOrders", "c", "approved", None), None);
        assert_eq!(with_state("{", "workOrders", "a", "approved", None), None);
    }
}
