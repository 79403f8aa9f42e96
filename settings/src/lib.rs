//! Reads the settings object into the library's words. The simulator's `HELLO` and the platform's
//! configuration carry the same object.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod json;

use fernspan_core::{Class, Effect, Group, Settings, Tenant};
use json::{array, maybe, need, number, place, span, word};
use miniserde::json::Value;

/// What the host of one controller needs from the settings.
pub struct Start {
    /// The library's settings.
    pub settings: Settings,
    /// Report values by position.
    pub columns: Vec<String>,
    /// Whether a full processor states a wait.
    pub gives_wait: bool,
}

fn class(v: &Value, places: Option<Vec<i64>>) -> Result<Class, String> {
    Ok(Class {
        name: maybe(v, "name", word)?.unwrap_or_default(),
        goal: need(v, "goal_time", span)?,
        limit: need(v, "hard_limit", span)?,
        worth: need(v, "credit", number)?,
        late_worth: need(v, "late_worth", number)?,
        effect: need(v, "effect", |v| match json::text(v)? {
            "safe" => Some(Effect::Safe),
            "keyed" => Some(Effect::Keyed),
            "unsafe" => Some(Effect::Unsafe),
            _ => None,
        })?,
        group: need(v, "group", |v| match json::text(v)? {
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
    from_value(&json::parse(text).map_err(|e| format!("field config: {e}"))?)
}

/// Reads a settings object that is already parsed; unknown keys are skipped.
pub fn from_value(v: &Value) -> Result<Start, String> {
    let mut pools = maybe(v, "specifics.allowed_pools", array)?.into_iter().flatten();
    let mut classes = Vec::new();
    for profile in need(v, "profiles", array)? {
        let places = match pools.next() {
            None | Some(Value::Null) => None,
            Some(Value::Array(list)) => Some(
                list.iter()
                    .map(place)
                    .collect::<Option<Vec<_>>>()
                    .ok_or("field config: allowed_pools holds no number")?,
            ),
            Some(other) => {
                return Err(format!(
                    "field config: allowed_pools cannot be {}",
                    miniserde::json::to_string(other)
                ));
            }
        };
        classes.push(class(profile, places)?);
    }
    let mut tenants = Vec::new();
    for party in maybe(v, "parties", array)?.into_iter().flatten() {
        let share = need(party, "fraction", number)?;
        tenants.push(Tenant { share });
    }
    let asked = need(v, "registry_mode", word)? == "subscribe";
    let flag = |path: &str| need(v, path, json::flag);
    let settings = Settings {
        nodes: need(v, "balancers", json::count)?,
        classes,
        tenants,
        over_share_worth: need(v, "over_share_worth", number)?,
        attempt_limit: need(v, "limits.try_limit", json::count)?,
        release_wait: need(v, "specifics.release_guard", span)?,
        start_capacity: need(v, "contract.start_capacity", number)?,
        cold: need(v, "contract.cold", span)?,
        fall_multiple: need(v, "contract.fall_multiple", number)?,
        fall: need(v, "contract.fall", span)?,
        repeat: maybe(v, "specifics.repeat", span)?.filter(|gap| *gap > 0),
        max_hold_off: match flag("limits.retry_after")? {
            true => Some(need(v, "limits.max_retry_after", span)?),
            false => None,
        },
        may_cancel: flag("limits.cancel")?,
        may_probe: flag("limits.probes")?,
        probe_price: maybe(v, "costs.probe", number)?.unwrap_or(0.0),
        may_tell: flag("limits.peers")?,
        ask_list: match asked {
            true => Some(need(v, "contract.ask_every", span)?),
            false => None,
        },
        own_place: maybe(v, "specifics.self_no", place)?.filter(|p| *p >= 0),
    };
    let columns = maybe(v, "report.columns", array)?
        .into_iter()
        .flatten()
        .map(|c| {
            word(c).ok_or_else(|| {
                format!("field config: report.columns cannot hold {}", miniserde::json::to_string(c))
            })
        })
        .collect::<Result<_, _>>()?;
    Ok(Start { settings, columns, gives_wait: maybe(v, "specifics.gives_wait", json::flag)? == Some(true) })
}
