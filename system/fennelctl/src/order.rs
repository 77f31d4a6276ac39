//! Orders of the operators: items with a field that says what is wanted of them.

use crate::gateway::{Asked, Gateways};
use crate::print;
use sonic_rs::{JsonContainerTrait, JsonValueMutTrait, JsonValueTrait, Value};
use std::process::ExitCode;

/// A text of an object; empty without.
pub fn text(value: &Value, name: &str) -> String {
    value.get(name).and_then(|v| v.as_str()).unwrap_or_default().to_owned()
}

/// A list of an object; empty without.
pub fn items(value: &Value, name: &str) -> Vec<Value> {
    value.get(name).and_then(|v| v.as_array()).map(|list| list.to_vec()).unwrap_or_default()
}

/// An order's item with another state, under the next version; none if there is no such order.
fn changed(standing: &str, list: &str, name: &str, state: &str, by: Option<&str>) -> Option<String> {
    let standing: Value = sonic_rs::from_str(standing).ok()?;
    let mut order = items(&standing, list).into_iter().find(|order| text(order, "name") == name)?;
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

/// Changes what is wanted of an order of a list. Whoever changed it in between is heard: 409, nothing has changed.
pub async fn change(gateways: &Gateways, list: &str, name: &str, state: &str, by: Option<&str>) -> ExitCode {
    let standing = match gateways.clear("GET", "/fennelscale/config", "").await {
        Asked::Answered(200, body) => body,
        other => return print(other),
    };
    let Some(body) = changed(&standing, list, name, state, by) else {
        eprintln!("fennelctl: there is no order {name}");
        return ExitCode::FAILURE;
    };
    print(gateways.clear("PATCH", "/fennelscale/config", &body).await)
}

#[cfg(test)]
mod tests {
    use super::changed;

    const STANDING: &str = r#"{"workOrders":[{"name":"a","revision":"0000000f","state":"planned","length":"9s"},{"name":"b","revision":"00000001"}]}"#;

    #[test]
    fn an_order_is_changed_under_its_next_version_and_else_stays() {
        let body = changed(STANDING, "workOrders", "a", "approved", Some("Ana")).unwrap();
        for part in
            [r#""revision":"00000010""#, r#""state":"approved""#, r#""approvedBy":"Ana""#, r#""length":"9s""#]
        {
            assert!(body.contains(part), "{body}");
        }
        assert!(!body.contains(r#""name":"b""#));
        assert_eq!(changed(STANDING, "workOrders", "c", "approved", None), None);
        assert_eq!(changed("{", "workOrders", "a", "approved", None), None);
    }
}
