//! Reads and writes DNS messages. Pure, and no byte of input is trusted.

/// Response codes.
pub const NOERROR: u8 = 0;
pub const FORMERR: u8 = 1;
pub const SERVFAIL: u8 = 2;
pub const NXDOMAIN: u8 = 3;
pub const NOTIMP: u8 = 4;
pub const REFUSED: u8 = 5;
pub const BADVERS: u8 = 16;

/// Extended errors (RFC 8914).
pub const EDE_NOT_READY: u16 = 14;
pub const EDE_NOT_SUPPORTED: u16 = 21;
pub const EDE_NO_REACHABLE_AUTHORITY: u16 = 22;

const HEAD: usize = 12;
const QR: u16 = 0x8000;
const OPCODE: u16 = 0x7800;
const TC: u16 = 0x0200;
/// Recursion desired and checking disabled are the asker's; they go on and come back.
const ASKED: u16 = 0x0110;
const TYPE_NAPTR: u16 = 35;
const TYPE_OPT: u16 = 41;
const CLASS_IN: u16 = 1;
/// What is asked of name servers and offered to clients: no fragments (RFC 9715).
const EDNS_SIZE: u16 = 1232;
const PLAIN_SIZE: usize = 512;

/// The asker's EDNS.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Edns {
    size: u16,
    version: u8,
    dnssec: bool,
}

/// A query that asks one question.
#[derive(Clone, Debug)]
pub struct Query {
    pub id: u16,
    flags: u16,
    /// Name, type and class as they came.
    question: Vec<u8>,
    labels: Vec<Vec<u8>>,
    kind: u16,
    class: u16,
    edns: Option<Edns>,
}

/// What is wrong with a query.
#[derive(Debug)]
pub enum Bad {
    /// No query at all: no answer.
    Drop,
    /// Answered with this code, to this message id and flags.
    Answer(u16, u16, u8),
}

/// What a datagram from a name server is.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// Not to this question.
    NotOurs,
    /// To this question, but not whole or not well formed.
    Malformed,
    Truncated,
    Whole(u8),
}

fn u16_at(bytes: &[u8], at: usize) -> Option<u16> {
    Some(u16::from_be_bytes([*bytes.get(at)?, *bytes.get(at + 1)?]))
}

/// Walks a name and gives where it ends. Pointers must go back, so that a loop is no name.
fn skip_name(bytes: &[u8], mut at: usize, pointers: bool) -> Option<usize> {
    let (mut end, mut length, mut floor) = (None, 0, at);
    loop {
        match *bytes.get(at)? {
            0 => return Some(end.unwrap_or(at + 1)),
            n if n < 64 => {
                length += usize::from(n) + 1;
                at += usize::from(n) + 1;
            }
            n if n >= 0xc0 && pointers => {
                end.get_or_insert(at + 2);
                at = usize::from(u16_at(bytes, at)? & 0x3fff);
                if at >= floor {
                    return None;
                }
                floor = at;
            }
            _ => return None,
        }
        if length > 254 {
            return None;
        }
    }
}

/// One resource record: its type, class, time to live, and where its data lies.
struct Record {
    kind: u16,
    class: u16,
    ttl: u32,
    name: usize,
    data: usize,
    end: usize,
}

fn record(bytes: &[u8], name: usize) -> Option<Record> {
    let at = skip_name(bytes, name, true)?;
    let ttl = u32::from(u16_at(bytes, at + 4)?) << 16 | u32::from(u16_at(bytes, at + 6)?);
    let data = at + 10;
    let end = data + usize::from(u16_at(bytes, at + 8)?);
    let found = Record { kind: u16_at(bytes, at)?, class: u16_at(bytes, at + 2)?, ttl, name, data, end };
    (end <= bytes.len()).then_some(found)
}

/// Order, preference, three character strings and a name that fill the data (RFC 3403, 4.1).
fn naptr_is_whole(bytes: &[u8], r: &Record) -> bool {
    let strings = (0..3).try_fold(r.data + 4, |at, _| Some(at + 1 + usize::from(*bytes.get(at)?)));
    strings.filter(|at| *at < r.end).and_then(|at| skip_name(bytes, at, true)) == Some(r.end)
}

