//! What is kept of a run: figures as JSON, and its series in a columnar file (Arrow IPC) beside it.

use arrow_array::{ArrayRef, Float64Array, RecordBatch, UInt32Array, UInt64Array};
use arrow_ipc::reader::FileReader;
use arrow_ipc::writer::FileWriter;
use arrow_schema::{ArrowError, DataType, Field, Schema};
use fernspan_model::callers::{FATES, Fate};
use fernspan_model::check::Broken;
use fernspan_model::report::{Figures, Person, Record, Sample};
use fernspan_model::server::Tally;
use fernspan_model::sites::Loss;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// What a report says.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// `emulated` or `real`.
    pub played: &'static str,
    /// Its seed.
    pub seed: u64,
    /// Proxies.
    pub proxies: u32,
    /// Servers.
    pub servers: usize,
    /// Seconds of calls.
    pub seconds: f64,
    /// Wall-clock time that the run took, in seconds.
    pub took_s: f64,
    /// The figures.
    pub figures: Figures,
    /// What each loss of whole sites cost.
    pub losses: Vec<Loss>,
    /// How often each rule was broken.
    pub broken: std::collections::BTreeMap<String, u64>,
    /// The first breaks in words.
    pub first: Vec<String>,
    /// What the rig measured of the machine; absent in the emulator.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub machine: Option<crate::real::Machine>,
}

/// The series of one run, as read back.
#[derive(Clone, Debug, Default)]
pub struct Series {
    /// Callers by the second of their first try, each fate in the order of [`FATES`].
    pub seconds: Vec<[u32; FATES.len()]>,
    /// Servers over time.
    pub samples: Vec<Sample>,
}

/// Where the series of a report lie: beside it, with another ending.
pub fn beside(report: &Path, what: &str) -> PathBuf {
    report.with_extension(format!("{what}.arrow"))
}

/// The breaks in words, as a report has them.
pub fn words(broken: &[Broken]) -> Vec<String> {
    broken.iter().take(20).map(Broken::to_string).collect()
}

fn write(path: &Path, columns: Vec<(&str, ArrayRef)>) -> Result<(), ArrowError> {
    let fields: Vec<Field> =
        columns.iter().map(|(name, column)| Field::new(*name, column.data_type().clone(), false)).collect();
    let schema = Arc::new(Schema::new(fields));
    let batch = RecordBatch::try_new(schema.clone(), columns.into_iter().map(|c| c.1).collect())?;
    let file = File::create(path).map_err(|e| ArrowError::IoError(path.display().to_string(), e))?;
    let mut writer = FileWriter::try_new(file, &schema)?;
    writer.write(&batch)?;
    writer.finish()
}

fn u64s(values: impl Iterator<Item = u64>) -> ArrayRef {
    Arc::new(UInt64Array::from_iter_values(values))
}

fn u32s(values: impl Iterator<Item = u32>) -> ArrayRef {
    Arc::new(UInt32Array::from_iter_values(values))
}

fn f64s(values: impl Iterator<Item = f64>) -> ArrayRef {
    Arc::new(Float64Array::from_iter_values(values))
}

fn fate(f: Fate) -> u32 {
    FATES.iter().position(|x| *x == f).unwrap_or(0) as u32
}

/// Writes a run's series: `callers` and `servers`.
///
/// # Errors
/// A file that cannot be written.
pub fn save(report: &Path, record: &Record) -> Result<(), ArrowError> {
    let people = || record.people.iter();
    write(
        &beside(report, "callers"),
        vec![
            ("first_us", u64s(people().map(|p| p.first))),
            ("channel", u32s(people().map(|p| p.channel as u32))),
            ("fate", u32s(people().map(|p| fate(p.fate)))),
            ("stood_us", u64s(people().map(|p| p.stood_after.unwrap_or(0)))),
            ("tries", u32s(people().map(|p| p.tries))),
            ("second_choice", u32s(people().map(|p| u32::from(p.second_choice)))),
            ("cause", u32s(people().map(|p| u32::from(p.cause)))),
        ],
    )?;
    let samples = || record.samples.iter();
    write(
        &beside(report, "servers"),
        vec![
            ("at_us", u64s(samples().map(|s| s.at))),
            ("server", u32s(samples().map(|s| s.server as u32))),
            ("site", u32s(samples().map(|s| s.site as u32))),
            ("setups", u64s(samples().map(|s| s.did.setups))),
            ("stood", u64s(samples().map(|s| s.did.stood))),
            ("throttled", u64s(samples().map(|s| s.did.throttled))),
            ("congestion", u64s(samples().map(|s| s.did.congestion))),
            ("errors", u64s(samples().map(|s| s.did.errors))),
            ("work_s", f64s(samples().map(|s| s.did.work))),
            ("wasted_s", f64s(samples().map(|s| s.did.wasted))),
            ("rate", f64s(samples().map(|s| s.rate))),
            ("capacity", f64s(samples().map(|s| s.capacity))),
            ("calls", u32s(samples().map(|s| s.calls))),
            ("queue", u32s(samples().map(|s| s.queue))),
            ("connections", u32s(samples().map(|s| s.connections))),
            ("room", u32s(samples().map(|s| u32::from(s.room)))),
        ],
    )
}

