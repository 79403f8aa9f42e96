//! Plays one case of the review: `stand CASE ROOT FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. With TROUBLE=0 in the environment it does the same without the disruption.

mod caller;
mod cases;
mod channel;
mod processor;
mod proxy;
mod record;
mod relay;
mod server;
mod sys;

use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// A case takes no longer.
const LONGEST: Duration = Duration::from_secs(110);

/// What a case has seen.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &words[..] else {
        eprintln!("stand CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("record.txt: {e}");
            return ExitCode::from(2);
        }
    };
    record.note(
        "case",
        &format!("{case}, {}", if trouble { "with the disruption" } else { "without the disruption" }),
    );
    let late = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST);
        late.note("case", "could not run: it has taken too long");
        // Its processes end with it.
        std::process::exit(2);
    });
    let played = std::panic::catch_unwind(|| {
        let platform = proxy::Platform::new(Path::new(root), &record)?;
        cases::play(case, &platform, &record, trouble)
    });
    let (code, text) = match played {
        Ok(Ok(Verdict::Held(text))) => (0, format!("rule held: {text}")),
        Ok(Ok(Verdict::Broken(text))) => (1, format!("RULE BROKEN: {text}")),
        Ok(Err(text)) => (2, format!("could not run: {text}")),
        Err(_) => (2, "could not run: a stand-in failed".to_owned()),
    };
    record.note("case", &text);
    println!("{text}");
    ExitCode::from(code)
}