impl Query {
    pub fn parse(bytes: &[u8]) -> Result<Query, Bad> {
        let (Some(id), Some(flags), true) = (u16_at(bytes, 0), u16_at(bytes, 2), bytes.len() >= HEAD) else {
            return Err(Bad::Drop);
        };
        // Guards against answering answers, which two such programs could do for ever.
        if flags & QR != 0 {
            return Err(Bad::Drop);
        }
        let bad = |code| Bad::Answer(id, flags, code);
        if flags & OPCODE != 0 {
            return Err(bad(NOTIMP));
        }
        Self::body(bytes, id, flags).ok_or(bad(FORMERR))
    }

    fn body(bytes: &[u8], id: u16, flags: u16) -> Option<Query> {
        let counts = [u16_at(bytes, 4)?, u16_at(bytes, 6)?, u16_at(bytes, 8)?, u16_at(bytes, 10)?];
        if counts[..3] != [1, 0, 0] {
            return None;
        }
        let name_end = skip_name(bytes, HEAD, false)?;
        let question = bytes.get(HEAD..name_end + 4)?.to_vec();
        let mut labels = Vec::new();
        let mut at = HEAD;
        while at + 1 < name_end {
            let next = at + 1 + usize::from(bytes[at]);
            labels.push(bytes[at + 1..next].to_ascii_lowercase());
            at = next;
        }
        let mut edns = None;
        at = name_end + 4;
        for _ in 0..counts[3] {
            let r = record(bytes, at)?;
            if r.kind == TYPE_OPT {
                if edns.is_some() || bytes[r.name] != 0 {
                    return None;
                }
                let version = (r.ttl >> 16) as u8;
                edns = Some(Edns { size: r.class, version, dnssec: r.ttl & 0x8000 != 0 });
            }
            at = r.end;
        }
        let (kind, class) = (u16_at(bytes, name_end)?, u16_at(bytes, name_end + 2)?);
        (at == bytes.len()).then_some(Query { id, flags, question, labels, kind, class, edns })
    }

    /// The E.164 number asked for, as in RFC 6116, 3.2: one digit a label, the last digit first, below
    /// `zone`. `None` where this is no such question.
    pub fn number(&self, zone: &[String]) -> Option<String> {
        let digits = self.labels.len().checked_sub(zone.len()).filter(|n| (1..=15).contains(n))?;
        let (digits, suffix) = self.labels.split_at(digits);
        let ours = suffix.iter().zip(zone).all(|(a, b)| a == b.as_bytes());
        if !ours || self.kind != TYPE_NAPTR || self.class != CLASS_IN {
            return None;
        }
        let digit = |l: &Vec<u8>| match l[..] {
            [d] if d.is_ascii_digit() => Some(char::from(d)),
            _ => None,
        };
        let number: Option<String> = digits.iter().rev().map(digit).collect();
        number.map(|n| format!("+{n}"))
    }

    pub fn wants_unknown_edns(&self) -> bool {
        self.edns.is_some_and(|e| e.version > 0)
    }

    /// The query for a name server: the same question under another id, EDNS where the asker has it.
    pub fn onward(&self, id: u16) -> Vec<u8> {
        let mut bytes = head(id, self.flags & ASKED, 1, u16::from(self.edns.is_some()));
        bytes.extend_from_slice(&self.question);
        if let Some(e) = self.edns {
            bytes.extend(opt(0, e.dnssec, &[]));
        }
        bytes
    }

    /// What a message from the name server is to this query, sent under `id`.
    pub fn check(&self, id: u16, bytes: &[u8]) -> Reply {
        let (Some(theirs), Some(flags)) = (u16_at(bytes, 0), u16_at(bytes, 2)) else { return Reply::NotOurs };
        if theirs != id || flags & QR == 0 || flags & OPCODE != 0 {
            return Reply::NotOurs;
        }
        let code = (flags & 15) as u8;
        let asked = bytes.get(HEAD..HEAD + self.question.len());
        match u16_at(bytes, 4) {
            Some(1) if asked.is_some_and(|q| q.eq_ignore_ascii_case(&self.question)) => {}
            // A name server that could not read the query may leave the question out.
            Some(0) if code == FORMERR || code == NOTIMP => return Reply::Whole(code),
            // Another question, read whole, is somebody else's answer.
            Some(1) if skip_name(bytes, HEAD, false).is_some_and(|end| end + 4 <= bytes.len()) => {
                return Reply::NotOurs;
            }
            _ => return Reply::Malformed,
        }
        if flags & TC != 0 {
            return Reply::Truncated;
        }
        match self.check_records(bytes) {
            Some(0) => Reply::Whole(code),
            // The upper part of the code stands in the OPT record: no such code is an answer.
            Some(_) => Reply::Whole(BADVERS),
            None => Reply::Malformed,
        }
    }