struct Columns(RecordBatch);

impl Columns {
    fn read(path: &Path) -> Result<Columns, ArrowError> {
        let file = File::open(path).map_err(|e| ArrowError::IoError(path.display().to_string(), e))?;
        let mut reader = FileReader::try_new(file, None)?;
        let empty = || ArrowError::ParseError(format!("{} is empty", path.display()));
        Ok(Columns(reader.next().ok_or_else(empty)??))
    }

    /// A column as whole numbers, or as figures.
    fn column(&self, name: &str) -> Result<Vec<f64>, ArrowError> {
        let missing = || ArrowError::SchemaError(format!("there is no column {name}"));
        let column = self.0.column_by_name(name).ok_or_else(missing)?;
        let any = column.as_any();
        match column.data_type() {
            DataType::UInt32 => {
                let values = any.downcast_ref::<UInt32Array>().ok_or_else(missing)?.values();
                Ok(values.iter().map(|v| f64::from(*v)).collect())
            }
            DataType::UInt64 => {
                let values = any.downcast_ref::<UInt64Array>().ok_or_else(missing)?.values();
                Ok(values.iter().map(|v| *v as f64).collect())
            }
            _ => Ok(any.downcast_ref::<Float64Array>().ok_or_else(missing)?.values().to_vec()),
        }
    }
}

/// Reads a run's series back.
///
/// # Errors
/// A file that is missing, or is none of ours.
pub fn load(report: &Path) -> Result<Series, ArrowError> {
    let c = Columns::read(&beside(report, "callers"))?;
    let (first, fates) = (c.column("first_us")?, c.column("fate")?);
    let mut record = Record::new(0);
    record.people = first
        .iter()
        .zip(&fates)
        .map(|(first, fate)| Person {
            first: *first as u64,
            channel: 0,
            fate: FATES[(*fate as usize).min(FATES.len() - 1)],
            stood_after: None,
            tries: 0,
            second_choice: false,
            cause: 0,
        })
        .collect();
    let s = Columns::read(&beside(report, "servers"))?;
    let columns: Vec<Vec<f64>> = [
        "at_us",
        "server",
        "site",
        "setups",
        "stood",
        "throttled",
        "congestion",
        "errors",
        "work_s",
        "wasted_s",
        "rate",
        "capacity",
        "calls",
        "queue",
        "connections",
        "room",
    ]
    .iter()
    .map(|name| s.column(name))
    .collect::<Result<_, _>>()?;
    let samples = (0..columns[0].len()).map(|i| Sample {
        at: columns[0][i] as u64,
        server: columns[1][i] as usize,
        site: columns[2][i] as usize,
        did: Tally {
            setups: columns[3][i] as u64,
            stood: columns[4][i] as u64,
            throttled: columns[5][i] as u64,
            congestion: columns[6][i] as u64,
            errors: columns[7][i] as u64,
            work: columns[8][i],
            wasted: columns[9][i],
        },
        rate: columns[10][i],
        capacity: columns[11][i],
        calls: columns[12][i] as u32,
        queue: columns[13][i] as u32,
        connections: columns[14][i] as u32,
        room: columns[15][i] > 0.0,
    });
    Ok(Series { seconds: record.by_second(), samples: samples.collect() })
}
