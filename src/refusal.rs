//! What is refused first where not all can be served, and when a refused caller is to come back.
//!
//! The order, from what goes first: traffic beyond a tenant's share, redials that would stand late, calls that would
//! stand late, and then by worth. Sans I/O and without a clock; the decision module refuses, this says whom first.

use crate::interface::{NewCall, Settings, Time};
use std::collections::BTreeMap;

/// Calls a tenant may be ahead of its share before the rest count as beyond it (ours).
pub const TENANT_SLACK: f64 = 3.0;
/// What a late redial is worth beside a late first try, ratio (ours): its caller has waited longer, and has the least
/// time left; it goes before no other.
pub const REDIAL: f64 = 0.5;
/// The shortest stay-away, as a share of the longest that callers honour (ours): spread over the upper half, redials
/// of those who were refused in one moment come over a second, and none comes much sooner.
pub const SOONEST: f64 = 0.5;

/// What a call may claim.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// By when it should stand.
    pub goal_at: Time,
    /// Beyond its tenant's share.
    pub over_share: bool,
    /// Its caller has called before, and the call did not stand.
    pub redial: bool,
}

/// Keeps what the order of refusal rests on.
#[derive(Debug)]
pub struct Refusal {
    /// Calls that each tenant may still make within its share.
    tenants: Vec<f64>,
    /// Numbers that were called and did not stand yet: first try, and when it is forgotten.
    tried: BTreeMap<(String, usize), (Time, Time)>,
}

impl Refusal {
    /// One that has seen no call.
    pub fn new(settings: &Settings) -> Self {
        Refusal { tenants: vec![TENANT_SLACK; settings.tenants.len()], tried: BTreeMap::new() }
    }

    /// Goes by other settings from now on. Tenants start with their slack anew where these are others.
    pub fn reconfigure(&mut self, settings: &Settings) {
        if self.tenants.len() != settings.tenants.len() {
            self.tenants = vec![TENANT_SLACK; settings.tenants.len()];
        }
    }

    /// Forgets the numbers that were called in a class, which is another one now.
    pub fn forget_class(&mut self, class: usize) {
        self.tried.retain(|(_, of), _| *of != class);
    }

    /// Takes a call of a class that exists.
    pub fn arrive(&mut self, now: Time, new: &NewCall, settings: &Settings) -> Claim {
        let first = self.first_try(now, new, settings);
        let over_share = self.charge_tenant(new.tenant, settings);
        Claim { goal_at: first + settings.classes[new.class].goal, over_share, redial: first < now }
    }

    /// A call stood: the next to its number is a new one.
    pub fn stood(&mut self, number: String, class: usize) {
        self.tried.remove(&(number, class));
    }

    /// Forgets what is over.
    pub fn turn(&mut self, now: Time) {
        self.tried.retain(|_, (_, until)| now < *until);
    }

    /// When the caller of a redial first tried. The goal counts from then, so a redial is mostly late already and must
    /// not take the place of a fresh call. Unmarked redials show by the number called: it was called a short while ago
    /// and never stood. Could wrong a second caller of a number in demand.
    fn first_try(&mut self, now: Time, new: &NewCall, settings: &Settings) -> Time {
        if new.cut_before {
            return now;
        }
        let class = &settings.classes[new.class];
        let key = (new.number.clone(), new.class);
        if let Some((first, _)) = self.tried.get(&key).filter(|(_, until)| now < *until) {
            return *first;
        }
        let first = if new.redialled { now.saturating_sub(class.goal) } else { now };
        self.tried.insert(key, (first, first + class.limit));
        first
    }

    /// Each arrival gives every tenant its share of a call and takes one from its own.
    fn charge_tenant(&mut self, tenant: Option<usize>, settings: &Settings) -> bool {
        for (left, t) in self.tenants.iter_mut().zip(&settings.tenants) {
            *left = (*left + t.share).min(TENANT_SLACK);
        }
        match tenant.and_then(|t| self.tenants.get_mut(t)) {
            Some(left) if *left >= 1.0 => *left -= 1.0,
            Some(_) => return true,
            None => {}
        }
        false
    }
}

/// What a held call is worth now: its class, whether it would stand late, its tenant's share. The least is refused
/// first.
pub fn value(settings: &Settings, class: usize, claim: Claim, late: bool) -> f64 {
    let of = &settings.classes[class];
    let late = match (late, claim.redial) {
        (false, _) => 1.0,
        (true, false) => of.late_worth,
        (true, true) => of.late_worth * REDIAL,
    };
    let over = if claim.over_share { settings.over_share_worth } else { 1.0 };
    of.worth * late * over
}

/// How long a refused caller is to stay away: as long as callers honour it, or, where many are refused in one moment as
/// a site is lost, so long or down to half, by a random number. Guards against a second wave of them all.
pub fn hold_off(settings: &Settings, wave: Option<u32>) -> Option<Time> {
    let part = wave.map_or(1.0, |draw| SOONEST + (1.0 - SOONEST) * f64::from(draw) / f64::from(u32::MAX));
    settings.max_hold_off.map(|most| (most as f64 * part) as Time)
}