    /// The upper part of the response code, or nothing where the records are not well formed.
    fn check_records(&self, bytes: &[u8]) -> Option<u8> {
        let mut upper = 0;
        let count = [6, 8, 10].iter().try_fold(0, |n, at| Some(n + u32::from(u16_at(bytes, *at)?)))?;
        let mut at = HEAD + self.question.len();
        for _ in 0..count {
            let r = record(bytes, at)?;
            if r.kind == TYPE_NAPTR && !naptr_is_whole(bytes, &r) {
                return None;
            }
            if r.kind == TYPE_OPT {
                upper = (r.ttl >> 24) as u8;
            }
            at = r.end;
        }
        (at == bytes.len()).then_some(upper)
    }

    /// A name server's answer as the asker gets it: its id, its question. Over UDP, what does not fit is
    /// left out and marked, so that the asker comes again over TCP.
    pub fn passed_on(&self, answer: &[u8], datagram: bool) -> Vec<u8> {
        let most = self.edns.map_or(PLAIN_SIZE, |e| usize::from(e.size.clamp(512, EDNS_SIZE)));
        if datagram && answer.len() > most {
            let code = u16_at(answer, 2).map_or(SERVFAIL, |f| (f & 15) as u8);
            return self.closing(code, TC, &[]);
        }
        let mut bytes = answer.to_vec();
        let end = HEAD + self.question.len();
        if bytes.len() >= end {
            bytes[..2].copy_from_slice(&self.id.to_be_bytes());
            bytes[HEAD..end].copy_from_slice(&self.question);
        }
        bytes
    }

    /// An answer of our own, with an extended error where the asker can read one.
    pub fn error(&self, code: u8, extended: Option<(u16, &str)>) -> Vec<u8> {
        let mut option = Vec::new();
        if let Some((info, text)) = extended {
            // Option 15: its length, the code, and a text for people.
            option.extend(15u16.to_be_bytes());
            option.extend((text.len() as u16 + 2).to_be_bytes());
            option.extend(info.to_be_bytes());
            option.extend(text.bytes());
        }
        self.closing(code, 0, &option)
    }

    fn closing(&self, code: u8, more: u16, option: &[u8]) -> Vec<u8> {
        let flags = QR | more | self.flags & ASKED | u16::from(code & 15);
        let mut bytes = head(self.id, flags, 1, u16::from(self.edns.is_some()));
        bytes.extend_from_slice(&self.question);
        if let Some(e) = self.edns {
            bytes.extend(opt(code >> 4, e.dnssec, option));
        }
        bytes
    }
}

impl Bad {
    /// The answer to what could not be read, if any.
    pub fn answer(&self) -> Option<Vec<u8>> {
        match self {
            Bad::Drop => None,
            Bad::Answer(id, flags, code) => {
                Some(head(*id, QR | flags & (OPCODE | ASKED) | u16::from(*code), 0, 0))
            }
        }
    }
}

fn head(id: u16, flags: u16, questions: u16, additional: u16) -> Vec<u8> {
    [id, flags, questions, 0, 0, additional].into_iter().flat_map(u16::to_be_bytes).collect()
}

/// The OPT record, with the upper part of the response code.
fn opt(code: u8, dnssec: bool, options: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0];
    bytes.extend(TYPE_OPT.to_be_bytes());
    bytes.extend(EDNS_SIZE.to_be_bytes());
    bytes.extend([code, 0, if dnssec { 0x80 } else { 0 }, 0]);
    bytes.extend((options.len() as u16).to_be_bytes());
    bytes.extend_from_slice(options);
    bytes
}
