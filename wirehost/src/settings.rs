//! Reads the settings of a `HELLO` into the library's words.

use roadyard::{Class, Effect, Group, Settings, Tenant};
use serde_json::Value;

/// What one controller's adapter needs from the settings.
pub struct Start {
    /// The library's settings.
    pub settings: Settings,
    /// Report values by position.
    pub columns: Vec<String>,
    /// Whether a full processor states a wait.
    pub gives_wait: bool,
}

fn get<'a>(v: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.').try_fold(v, |v, key| v.get(key)).filter(|v| !v.is_null())
}

fn need<T>(v: &Value, path: &str, read: impl Fn(&Value) -> Option<T>) -> Result<T, String> {
    maybe(v, path, read)?.ok_or_else(|| format!("field config: {path} is missing"))
}

fn maybe<T>(v: &Value, path: &str, read: impl Fn(&Value) -> Option<T>) -> Result<Option<T>, String> {
    match get(v, path) {
        None => Ok(None),
        Some(found) => match read(found) {
            Some(value) => Ok(Some(value)),
            None => Err(format!("field config: {path} cannot be {found}")),
        },
    }
}

fn number(v: &Value) -> Option<f64> {
    v.as_f64().filter(|n| n.is_finite())
}

fn span(v: &Value) -> Option<u64> {
    v.as_u64().or_else(|| number(v).filter(|n| *n >= 0.0 && *n < 9e15).map(|n| n as u64))
}

fn place(v: &Value) -> Option<i64> {
    v.as_i64()
}

fn word(v: &Value) -> Option<String> {
    v.as_str().map(str::to_owned)
}

fn array(v: &Value) -> Option<Vec<Value>> {
    v.as_array().cloned()
}

fn class(v: &Value, places: Option<Vec<i64>>) -> Result<Class, String> {
    Ok(Class {
        goal: need(v, "goal_time", span)?,
        limit: need(v, "hard_limit", span)?,
        worth: need(v, "credit", number)?,
        late_worth: need(v, "late_worth", number)?,
        effect: need(v, "effect", |v| match v.as_str()? {
            "safe" => Some(Effect::Safe),
            "keyed" => Some(Effect::Keyed),
            "unsafe" => Some(Effect::Unsafe),
            _ => None,
        })?,
        group: need(v, "group", |v| match v.as_str()? {
            "all" => Some(Group::All),
            "zone" => Some(Group::Zone),
            "cell" => Some(Group::Place),
            _ => None,
        })?,
        window: need(v, "window", span)?,
        places,
    })
}

/// Reads one settings object; unknown keys are skipped.
pub fn read(text: &str) -> Result<Start, String> {
    let v: Value = serde_json::from_str(text).map_err(|e| format!("field config: {e}"))?;
    let mut pools = maybe(&v, "specifics.allowed_pools", array)?.into_iter().flatten();
    let mut classes = Vec::new();
    for profile in need(&v, "profiles", array)? {
        let places = match pools.next() {
            None | Some(Value::Null) => None,
            Some(Value::Array(list)) => Some(
                list.iter()
                    .map(place)
                    .collect::<Option<Vec<_>>>()
                    .ok_or("field config: allowed_pools holds no number")?,
            ),
            Some(other) => return Err(format!("field config: allowed_pools cannot be {other}")),
        };
        classes.push(class(&profile, places)?);
    }
    let mut tenants = Vec::new();
    for party in maybe(&v, "parties", array)?.into_iter().flatten() {
        let share = need(&party, "fraction", number)?;
        tenants.push(Tenant { share });
    }
    let asked = need(&v, "registry_mode", word)? == "subscribe";
    let flag = |path: &str| need(&v, path, Value::as_bool);
    let settings = Settings {
        nodes: need(&v, "balancers", |v| v.as_u64().and_then(|n| u32::try_from(n).ok()))?,
        classes,
        tenants,
        over_share_worth: need(&v, "over_share_worth", number)?,
        attempt_limit: need(&v, "limits.try_limit", |v| v.as_u64().and_then(|n| u32::try_from(n).ok()))?,
        release_wait: need(&v, "specifics.release_guard", span)?,
        start_capacity: need(&v, "contract.start_capacity", number)?,
        cold: need(&v, "contract.cold", span)?,
        fall_multiple: need(&v, "contract.fall_multiple", number)?,
        fall: need(&v, "contract.fall", span)?,
        repeat: maybe(&v, "specifics.repeat", span)?.filter(|gap| *gap > 0),
        max_hold_off: match flag("limits.retry_after")? {
            true => Some(need(&v, "limits.max_retry_after", span)?),
            false => None,
        },
        may_cancel: flag("limits.cancel")?,
        may_probe: flag("limits.probes")?,
        may_tell: flag("limits.peers")?,
        ask_list: match asked {
            true => Some(need(&v, "contract.ask_every", span)?),
            false => None,
        },
        own_place: maybe(&v, "specifics.self_no", place)?.filter(|p| *p >= 0),
    };
    let columns = maybe(&v, "report.columns", array)?
        .into_iter()
        .flatten()
        .map(|c| word(&c).ok_or_else(|| format!("field config: report.columns cannot hold {c}")))
        .collect::<Result<_, _>>()?;
    Ok(Start {
        settings,
        columns,
        gives_wait: maybe(&v, "specifics.gives_wait", Value::as_bool)? == Some(true),
    })
}
