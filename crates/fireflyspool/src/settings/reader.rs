//! Typed access to a parsed settings file that collects every fault.

use std::time;

use serde_json::{Map, Value};

use crate::settings;

/// Reads the values of one mapping and records the keys asked for, to find unknown ones.
pub(super) struct Reader<'a> {
    path: String,
    map: &'a Map<String, Value>,
    known_keys: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    pub(super) fn new(
        path: &str,
        value: &'a Value,
        faults: &mut Vec<settings::Fault>,
    ) -> Option<Self> {
        match value {
            Value::Object(map) => Some(Self {
                path: path.to_owned(),
                map,
                known_keys: Vec::new(),
            }),
            _ => {
                let path = if path.is_empty() { "file" } else { path };
                faults.push(fault(path, "expected a mapping"));
                None
            }
        }
    }

    pub(super) fn value(&mut self, key: &'static str) -> Option<&'a Value> {
        self.known_keys.push(key);
        self.map.get(key).filter(|value| !value.is_null())
    }

    /// Reads a scalar and parses it; a missing or null key is a fault.
    pub(super) fn required<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
        faults: &mut Vec<settings::Fault>,
    ) -> Option<T> {
        match self.value(key) {
            Some(value) => self.parse(key, value, expected, parse, faults),
            None => {
                faults.push(fault(
                    &self.path_of(key),
                    &format!("missing; expected {expected}"),
                ));
                None
            }
        }
    }

    /// Reads a scalar and parses it; a missing or null key takes the default.
    pub(super) fn optional<T>(
        &mut self,
        key: &'static str,
        expected: &str,
        default: T,
        parse: impl Fn(&str) -> Option<T>,
        faults: &mut Vec<settings::Fault>,
    ) -> T {
        match self.value(key) {
            Some(value) => {
                let parsed = self.parse(key, value, expected, parse, faults);
                parsed.unwrap_or(default)
            }
            None => default,
        }
    }

    pub(super) fn duration(
        &mut self,
        key: &'static str,
        default: time::Duration,
        faults: &mut Vec<settings::Fault>,
    ) -> time::Duration {
        let parse = |text: &str| humantime::parse_duration(text).ok();
        self.optional(
            key,
            "a duration with its unit, such as 3s",
            default,
            parse,
            faults,
        )
    }

    /// Adds a fault for each key of the mapping that was never asked for.
    pub(super) fn finish(self, faults: &mut Vec<settings::Fault>) {
        for key in self.map.keys() {
            if !self.known_keys.contains(&key.as_str()) {
                let known = self.known_keys.join(", ");
                let message = format!("unknown key; known here: {known}");
                faults.push(fault(&self.path_of(key), &message));
            }
        }
    }

    pub(super) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn parse<T>(
        &self,
        key: &str,
        value: &Value,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
        faults: &mut Vec<settings::Fault>,
    ) -> Option<T> {
        let text = match value {
            Value::String(text) => text.clone(),
            Value::Number(number) => number.to_string(),
            Value::Bool(flag) => flag.to_string(),
            _ => String::new(),
        };
        let parsed = parse(&text);
        if parsed.is_none() {
            let message = format!("expected {expected}, found {value}");
            faults.push(fault(&self.path_of(key), &message));
        }
        parsed
    }
}

pub(super) fn fault(path: &str, message: &str) -> settings::Fault {
    settings::Fault {
        path: path.to_owned(),
        message: message.to_owned(),
    }
}
