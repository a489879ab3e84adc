//! The effect of a patch on a configuration, computed on JSON values.

use serde_json::{Value, json};

/// The configuration after a patch: items are removed, then replaced or appended.
pub(crate) fn patched(base: &Value, patch: &Value) -> Value {
    let mut document = base.clone();
    document["revision"] = patch["revision"].clone();
    for (list, labels) in patch["remove"].as_object().into_iter().flatten() {
        let labels = labels.as_array().expect("labels are removed");
        if let Some(items) = document.get_mut(list).and_then(Value::as_array_mut) {
            items.retain(|item| !labels.contains(&item["label"]));
        }
    }
    for (list, new_items) in patch["upsert"].as_object().into_iter().flatten() {
        if document.get(list).is_none_or(Value::is_null) {
            document[list] = json!([]);
        }
        let items = document[list].as_array_mut().expect("items are listed");
        for new in new_items.as_array().expect("items are upserted") {
            match items.iter_mut().find(|item| item["label"] == new["label"]) {
                Some(item) => *item = new.clone(),
                None => items.push(new.clone()),
            }
        }
    }
    document
}
