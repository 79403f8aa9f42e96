//! Looks into parsed JSON by dotted paths, with messages that name the field.

pub use miniserde::json::Value;
use miniserde::json::{self, Number};

/// Parses JSON text.
pub fn parse(text: &str) -> Result<Value, String> {
    json::from_str(text).map_err(|_| "this is not JSON".to_owned())
}

/// The value at a dotted path, unless it is missing or null.
pub fn get<'a>(v: &'a Value, path: &str) -> Option<&'a Value> {
    let found = path.split('.').try_fold(v, |v, key| match v {
        Value::Object(fields) => fields.get(key),
        _ => None,
    })?;
    (!matches!(found, Value::Null)).then_some(found)
}

/// The value at a path, which has to be there and to read well.
pub fn need<'a, T>(v: &'a Value, path: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T, String> {
    maybe(v, path, read)?.ok_or_else(|| format!("field config: {path} is missing"))
}

/// The value at a path, which may be missing but has to read well.
pub fn maybe<'a, T>(
    v: &'a Value,
    path: &str,
    read: impl Fn(&'a Value) -> Option<T>,
) -> Result<Option<T>, String> {
    match get(v, path) {
        None => Ok(None),
        Some(found) => match read(found) {
            Some(value) => Ok(Some(value)),
            None => Err(format!("field config: {path} cannot be {}", json::to_string(found))),
        },
    }
}

/// A finite number.
pub fn number(v: &Value) -> Option<f64> {
    match v {
        Value::Number(Number::U64(n)) => Some(*n as f64),
        Value::Number(Number::I64(n)) => Some(*n as f64),
        Value::Number(Number::F64(n)) => Some(*n).filter(|n| n.is_finite()),
        _ => None,
    }
}

/// A whole number from 0 on.
pub fn whole(v: &Value) -> Option<u64> {
    match v {
        Value::Number(Number::U64(n)) => Some(*n),
        Value::Number(Number::I64(n)) => u64::try_from(*n).ok(),
        _ => None,
    }
}

/// A count.
pub fn count(v: &Value) -> Option<u32> {
    whole(v).and_then(|n| u32::try_from(n).ok())
}

/// A span of time.
pub fn span(v: &Value) -> Option<u64> {
    whole(v).or_else(|| number(v).filter(|n| *n >= 0.0 && *n < 9e15).map(|n| n as u64))
}

/// The number of a place.
pub fn place(v: &Value) -> Option<i64> {
    match v {
        Value::Number(Number::U64(n)) => i64::try_from(*n).ok(),
        Value::Number(Number::I64(n)) => Some(*n),
        _ => None,
    }
}

/// A text.
pub fn text(v: &Value) -> Option<&str> {
    match v {
        Value::String(s) => Some(s),
        _ => None,
    }
}

/// A text of one's own.
pub fn word(v: &Value) -> Option<String> {
    text(v).map(str::to_owned)
}

/// True or false.
pub fn flag(v: &Value) -> Option<bool> {
    match v {
        Value::Bool(b) => Some(*b),
        _ => None,
    }
}

/// A list.
pub fn array(v: &Value) -> Option<&[Value]> {
    match v {
        Value::Array(list) => Some(list),
        _ => None,
    }
}
