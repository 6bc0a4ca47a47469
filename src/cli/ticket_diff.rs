//! The difference between the objects in force and those of a ticket.

use serde_json::Value;

use super::report::{TextRole, value_text};

const DIGEST_DIGITS: usize = 12;

/// One line of a difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct DiffLine {
    pub(super) role: TextRole,
    pub(super) text: String,
}

/// The difference lines for the objects of a preview.
pub(super) fn diff_lines(objects: &[Value]) -> Vec<DiffLine> {
    objects.iter().flat_map(object_lines).collect()
}

fn object_lines(object: &Value) -> Vec<DiffLine> {
    let (before, after) = (&object["before"]["state"], &object["after"]["state"]);
    let (role, sign) = match (before.is_null(), after.is_null()) {
        (true, true) => (TextRole::Plain, '='),
        (true, false) => (TextRole::Added, '+'),
        (false, true) => (TextRole::Removed, '-'),
        (false, false) if before == after => (TextRole::Plain, '='),
        (false, false) => (TextRole::Changed, '~'),
    };
    let (kind, name) = (value_text(&object["after"]["kind"]), value_text(&object["after"]["name"]));
    let mut lines = vec![DiffLine { role, text: format!("{sign} {kind} {name}") }];
    for field in field_names(before, after) {
        lines.extend(field_lines(&field, &before[&field], &after[&field]));
    }
    lines
}

fn field_names(before: &Value, after: &Value) -> Vec<String> {
    let names = [before, after].into_iter().filter_map(Value::as_object);
    let mut names: Vec<String> = names.flat_map(|fields| fields.keys().cloned()).collect();
    names.sort();
    names.dedup();
    names
}

fn field_lines(field: &str, before: &Value, after: &Value) -> Vec<DiffLine> {
    if before == after {
        return Vec::new();
    }
    if field == "keys" {
        return key_lines(before, after);
    }
    let (role, text) = match (before.is_null(), after.is_null()) {
        (true, _) => (TextRole::Added, value_text(after)),
        (_, true) => (TextRole::Removed, value_text(before)),
        _ => (TextRole::Changed, format!("{} -> {}", value_text(before), value_text(after))),
    };
    vec![DiffLine { role, text: format!("    {field}: {text}") }]
}

fn key_lines(before: &Value, after: &Value) -> Vec<DiffLine> {
    let keys = |value: &Value| value.as_array().cloned().unwrap_or_default();
    let (before, after) = (keys(before), keys(after));
    let removed = before.iter().filter(|key| !after.contains(key));
    let removed = removed.map(|key| key_line(TextRole::Removed, '-', key));
    let new = after.iter().filter(|key| !before.contains(key));
    let new = new.map(|key| key_line(TextRole::Added, '+', key));
    removed.chain(new).collect()
}

fn key_line(role: TextRole, sign: char, key: &Value) -> DiffLine {
    let digest: String = value_text(&key["digest"]).chars().take(DIGEST_DIGITS).collect();
    let state = if key["withdrawn"] == true { "withdrawn" } else { "working" };
    DiffLine { role, text: format!("    keys: {sign} {digest}.. {state}") }
}
