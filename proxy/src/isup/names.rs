//! What set-ups may name by the settings, and how a set-up is read by that.

use super::*;
use crate::classes::ClassTable;
use crate::clock::unix_now;
use crate::engine::{Request, Source};
use fernspan_core::{Class, Place, Time};
use std::cell::RefCell;
use std::rc::Rc;

/// A class that set-ups may name.
#[derive(Clone, Debug)]
pub struct NamedClass {
    /// Its name.
    pub name: Rc<str>,
    /// Its number in the core.
    pub number: usize,
    /// How long its callers wait at most, and where a set-up does not say.
    pub patience: Time,
    /// Where it may go; any place without.
    pub places: Option<Vec<Place>>,
}

/// What set-ups may name.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The classes.
    pub classes: Vec<NamedClass>,
    /// The tenants, in the order of the settings.
    pub tenants: Vec<String>,
    /// How long a caller that is refused is told to stay away.
    pub hold_off: Option<Time>,
}

impl Names {
    /// What the settings name, with the numbers that the core has for the classes.
    pub fn new(classes: &ClassTable, tenants: Vec<String>, hold_off: Option<Time>) -> Self {
        let named = |(number, rules): (usize, &Class)| NamedClass {
            name: classes.name(number),
            number,
            patience: rules.limit,
            places: rules.places.clone(),
        };
        Names { classes: classes.listed().map(named).collect(), tenants, hold_off }
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<&NamedClass> {
        self.classes.iter().find(|class| *class.name == *name)
    }

    /// A set-up in the engine's words, or the cause for which it fails. Guards the servers, which close on what
    /// they cannot read with all that is open on the connection, and the callers whose share and windows a
    /// bad set-up would use.
    pub fn request(&self, m: &Message, source: Source, most_units: u32) -> Result<Request, u8> {
        if m.call == 0 {
            return Err(CAUSE_NO_SUCH_CALL);
        }
        let m = SetupFields::of(m);
        let text = |code| m.text(code);
        let class = self.class(text(CLASS)?).ok_or(CAUSE_INVALID)?;
        let tenant = match self.tenants.is_empty() {
            true => None,
            false => {
                let name = text(TENANT)?;
                Some(self.tenants.iter().position(|n| n == name).ok_or(CAUSE_INVALID)?)
            }
        };
        // In whole milliseconds, as a set-up states it.
        let limit = class.patience.div_ceil(1000) * 1000;
        let patience = match m.get(PATIENCE) {
            Some(_) => text(PATIENCE)?.parse::<Time>().ok().and_then(|ms| ms.checked_mul(1000)),
            None => Some(limit),
        };
        let number = text(NUMBER)?;
        let figures = setup_figures(text(FIGURES)?).ok_or(CAUSE_INVALID)?;
        let first_choice = figures.first_choice.ok_or(CAUSE_INVALID)?;
        let goes = class.places.as_ref().is_none_or(|places| places.contains(&first_choice));
        let units = figures.units.unwrap_or(1);
        if !number_is_plain(number) || !goes || !(1..=most_units).contains(&units) {
            return Err(CAUSE_INVALID);
        }
        Ok(Request {
            id: m.call,
            source,
            at: unix_now(),
            patience: patience.filter(|us| (1..=limit).contains(us)).ok_or(CAUSE_INVALID)?,
            class: class.number,
            tenant,
            number: number.to_owned(),
            first_choice: Some(first_choice),
            units: f64::from(units),
            redialled: flag(m.get(RETRY).map(|_| text(RETRY)).transpose()?).ok_or(CAUSE_INVALID)?,
            cut_before: figures.cut_before,
            payload: m.get(DESCRIPTION).ok_or(CAUSE_MISSING)?.into(),
        })
    }
}

/// The fields of a set-up, found in one pass: a set-up may have thousands of others.
struct SetupFields<'a> {
    call: CallId,
    values: [Option<&'a [u8]>; FIELDS],
}

/// Codes of a set-up's fields lie between [`CLASS`] and [`DESCRIPTION`].
const FIELDS: usize = (DESCRIPTION - CLASS) as usize + 1;

impl<'a> SetupFields<'a> {
    /// The first of each code counts.
    fn of(message: &'a Message) -> Self {
        let mut values = [None; FIELDS];
        for (code, value) in message.parameters() {
            if let Some(field) = usize::from(code).checked_sub(CLASS.into()).and_then(|n| values.get_mut(n)) {
                field.get_or_insert(value);
            }
        }
        SetupFields { call: message.call, values }
    }

    fn get(&self, code: u8) -> Option<&'a [u8]> {
        self.values[usize::from(code - CLASS)]
    }

    /// A field that has to be there, or the cause for which its set-up fails.
    fn text(&self, code: u8) -> Result<&'a str, u8> {
        std::str::from_utf8(self.get(code).ok_or(CAUSE_MISSING)?).map_err(|_| CAUSE_INVALID)
    }
}

/// The names that hold now; a new configuration brings others.
pub type SharedNames = Rc<RefCell<Rc<Names>>>;

/// The figures of a set-up, as in `dest:2;width:1;via:-1`.
#[derive(Default)]
struct SetupFigures {
    first_choice: Option<Place>,
    units: Option<u32>,
    cut_before: bool,
}

/// `None` where a figure is no number.
fn setup_figures(text: &str) -> Option<SetupFigures> {
    let mut figures = SetupFigures::default();
    for figure in text.split(';') {
        match figure.split_once(':')? {
            ("dest", value) => figures.first_choice = Some(value.parse().ok()?),
            ("width", value) => figures.units = Some(value.parse().ok()?),
            ("again", value) => figures.cut_before = flag(Some(value))?,
            ("via", value) => drop(value.parse::<i64>().ok()?),
            _ => {}
        }
    }
    Some(figures)
}

/// A mark that is 1 or absent.
fn flag(value: Option<&str>) -> Option<bool> {
    match value {
        None | Some("0") => Some(false),
        Some("1") => Some(true),
        Some(_) => None,
    }
}

/// Whether a number can stand in a SIP address as it is.
fn number_is_plain(number: &str) -> bool {
    !number.is_empty() && number.bytes().all(|b| b.is_ascii_graphic() && !b"@<>\"".contains(&b))
}
